package cost

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// TestMain lets the test binary serve as the relay process.
func TestMain(m *testing.M) {
	if len(os.Args) == 4 && os.Args[1] == "relay" {
		if err := Relay(context.Background(), os.Args[2], os.Args[3]); err != nil {
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// Every path must answer every request and yield figures. Their values are not checked, as they
// depend on the machine.
func TestAllPathsAnswer(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "dockhinge")
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/dockhinge").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	cells, err := Run(t.Context(), Params{Connections: []int{1, 8}, Bytes: []int{100, 1 << 20},
		CellDuration: 300 * time.Millisecond, Router: []string{bin, "serve"}, Relay: []string{os.Args[0], "relay"}})
	if err != nil || len(cells) != 12 {
		t.Fatalf("%d cells, %v", len(cells), err)
	}
	for _, c := range cells {
		if c.Failed > 0 || c.PerSecond == 0 || c.P50Micros == 0 || (c.PeakMB == 0) != (c.Path == "direct") {
			t.Errorf("%+v", c)
		}
	}
}
