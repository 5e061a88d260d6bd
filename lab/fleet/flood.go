package fleet

import (
	"context"
	"fmt"
	"time"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/flood"
	"dockhinge.example/dockhinge/lab/scenario"
)

// localFlood has one client send commands of one kind, for which no server is asked, at full speed to one
// router, over as many connections as the fault counts, until the fault is over.
func (fl *Fleet) localFlood(ctx context.Context, f scenario.Fault) {
	name, address, err := fl.front.Pick("")
	if err != nil {
		return
	}
	kind := fl.draw(flood.LocalKinds())
	fl.mark("a client sends local commands of kind %d at full speed over %d connections to %s", kind, f.Count, name)
	fl.playFlood(ctx, f, flood.Plan{Address: address, Connections: f.Count, Local: kind})
	fl.mark("the flood of %s is over", name)
}

// requestFlood has one client send sound requests of one class at full speed to one router, under ever new
// names, over as many connections as the fault counts, until the fault is over.
func (fl *Fleet) requestFlood(ctx context.Context, f scenario.Fault) {
	name, address, err := fl.front.Pick("")
	if err != nil {
		return
	}
	class := fl.File.Classes[fl.draw(len(fl.File.Classes))]
	requests := flood.Requests{
		Class:          class.Name,
		IsKeyed:        class.Effect == "by_key",
		IsWrite:        class.Write,
		DeadlineMillis: class.LimitMS,
		Names:          fmt.Sprintf("%s%x-", checker.FloodPrefix, fl.draw(1<<30)),
	}
	fl.journal.Add(checker.Event{At: fl.clock.Now(), Kind: checker.FloodStarted, Router: name, Request: requests.Names})
	fl.mark("a client sends requests of class %s at full speed over %d connections to %s", class.Name, f.Count, name)
	fl.playFlood(ctx, f, flood.Plan{Address: address, Connections: f.Count, Requests: &requests})
	fl.mark("the flood of requests to %s is over", name)
}

// playFlood runs a flood until the fault is over.
func (fl *Fleet) playFlood(ctx context.Context, f scenario.Fault, plan flood.Plan) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.ForS*float64(time.Second)))
	defer cancel()
	if err := flood.Run(ctx, plan); err != nil {
		fl.mark("%v", err)
	}
}
