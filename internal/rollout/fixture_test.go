package rollout

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// storedEvent is one line of testdata/commands.jsonl: an input of the state machine, and the result
// that the program version which wrote the file computed for it.
type storedEvent struct {
	Kind    string          `json:"kind"` // command, ended or advance
	Clock   time.Duration   `json:"clock"`
	Session string          `json:"session"`
	Client  string          `json:"client"`
	Opened  uint64          `json:"opened"`
	Roll    json.RawMessage `json:"roll"` // the command as stored in the coordinators' log
	Answer  *storedAnswer   `json:"answer"`
}

type storedAnswer struct {
	Code    Code
	Text    string
	Stage   Stage
	Token   uint64
	Drained bool
}

func readTestdata(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return bytes.TrimSpace(text)
}

func encodeJSON(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func expectBytes(t *testing.T, what string, got, want []byte) {
	t.Helper()
	if !bytes.Equal(got, want) {
		t.Errorf("%s:\n%s\nwant:\n%s", what, got, want)
	}
}

// lastStoredTime returns the agreed time at the end of testdata/commands.jsonl.
func lastStoredTime(t *testing.T) (last time.Duration) {
	t.Helper()
	for _, line := range bytes.Split(readTestdata(t, "commands.jsonl"), []byte("\n")) {
		var event storedEvent
		if err := json.Unmarshal(line, &event); err != nil {
			t.Fatal(err)
		}
		last = event.Clock
	}
	return last
}

// Guards against replicas that differ: coordinators of an earlier program version and of this one
// run side by side and apply the same log. The commands in testdata were stored by the version
// before the types of this package were renamed. This version must decode them in the same way,
// return the same results and encode the same state.
func TestStoredCommandsGiveTheStoredState(t *testing.T) {
	state := New()
	lastToken := uint64(0)
	nextToken := func() uint64 {
		lastToken++
		return lastToken
	}
	lines := bufio.NewScanner(bytes.NewReader(readTestdata(t, "commands.jsonl")))
	lines.Buffer(nil, 1<<20)
	for number := 1; lines.Scan(); number++ {
		var event storedEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			t.Fatalf("line %d: %v", number, err)
		}
		switch event.Kind {
		case "advance":
			state.Advance(event.Clock, nextToken)
		case "ended":
			state.SessionEnded(event.Session, event.Client, event.Clock, nextToken)
		case "command":
			var command Command
			if err := json.Unmarshal(event.Roll, &command); err != nil {
				t.Fatalf("line %d: %v", number, err)
			}
			expectBytes(t, "the command encoded again", encodeJSON(t, command), event.Roll)
			answer := state.Apply(command, Sender{
				Time:         event.Clock,
				Session:      event.Session,
				Client:       event.Client,
				SessionOrder: event.Opened,
				NextToken:    nextToken,
			})
			got := storedAnswer{answer.Code, answer.Text, answer.Stage, answer.Token, answer.IsDrained}
			if got != *event.Answer {
				t.Errorf("line %d: %+v, want %+v", number, got, *event.Answer)
			}
		default:
			t.Fatalf("line %d: kind %q", number, event.Kind)
		}
	}
	expectBytes(t, "the state", encodeJSON(t, state), readTestdata(t, "state.json"))
}

// Guards against a field that is lost or decoded differently when a coordinator reads the state
// from a snapshot: that would change the encoded state or the reports. The stored state has
// budgets, drains, permits of each stage, a release in its second wave, observations of failing
// servers and an ejection.
func TestStoredStateIsReadAndEncodedUnchanged(t *testing.T) {
	stored := readTestdata(t, "state.json")
	state := New()
	if err := json.Unmarshal(stored, state); err != nil {
		t.Fatal(err)
	}
	state.RebuildDerived()
	expectBytes(t, "the state encoded again", encodeJSON(t, state), stored)

	now := lastStoredTime(t)
	expectBytes(t, "the report", encodeJSON(t, state.Report(now)), readTestdata(t, "report.json"))
	expectBytes(t, "the drain set", encodeJSON(t, state.DrainSet(now, true)), readTestdata(t, "drains.json"))

	state.Advance(now, func() uint64 {
		t.Fatal("the state grants a permit that the program version which stored it did not grant")
		return 0
	})
	expectBytes(t, "the state reconciled again", encodeJSON(t, state), stored)
}
