package load

import (
	"testing"

	"dockhinge.example/dockhinge/lab/checker"
)

// A client that disconnects closes its connection, records the event, and does not retry.
func TestDisconnectingClientsDoNotRetry(t *testing.T) {
	addr := startRouter(t, func(string) string { return "" })
	res, events := sendAll(t, 20, func(p *Params) {
		p.Retries, p.Classes[0].LimitMS = 2, 60_000
		p.DisconnectShare, p.DisconnectMS = 1, [2]float64{1, 20}
	}, addr)
	kinds := map[checker.Kind]int{}
	for _, e := range events {
		kinds[e.Kind]++
	}
	if n := kinds[checker.Disconnected]; n != 20 || kinds[checker.Sent] != n || len(events) != 2*n {
		t.Errorf("got events by kind: %v", kinds)
	}
	if c := res.Classes["read"]; c.Asked != 20 || c.Failed != 20 {
		t.Errorf("got result %+v", c)
	}
}

// Clients don't disconnect if the share is 0, or if their deadline comes before the drawn time.
func TestClientsDoNotDisconnectWithoutReason(t *testing.T) {
	for name, change := range map[string]func(*Params){
		"share 0":    func(p *Params) { p.DisconnectShare, p.DisconnectMS = 0, [2]float64{1, 1} },
		"time is up": func(p *Params) { p.DisconnectShare, p.DisconnectMS = 1, [2]float64{500, 500} },
	} {
		addr := startRouter(t, func(string) string { return "" })
		_, events := sendAll(t, 1, func(p *Params) { p.Classes[0].LimitMS = 50; change(p) }, addr)
		if len(events) != 2 || events[1].Kind != checker.ClientTimedOut {
			t.Errorf("%s: got events %+v", name, events)
		}
	}
}
