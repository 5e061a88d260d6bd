package watchlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// Sizes of the property check. They are small, so that the events, compaction and limits coincide
// often.
const (
	checkObservers = 3
	checkWatchers  = 4
	checkEvents    = 400
	checkWalks     = 200
)

var checkLimits = Limits{Changes: 12, Bytes: 12 * 2 * changeOverhead}

// watcher is a router in the check: its replica, and what the deliveries to it should have led to.
type watcher struct {
	replica   *Replica
	prefix    string
	observer  int
	delivered uint64            // revision up to which the check has seen deliveries
	documents map[string]Change // the documents according to the deliveries alone
	applied   uint64            // the revision that the router has applied
}

// simulation is the agreed sequence of changes with observers and watchers.
type simulation struct {
	rng           *rand.Rand
	agreedChanges []Change // agreedChanges[i] has revision i+1
	voters        *Log
	observers     []*Log
	watchers      []*watcher
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 34)), voters: NewLog(checkLimits)}
	for range checkObservers {
		s.observers = append(s.observers, NewLog(checkLimits))
	}
	for i := range checkWatchers {
		added := &watcher{prefix: []string{"", "a/", "b/", "none/"}[i]}
		added.restart()
		s.watchers = append(s.watchers, added)
	}
	return s
}

func (w *watcher) restart() {
	w.replica, w.documents, w.delivered, w.applied = NewReplica(), map[string]Change{}, 0, 0
}

// state returns the documents under a prefix at a revision, according to the agreed sequence.
func (s *simulation) state(prefix string, through uint64) map[string]Change {
	documents := map[string]Change{}
	for _, c := range s.agreedChanges[:through] {
		switch {
		case !strings.HasPrefix(c.Name, prefix):
		case c.Deleted:
			delete(documents, c.Name)
		default:
			documents[c.Name] = c
		}
	}
	return documents
}

// step simulates one random event. It returns an error if an invariant is violated.
func (s *simulation) step() error {
	switch s.rng.IntN(16) {
	case 0, 1, 2, 3:
		return s.change()
	case 4, 5, 6, 7:
		return s.pull(s.rng.IntN(checkObservers))
	case 8:
		i := s.rng.IntN(checkObservers)
		s.observers[i].Compact(s.observers[i].CompactedRevision() + uint64(s.rng.IntN(6)))
	case 9:
		if s.rng.IntN(4) == 0 { // killed: its state is only in memory
			s.observers[s.rng.IntN(checkObservers)] = NewLog(checkLimits)
		}
	case 10:
		s.watchers[s.rng.IntN(checkWatchers)].observer = s.rng.IntN(checkObservers)
	case 11:
		if s.rng.IntN(8) == 0 {
			s.watchers[s.rng.IntN(checkWatchers)].restart()
		}
	case 12:
		w := s.watchers[s.rng.IntN(checkWatchers)]
		w.applied = w.replica.Revision()
		w.replica.MarkApplied(w.applied)
	default:
		return s.deliver(s.watchers[s.rng.IntN(checkWatchers)])
	}
	return nil
}

func (s *simulation) change() error {
	name := fmt.Sprintf("%s/%d", []string{"a", "b"}[s.rng.IntN(2)], s.rng.IntN(3))
	c := Change{Revision: uint64(len(s.agreedChanges) + 1), Name: name}
	if s.rng.IntN(5) == 0 {
		c.Deleted = true
	} else {
		c.Value = bytes.Repeat([]byte{byte(len(s.agreedChanges))}, s.rng.IntN(200))
	}
	s.agreedChanges = append(s.agreedChanges, c)
	return s.voters.Append(c)
}

// pull makes an observer poll the voters for a batch.
func (s *simulation) pull(i int) error {
	batch, err := s.voters.ReadAfter(s.observers[i].NewestRevision(), "", 1+s.rng.IntN(600))
	var compacted *CompactedError
	if errors.As(err, &compacted) {
		batch, err = s.voters.Snapshot(""), nil
	}
	if err != nil {
		return fmt.Errorf("observer %d pulls: %w", i, err)
	}
	if err := s.observers[i].Extend(encodeAndDecode(batch)); err != nil {
		return fmt.Errorf("observer %d extends: %w", i, err)
	}
	return nil
}

// deliver sends a batch from a watcher's observer to the watcher and checks it against the agreed
// sequence.
func (s *simulation) deliver(w *watcher) error {
	log := s.observers[w.observer]
	batch, err := log.ReadAfter(w.replica.Revision(), w.prefix, 1+s.rng.IntN(600))
	var compacted *CompactedError
	var behind *BehindError
	switch {
	case errors.As(err, &compacted):
		batch = log.Snapshot(w.prefix)
	case errors.As(err, &behind):
		if !s.servesStaleSnapshot() {
			return nil
		}
		batch = log.Snapshot(w.prefix) // a faulty observer's response: the replica must reject it
	case err != nil:
		return err
	}
	batch = encodeAndDecode(batch)
	if err := w.replica.Apply(batch); err != nil {
		var stale *StaleError
		if batch.Snapshot && batch.Through < w.delivered && errors.As(err, &stale) {
			return nil
		}
		return fmt.Errorf("a batch that follows the replica was rejected: %w", err)
	}
	return s.checkDelivery(w, batch)
}

