package decide_test

import (
	"fmt"

	"dockhinge.example/dockhinge/decide"
)

// printer is a Host that prints its calls. A real Host sends requests and starts timers.
type printer struct{}

func (printer) Send(id, server uint32, _ float64) { fmt.Println("send", id, "to", server) }
func (printer) Cancel(id uint32, attempt int)     { fmt.Println("cancel", id, attempt) }
func (printer) Reject(id uint32, _ float64)       { fmt.Println("reject", id) }
func (printer) Fail(id uint32)                    { fmt.Println("fail", id) }
func (printer) HealthCheck(server uint32)         { fmt.Println("health check", server) }
func (printer) CloseIdle(server uint32)           { fmt.Println("close", server) }
func (printer) SetTimer(float64, uint64)          {}
func (printer) WatchEndpoints()                   { fmt.Println("watch") }
func (printer) Gossip([]byte)                     {}
func (printer) Log(text string)                   { fmt.Println(text) }

func Example() {
	cfg := decide.Config{
		Routers: 1, MaxAttempts: 3, CancelAllowed: true,
		Classes: []decide.Class{
			{Name: "read", LatencyObjectiveMillis: 300, DeadlineMillis: 1000, PriorityWeight: 1},
		},
		SlowStartMillis: 8000, SlowStartInitialShare: 0.3, OverloadFactor: 3, OverloadMillis: 2000,
	}
	b, err := decide.New(cfg, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	b.UpdateEndpoints(0, decide.AllEndpoints, []decide.Endpoint{{ID: 11, Size: 1}, {ID: 12, Size: 1}})
	b.Request(5, decide.Request{ID: 1, Class: "read", Key: 42, HasKey: true, RemainingMillis: 600})
	b.AttemptEnded(9, decide.Outcome{
		RequestID: 1, ServerID: 12, Status: decide.QueueFull, LatencyMillis: 4, Load: decide.NoLoadReport,
	})
	b.AttemptEnded(60, decide.Outcome{
		RequestID: 1, Attempt: 1, ServerID: 11, Status: decide.OK, LatencyMillis: 50, IsFinal: true,
		Load: decide.NoLoadReport,
	})
	// Output:
	// send 1 to 12
	// send 1 to 11
}
