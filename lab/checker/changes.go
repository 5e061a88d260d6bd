package checker

import (
	"fmt"
	"strings"
)

// AgreedChange is one change of the agreed order, as the coordinators answered it.
type AgreedChange struct {
	Revision uint64
	Name     string
	Sum      uint64 // of the value
	Deleted  bool
}

// Delivery is what a watcher was given at once, as it saw it.
type Delivery struct {
	After, Through uint64
	Snapshot       bool
	Changes        []AgreedChange
	Documents      []AgreedChange // all that it held afterwards, by name
}

// WatchHistory is all that one watcher was given, in order. Its life began with nothing.
type WatchHistory struct {
	Watcher    string
	Prefix     string
	Deliveries []Delivery
}

// CheckDeliveries checks that a watcher saw a prefix of the agreed order, whatever chain of observers gave it: nothing twice, nothing
// left out, never back; and that what it held was the agreed state each time. The agreed order must have no gap; it tells the
// first breach, or "".
func CheckDeliveries(agreed []AgreedChange, history WatchHistory) string {
	for i, change := range agreed {
		if change.Revision != uint64(i+1) {
			return fmt.Sprintf("the agreed order has revision %d in place of %d", change.Revision, i+1)
		}
	}
	through := uint64(0)
	for i, delivery := range history.Deliveries {
		if text := judgeDelivery(agreed, history.Prefix, through, delivery); text != "" {
			return fmt.Sprintf("%s, delivery %d (after %d through %d, snapshot %t): %s", history.Watcher, i, delivery.After, delivery.Through, delivery.Snapshot, text)
		}
		through = delivery.Through
	}
	return ""
}

func judgeDelivery(agreed []AgreedChange, prefix string, through uint64, delivery Delivery) string {
	switch {
	case delivery.Through < through:
		return fmt.Sprintf("it went back from revision %d", through)
	case delivery.Through > uint64(len(agreed)):
		return fmt.Sprintf("nothing beyond revision %d was agreed on", len(agreed))
	}
	if !delivery.Snapshot {
		want := between(agreed, prefix, through, delivery.Through)
		if text := sameChanges(delivery.Changes, want); text != "" {
			return text
		}
	}
	return sameState(delivery.Documents, stateAt(agreed, prefix, delivery.Through))
}

// between are the agreed changes after one revision through another. What a watcher wasn't told of between two deliveries, as it
// was progress alone, lies in it too.
func between(agreed []AgreedChange, prefix string, after, through uint64) (changes []AgreedChange) {
	for _, change := range agreed[after:through] {
		if strings.HasPrefix(change.Name, prefix) {
			changes = append(changes, change)
		}
	}
	return changes
}

func sameChanges(got, want []AgreedChange) string {
	for i := range max(len(got), len(want)) {
		switch {
		case i >= len(got):
			return fmt.Sprintf("revision %d was left out", want[i].Revision)
		case i >= len(want):
			return fmt.Sprintf("revision %d was given, and doesn't follow", got[i].Revision)
		case got[i] != want[i]:
			return fmt.Sprintf("%+v was given in place of %+v", got[i], want[i])
		}
	}
	return ""
}

func stateAt(agreed []AgreedChange, prefix string, through uint64) map[string]AgreedChange {
	state := map[string]AgreedChange{}
	for _, change := range between(agreed, prefix, 0, through) {
		if change.Deleted {
			delete(state, change.Name)
		} else {
			state[change.Name] = change
		}
	}
	return state
}

func sameState(got []AgreedChange, want map[string]AgreedChange) string {
	if len(got) != len(want) {
		return fmt.Sprintf("%d documents were held, and %d agreed on", len(got), len(want))
	}
	for _, document := range got {
		if want[document.Name] != document {
			return fmt.Sprintf("%+v was held, and %+v agreed on", document, want[document.Name])
		}
	}
	return ""
}