// servesStaleSnapshot decides randomly whether a stale observer serves its snapshot although it
// must not.
func (s *simulation) servesStaleSnapshot() bool { return s.rng.IntN(2) == 0 }

// checkDelivery checks a delivery against the agreed sequence.
func (s *simulation) checkDelivery(w *watcher, batch Batch) error {
	if batch.Through < w.delivered {
		return fmt.Errorf("revision decreased from %d to %d", w.delivered, batch.Through)
	}
	if batch.Snapshot {
		w.documents = map[string]Change{}
	} else {
		for _, c := range batch.Changes {
			if c.Revision <= w.delivered {
				return fmt.Errorf("revision %d was delivered twice", c.Revision)
			}
			w.delivered = c.Revision
		}
	}
	for _, c := range batch.Changes {
		if c.Deleted {
			delete(w.documents, c.Name)
		} else {
			w.documents[c.Name] = c
		}
	}
	w.delivered = batch.Through
	if err := compareDocuments(w.documents, s.state(w.prefix, w.delivered)); err != nil {
		return fmt.Errorf("at revision %d: %w", w.delivered, err)
	}
	if err := s.checkAllDelivered(w.prefix, batch); err != nil {
		return err
	}
	if got := w.replica.Acknowledged(); got > w.applied {
		return fmt.Errorf("revision %d was acknowledged, and %d is applied", got, w.applied)
	}
	return nil
}

// checkAllDelivered checks that a batch has exactly the changes of the agreed sequence, including
// changes that a later change in the batch replaces.
func (s *simulation) checkAllDelivered(prefix string, batch Batch) error {
	if batch.Snapshot {
		return nil
	}
	var want []Change
	for _, c := range s.agreedChanges[batch.After:batch.Through] {
		if strings.HasPrefix(c.Name, prefix) {
			want = append(want, c)
		}
	}
	if len(want) != len(batch.Changes) {
		return fmt.Errorf("after revision %d through %d: %d changes, and %d were agreed on",
			batch.After, batch.Through, len(batch.Changes), len(want))
	}
	for i, c := range want {
		if batch.Changes[i].Revision != c.Revision {
			return fmt.Errorf("revision %d was delivered in place of %d", batch.Changes[i].Revision, c.Revision)
		}
	}
	return nil
}

func compareDocuments(got, want map[string]Change) error {
	if len(got) != len(want) {
		return fmt.Errorf("%d documents, want %d", len(got), len(want))
	}
	for name, c := range want {
		if g, ok := got[name]; !ok || g.Revision != c.Revision || !bytes.Equal(g.Value, c.Value) {
			return fmt.Errorf("document %s: %+v, want %+v", name, g, c)
		}
	}
	return nil
}

// catchUp lets all observers and watchers catch up, and checks their documents against the agreed
// sequence.
func (s *simulation) catchUp() error {
	newest := uint64(len(s.agreedChanges))
	for i, log := range s.observers {
		for log.NewestRevision() < newest {
			if err := s.pull(i); err != nil {
				return err
			}
		}
	}
	for i, w := range s.watchers {
		for w.replica.Revision() < newest {
			if err := s.deliver(w); err != nil {
				return err
			}
		}
		if w.replica.Revision() != newest {
			return fmt.Errorf("watcher %d ends at revision %d of %d", i, w.replica.Revision(), newest)
		}
		held := map[string]Change{}
		for _, c := range w.replica.Documents() {
			held[c.Name] = c
		}
		if err := compareDocuments(held, s.state(w.prefix, newest)); err != nil {
			return fmt.Errorf("watcher %d at the end: %w", i, err)
		}
	}
	return nil
}

// encodeAndDecode returns the batch as the receiver decodes it.
func encodeAndDecode(batch Batch) (got Batch) {
	text, err := json.Marshal(batch)
	if err == nil {
		err = json.Unmarshal(text, &got)
	}
	if err != nil {
		panic(err) // a fault of the test itself
	}
	return got
}

// runWalk simulates the random walk of a seed. It returns an error if an invariant is violated.
func runWalk(seed uint64) error {
	s := newSimulation(seed)
	for i := range checkEvents {
		if err := s.step(); err != nil {
			return fmt.Errorf("seed %d, event %d: %w", seed, i, err)
		}
	}
	if err := s.catchUp(); err != nil {
		return fmt.Errorf("seed %d, catching up: %w", seed, err)
	}
	return nil
}

// Watchers switch between observers, and observers are killed, restarted, compacted or stale, in
// random order. Each watcher must get the agreed sequence: no change twice, none skipped, no older
// revision, and no acknowledgement before a revision is applied. At the end all must agree;
// otherwise a router could have other documents than the rest of the fleet.
func TestWatchersGetAgreedSequenceInAnyOrderOfEvents(t *testing.T) {
	for seed := range uint64(checkWalks) {
		if err := runWalk(seed); err != nil {
			t.Fatal(err)
		}
	}
}
