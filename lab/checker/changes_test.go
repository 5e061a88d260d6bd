package checker

import (
	"strings"
	"testing"
)

var (
	agreedA1 = AgreedChange{Revision: 1, Name: "a/1", Sum: 11}
	agreedB2 = AgreedChange{Revision: 2, Name: "b/1", Sum: 12}
	agreedA3 = AgreedChange{Revision: 3, Name: "a/1", Sum: 13}
	agreedA4 = AgreedChange{Revision: 4, Name: "a/2", Sum: 14}
	agreedA5 = AgreedChange{Revision: 5, Name: "a/1", Deleted: true}
	agreed   = []AgreedChange{agreedA1, agreedB2, agreedA3, agreedA4, agreedA5}
)

// Deliveries that follow the agreed order pass, and each way to deviate from it is reported.
func TestDeliveriesMustFollowTheAgreedOrder(t *testing.T) {
	first := Delivery{Through: 1, Changes: []AgreedChange{agreedA1}, Documents: []AgreedChange{agreedA1}}
	third := Delivery{After: 2, Through: 3, Changes: []AgreedChange{agreedA3}, Documents: []AgreedChange{agreedA3}}
	rest := Delivery{After: 3, Through: 5, Changes: []AgreedChange{agreedA4, agreedA5},
		Documents: []AgreedChange{agreedA4}}
	snapshot := Delivery{Through: 4, Snapshot: true, Changes: []AgreedChange{agreedA3, agreedA4},
		Documents: []AgreedChange{agreedA3, agreedA4}}
	last := Delivery{After: 4, Through: 5, Changes: []AgreedChange{agreedA5}, Documents: []AgreedChange{agreedA4}}
	broken := func(d Delivery, change func(*Delivery)) Delivery {
		change(&d)
		return d
	}
	for _, c := range []struct {
		want       string
		deliveries []Delivery
	}{
		{"", nil},
		{"", []Delivery{first, third, rest}},
		{"", []Delivery{first, snapshot, last}},
		{"", []Delivery{first, snapshot, snapshot}},
		{"went back", []Delivery{snapshot, first}},
		{"revision 3 was left out", []Delivery{first, broken(third, func(d *Delivery) { d.Changes = nil })}},
		{"given in place of", []Delivery{first, rest}},
		{"unexpected revision 3 was delivered", []Delivery{first, third, broken(third, func(d *Delivery) {})}},
		{"left out", []Delivery{first, third, broken(rest, func(d *Delivery) { d.Changes = d.Changes[:1] })}},
		{"nothing beyond", []Delivery{broken(first, func(d *Delivery) { d.Through = 6 })}},
		{"the watcher holds {Revision:1 Name:a/1 Sum:11 Deleted:false} instead of the agreed {",
			[]Delivery{broken(snapshot, func(d *Delivery) { d.Documents = []AgreedChange{agreedA1, agreedA4} })}},
		{"the watcher holds 0 documents instead of the agreed 2",
			[]Delivery{broken(snapshot, func(d *Delivery) { d.Documents = nil })}},
	} {
		got := CheckDeliveries(agreed, WatchHistory{Watcher: "w", Prefix: "a/", Deliveries: c.deliveries})
		if (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
			t.Errorf("got violation %q, want %q", got, c.want)
		}
	}
	if got := CheckDeliveries(agreed[1:], WatchHistory{}); !strings.Contains(got, "in place of") {
		t.Errorf("got %q for an agreed order with a gap", got)
	}
}
