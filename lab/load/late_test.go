package load

import (
	"testing"
	"time"

	"dockhinge.example/dockhinge/lab/checker"
)

// An answer after the client's deadline is recorded as late, not as missing, and gains no worth.
func TestLateAnswersAreRecordedButEarnNothing(t *testing.T) {
	addr := startRouter(t, func(string) string {
		time.Sleep(400 * time.Millisecond)
		return validAnswer
	})
	res, events := sendAll(t, 1, func(p *Params) {
		p.Classes[0].LimitMS, p.Classes[0].AimMS, p.TryShare = 100, 100, 1
	}, addr)
	if len(events) != 2 || events[1].Kind != checker.Answered || events[1].At < events[0].At+events[0].Deadline {
		t.Errorf("got events %+v", events)
	}
	if c := res.Classes["read"]; c.Served != 1 || c.InAim != 0 {
		t.Errorf("got result %+v", c)
	}
}
