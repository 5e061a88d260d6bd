package checker

import (
	"fmt"
	"strings"
)

// AgreedChange is one change in the agreed order of the coordinators.
type AgreedChange struct {
	Revision uint64
	Name     string
	Sum      uint64 // checksum of the value
	Deleted  bool
}

// Delivery is one batch of changes that a watcher received.
type Delivery struct {
	After, Through uint64
	Snapshot       bool
	Changes        []AgreedChange
	Documents      []AgreedChange // the watcher's complete state after the batch
}

// WatchHistory holds all deliveries to one watcher, in order. The watcher started with an empty state.
type WatchHistory struct {
	Watcher    string
	Prefix     string
	Deliveries []Delivery
}

// CheckDeliveries checks that a watcher received a prefix of the agreed order through any chain of
// observers: no change twice, none left out and no step back. It also checks that the watcher's state
// was the agreed state after each delivery. The agreed order must have no gap. CheckDeliveries returns
// a description of the first violation, or "".
func CheckDeliveries(agreed []AgreedChange, history WatchHistory) string {
	for i, change := range agreed {
		if change.Revision != uint64(i+1) {
			return fmt.Sprintf("the agreed order has revision %d in place of %d", change.Revision, i+1)
		}
	}
	through := uint64(0)
	for i, delivery := range history.Deliveries {
		if text := checkDelivery(agreed, history.Prefix, through, delivery); text != "" {
			return fmt.Sprintf("%s, delivery %d (after %d through %d, snapshot %t): %s",
				history.Watcher, i, delivery.After, delivery.Through, delivery.Snapshot, text)
		}
		through = delivery.Through
	}
	return ""
}

func checkDelivery(agreed []AgreedChange, prefix string, through uint64, delivery Delivery) string {
	switch {
	case delivery.Through < through:
		return fmt.Sprintf("it went back from revision %d", through)
	case delivery.Through > uint64(len(agreed)):
		return fmt.Sprintf("nothing beyond revision %d was agreed on", len(agreed))
	}
	if !delivery.Snapshot {
		want := changesBetween(agreed, prefix, through, delivery.Through)
		if text := compareChanges(delivery.Changes, want); text != "" {
			return text
		}
	}
	return compareState(delivery.Documents, stateAt(agreed, prefix, delivery.Through))
}

// changesBetween returns the agreed changes of a prefix after one revision through another. The range
// may include revisions for which the watcher got no delivery, because they changed no document of its
// prefix.
func changesBetween(agreed []AgreedChange, prefix string, after, through uint64) (changes []AgreedChange) {
	for _, change := range agreed[after:through] {
		if strings.HasPrefix(change.Name, prefix) {
			changes = append(changes, change)
		}
	}
	return changes
}

func compareChanges(got, want []AgreedChange) string {
	for i := range max(len(got), len(want)) {
		switch {
		case i >= len(got):
			return fmt.Sprintf("revision %d was left out", want[i].Revision)
		case i >= len(want):
			return fmt.Sprintf("unexpected revision %d was delivered", got[i].Revision)
		case got[i] != want[i]:
			return fmt.Sprintf("%+v was given in place of %+v", got[i], want[i])
		}
	}
	return ""
}

func stateAt(agreed []AgreedChange, prefix string, through uint64) map[string]AgreedChange {
	state := map[string]AgreedChange{}
	for _, change := range changesBetween(agreed, prefix, 0, through) {
		if change.Deleted {
			delete(state, change.Name)
		} else {
			state[change.Name] = change
		}
	}
	return state
}

func compareState(got []AgreedChange, want map[string]AgreedChange) string {
	if len(got) != len(want) {
		return fmt.Sprintf("the watcher holds %d documents instead of the agreed %d", len(got), len(want))
	}
	for _, document := range got {
		if want[document.Name] != document {
			return fmt.Sprintf("the watcher holds %+v instead of the agreed %+v", document, want[document.Name])
		}
	}
	return ""
}
