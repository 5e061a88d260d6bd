package load

import (
	"testing"
	"time"

	"dockhinge.example/dockhinge/lab/checker"
)

// An answer that comes after the client's deadline is seen as late, not as none, and earns nothing.
func TestLateAnswersAreSeen(t *testing.T) {
	addr := answers(t, func(string) string {
		time.Sleep(400 * time.Millisecond)
		return fine
	})
	res, events := sendAll(t, 1, func(p *Params) {
		p.Classes[0].LimitMS, p.Classes[0].AimMS, p.TryShare = 100, 100, 1
	}, addr)
	if len(events) != 2 || events[1].Kind != checker.Answered || events[1].At < events[0].At+events[0].Deadline {
		t.Errorf("%+v", events)
	}
	if c := res.Classes["read"]; c.Served != 1 || c.InAim != 0 {
		t.Errorf("%+v", c)
	}
}
