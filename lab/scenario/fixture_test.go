package scenario

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// Operators keep scenario files for years. The files in testdata contain every key of three shipped
// scenarios, as written by an earlier version. Renaming a key would reject such a file, and reading
// a key into another field would write it back with another value.
func TestScenarioFilesOfEarlierVersionKeepTheirMeaning(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) != 3 {
		t.Fatalf("fixtures: %v, error %v", files, err)
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			written, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			file, err := Parse(path, written)
			if err != nil {
				t.Fatal(err)
			}
			again, err := toml.Marshal(file)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(again, written) {
				t.Errorf("written back:\n%s\nwant:\n%s", again, written)
			}
		})
	}
}
