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

// storedEvent is one line of testdata/commands.jsonl: an input of the state machine, and the answer
// that the program which wrote the file gave to it.
type storedEvent struct {
	Kind    string          `json:"kind"` // command, ended or advance
	Clock   time.Duration   `json:"clock"`
	Session string          `json:"session"`
	Client  string          `json:"client"`
	Opened  uint64          `json:"opened"`
	Roll    json.RawMessage `json:"roll"` // the command as it stands in the coordinators' log
	Answer  *storedAnswer   `json:"answer"`
}

type storedAnswer struct {
	Code    Code
	Text    string
	Stage   Stage
	Token   uint64
	Drained bool
}

func readStored(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return bytes.TrimSpace(text)
}

func encoded(t *testing.T, value any) []byte {
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

// lastStoredTime is the agreed time at the end of testdata/commands.jsonl.
func lastStoredTime(t *testing.T) (last time.Duration) {
	t.Helper()
	for _, line := range bytes.Split(readStored(t, "commands.jsonl"), []byte("\n")) {
		var event storedEvent
		if err := json.Unmarshal(line, &event); err != nil {
			t.Fatal(err)
		}
		last = event.Clock
	}
	return last
}

// Coordinators of an earlier program and of this one run side by side and apply the same log. The
// commands in testdata were stored by the program of the day before the types of this package were
// renamed. A program that reads one of them in another way, answers it in other words, or encodes
// the state in another way would make the replicas differ.
func TestStoredCommands(t *testing.T) {
	state := New()
	lastToken := uint64(0)
	nextToken := func() uint64 {
		lastToken++
		return lastToken
	}
	lines := bufio.NewScanner(bytes.NewReader(readStored(t, "commands.jsonl")))
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
			expectBytes(t, "the command encoded again", encoded(t, command), event.Roll)
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
	expectBytes(t, "the state", encoded(t, state), readStored(t, "state.json"))
}

// A coordinator that starts reads the state from its snapshot. The stored one has budgets, drains,
// permits of each stage, a release in its second wave, evidence of failing servers and an ejection.
// A field that is lost or read in another way would change what the state encodes to, or what is
// reported of it.
func TestStoredState(t *testing.T) {
	stored := readStored(t, "state.json")
	state := New()
	if err := json.Unmarshal(stored, state); err != nil {
		t.Fatal(err)
	}
	state.RebuildDerived()
	expectBytes(t, "the state encoded again", encoded(t, state), stored)

	now := lastStoredTime(t)
	expectBytes(t, "the report", encoded(t, state.Report(now)), readStored(t, "report.json"))
	expectBytes(t, "what routers are told", encoded(t, state.DrainSet(now, true)), readStored(t, "drains.json"))

	state.Advance(now, func() uint64 {
		t.Fatal("the state grants a permit that the program which stored it did not grant")
		return 0
	})
	expectBytes(t, "the state reconciled again", encoded(t, state), stored)
}
