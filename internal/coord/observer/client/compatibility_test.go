package client

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
)

// readFixture returns a recorded response of an observer of an earlier version.
func readFixture(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// recordedObserver answers watches and acknowledgements with recorded bytes and keeps watches open.
type recordedObserver struct {
	status          int
	watch           []byte
	acknowledgement []byte
}

func (o *recordedObserver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == protocol.AcknowledgePath {
		_, _ = w.Write(o.acknowledgement)
		return
	}
	w.WriteHeader(o.status)
	_, _ = w.Write(o.watch)
	if o.status == http.StatusOK {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
}

// Routers and observers are upgraded one after another, so a new client must read the stream of an
// older observer. The recorded stream has the changes through revision 5, a progress notice, a
// change of routers/a at revision 6 and the deletion of routers/b at 7. If the client decoded a
// field under another name, it would stay at an older revision, keep the deleted document or never
// know the age of its state.
func TestClientReadsEarlierObserver(t *testing.T) {
	watch := readFixture(t, "watch-from-start.jsonl")
	// The first line of the second recording starts at revision 3.
	_, changes, _ := bytes.Cut(readFixture(t, "watch-changes.jsonl"), []byte("\n"))
	watch = append(watch, changes...)
	observer := &recordedObserver{
		status:          http.StatusOK,
		watch:           watch,
		acknowledgement: readFixture(t, "acknowledgement.json"),
	}
	r := startRouter(t, nil, observer)
	eventually(t, func() error {
		held, applied := r.Revisions()
		if held != 7 || applied != 7 {
			return fmt.Errorf("revision %d, applied %d, want 7", held, applied)
		}
		return nil
	})
	eventually(t, func() error {
		if age, ok := r.Age(); !ok || age < 317*time.Millisecond {
			return fmt.Errorf("age %v, %v", age, ok)
		}
		return nil
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	documents := r.states[len(r.states)-1].Documents
	if len(documents) != 1 || documents[0].Name != "routers/a" || documents[0].Revision != 6 ||
		string(documents[0].Value) != "{\"b\":1}\n" {
		t.Errorf("%+v", documents)
	}
}

// A client whose revision the observer has compacted is sent a snapshot. It must replace the
// client's state.
func TestClientReadsEarlierSnapshot(t *testing.T) {
	observer := &recordedObserver{status: http.StatusOK, watch: readFixture(t, "watch-snapshot.jsonl")}
	r := startRouter(t, nil, observer)
	eventually(t, func() error {
		if held, _ := r.Revisions(); held != 7 {
			return fmt.Errorf("revision %d", held)
		}
		return nil
	})
}

// An observer of an earlier version rejects watches. The client must decode the code, which
// distinguishes an observer that is behind from an overloaded one, and the time to retry.
func TestClientReadsEarlierRejections(t *testing.T) {
	for name, want := range map[string]protocol.Rejection{
		"watch-behind.json":     {Code: protocol.CodeBehind},
		"watch-overloaded.json": {Code: protocol.CodeOverloaded, RetryAfterMillis: 1000},
		"watch-invalid.json":    {Code: protocol.CodeInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			observer := &recordedObserver{status: http.StatusServiceUnavailable, watch: readFixture(t, name)}
			server := httptest.NewServer(observer)
			defer server.Close()
			c := New(Options{WatcherName: "w"})
			_, err := c.openWatch(t.Context(), server.Listener.Addr().String())
			var got *protocol.Rejection
			if !errors.As(err, &got) || got.Code != want.Code || got.RetryAfterMillis != want.RetryAfterMillis {
				t.Errorf("%v, want %+v", err, want)
			}
		})
	}
}

// Messages of this version must have the same bytes as those of the earlier one, as older routers
// read them.
func TestMessagesHaveSameBytesAsEarlierVersion(t *testing.T) {
	for name, message := range map[string]any{
		"acknowledgement.json":            protocol.AcknowledgementResponse{},
		"acknowledgement-rejected.json":   protocol.Rejection{},
		"coordinator-changes.json":        protocol.Update{},
		"coordinator-changes-behind.json": protocol.Rejection{},
		"status.json":                     protocol.Status{},
		"watch-behind.json":               protocol.Rejection{},
		"watch-changes.jsonl":             protocol.Update{},
		"watch-from-start.jsonl":          protocol.Update{},
		"watch-invalid.json":              protocol.Rejection{},
		"watch-overloaded.json":           protocol.Rejection{},
		"watch-snapshot.jsonl":            protocol.Update{},
	} {
		t.Run(name, func(t *testing.T) {
			text := readFixture(t, name)
			var again bytes.Buffer
			for line := range bytes.Lines(text) {
				pointer := reflect.New(reflect.TypeOf(message))
				decoder := json.NewDecoder(bytes.NewReader(line))
				decoder.DisallowUnknownFields()
				if err := decoder.Decode(pointer.Interface()); err != nil {
					t.Fatal(err)
				}
				if err := json.NewEncoder(&again).Encode(pointer.Interface()); err != nil {
					t.Fatal(err)
				}
			}
			if !bytes.Equal(again.Bytes(), text) {
				t.Errorf("written\n%s\nrecorded\n%s", &again, text)
			}
		})
	}
}
