package fleet

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/fakes"
	"dockhinge.example/dockhinge/lab/scenario"
)

// wait lets so many seconds pass, and reports whether the run goes on.
func wait(ctx context.Context, s float64) bool {
	return clock.Sleep(ctx, time.Duration(s*float64(time.Second)))
}

// fault plays one fault of the time line.
func (fl *Fleet) fault(ctx context.Context, f scenario.Fault) {
	if !wait(ctx, f.AtS) {
		return
	}
	over := func() {
		if f.ForS > 0 {
			wait(ctx, f.ForS)
		} else {
			<-ctx.Done()
		}
	}
	// both sets a state, waits until the fault is over and takes it back.
	both := func(text string, set func(on bool)) {
		fl.mark("%s", text)
		set(true)
		over()
		set(false)
		if ctx.Err() == nil {
			fl.mark("%s: over", text)
		}
	}
	switch f.What {
	case "crash":
		fl.crash(ctx, f)
	case "silence", "spoil", "slow":
		part := fl.pick(f)
		both(f.What+" "+f.Spoil+" at "+names(part), func(on bool) {
			var faults fakes.Faults
			if on {
				faults = fakes.Faults{Silent: f.What == "silence", Corruption: f.Spoil, Share: f.Answers, BytesPerS: f.BytesS}
			}
			for _, m := range part {
				m.SetFaults(faults)
			}
			fl.mu.Lock()
			defer fl.mu.Unlock()
			for _, m := range part {
				if i := slices.IndexFunc(fl.ill, func(x Ill) bool { return x.Server == m.ID() && x.To == 0 }); !on && i >= 0 {
					fl.ill[i].To = fl.clock.Now()
				} else if on {
					fl.ill = append(fl.ill, Ill{Server: m.ID(), From: fl.clock.Now()})
				}
			}
		})
	case "origin-busy":
		both("the origin turns all away", func(on bool) {
			fl.origin.SetFaults(map[bool]fakes.Faults{true: {Corruption: "busy", Share: 1}}[on])
		})
	case "discovery-down":
		both("discovery is down", fl.discovery.SetDown)
	case "watches-silent":
		fl.mark("all open watches fall silent")
		fl.discovery.SilenceWatches()
	case "rewind":
		fl.mark("the list's version goes back by %d", f.Versions)
		fl.discovery.Rewind(f.Versions)
	case "partition", "partition-there", "partition-back", "delay":
		part := fl.pick(f)
		both(f.What+" at "+names(part), func(on bool) { fl.network(f, part, on) })
	case "shrink":
		fl.mark("the fleet shrinks")
		fl.leave(ctx, fl.pick(f), f.DrainS)
	case "deploy":
		fl.deploy(ctx, f)
	case "roll":
		fl.roll(ctx, f)
	case "release":
		fl.release(ctx)
	case "upgrade":
		fl.upgrade(ctx)
	case "reload":
		fl.mark("all routers read their configuration again")
		for _, r := range fl.allRouters() {
			r.signal(r.newest(), syscall.SIGHUP)
		}
	case "discovery-silent":
		both("discovery is silent", fl.discovery.SetSilent)
	case "end-routers":
		fl.endRouters(ctx, f)
	case "signals":
		fl.signalSeries(ctx, f)
	case "upgrade-one":
		fl.upgradeOne(ctx)
	case "crowd":
		fl.crowd(ctx, f)
	case "move-discovery":
		fl.moveDiscovery(ctx, f)
	case "coordinators-die":
		if !fl.coordsBusy.TryLock() {
			return
		}
		defer fl.coordsBusy.Unlock()
		fl.mark("all coordinators are killed")
		for _, c := range fl.coords.coords {
			c.kill()
		}
		if over(); ctx.Err() == nil {
			fl.mark("the coordinators start again")
			for _, c := range fl.coords.coords {
				if err := c.start(); err != nil {
					fl.trouble(err)
				}
			}
		}
	case "coordinator-dies":
		if !fl.coordsBusy.TryLock() {
			return
		}
		defer fl.coordsBusy.Unlock()
		c := fl.coords.coords[fl.draw(len(fl.coords.coords))]
		fl.mark("coordinator %s is killed", c.name)
		c.kill()
		if over(); ctx.Err() == nil {
			if err := c.start(); err != nil {
				fl.trouble(err)
			}
		}
	case "change-servers", "change-routers":
		fl.change(ctx, f)
	case "release-routers":
		fl.releaseRouters(ctx, f)
	case "tools-die", "tools-stop":
		fl.killTools(ctx, f)
	case "kill-routers", "stop-routers", "cut-routers":
		fl.hitRouters(ctx, f, over)
	case "rude":
		fl.rudeClients(ctx, f.ForS)
	}
}

// pick chooses the cache servers that a fault meets.
func (fl *Fleet) pick(f scenario.Fault) (part []*member) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var all []*member
	for _, m := range fl.members {
		if !m.gone {
			all = append(all, m)
		}
	}
	if len(f.Servers) > 0 {
		for _, m := range all {
			if slices.Contains(f.Servers, m.entry.ID) {
				part = append(part, m)
			}
		}
		return part
	}
	n := f.Count
	if f.Share > 0 {
		n = int(math.Round(f.Share * float64(len(all))))
	}
	fl.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:max(0, min(n, len(all)))]
}

func names(part []*member) string {
	var ids []string
	for _, m := range part {
		ids = append(ids, m.ID())
	}
	return strings.Join(ids, " ")
}

// crash has servers die and come back cold.
func (fl *Fleet) crash(ctx context.Context, f scenario.Fault) {
	part := slices.DeleteFunc(fl.pick(f), func(m *member) bool { return !fl.tryOwn(m) })
	defer func() {
		for _, m := range part {
			m.busy.Unlock()
		}
	}()
	fl.mark("crash of %s", names(part))
	from := fl.clock.Now()
	for _, m := range part {
		m.Kill()
		e := m.entry
		e.State = "left"
		fl.discovery.ScheduleChange(e)
	}
	if f.ForS <= 0 || !wait(ctx, f.ForS) {
		return
	}
	fl.mark("they come back cold")
	for _, m := range part {
		fl.back(m)
		fl.mu.Lock()
		fl.outages = append(fl.outages, outage{thing: "server/" + m.entry.ID, from: from, to: fl.clock.Now()})
		fl.mu.Unlock()
	}
}

// tryOwn locks a server's busy for a fault, unless another has it or the server has left since it was picked.
func (fl *Fleet) tryOwn(m *member) bool {
	if !m.busy.TryLock() {
		return false
	}
	if fl.hasLeft(m) {
		m.busy.Unlock()
		return false
	}
	return true
}

// hasLeft reports whether a server has left the fleet for good.
func (fl *Fleet) hasLeft(m *member) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return m.gone
}

// back starts a server again, cold, unless it has left the fleet. The caller has locked the server's busy.
func (fl *Fleet) back(m *member) {
	if fl.hasLeft(m) {
		return
	}
	if err := m.Restart(); err != nil {
		fl.trouble(err)
		return
	}
	m.entry.Started, m.entry.State = fl.clock.Unix(fl.clock.Now()), "active"
	fl.discovery.ScheduleChange(m.entry)
}

// trouble books what the lab could not do: the run does not hold.
func (fl *Fleet) trouble(err error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.problem = append(fl.problem, "the lab: "+err.Error())
}

// leave has servers say that they leave, and end after a time. It returns once all have ended.
func (fl *Fleet) leave(ctx context.Context, part []*member, drainS float64) {
	var wg sync.WaitGroup
	for _, m := range part {
		wg.Go(func() { fl.leaveOne(ctx, m, drainS) })
	}
	wg.Wait()
}

// leaveOne has one server leave, once it is up again where another fault has it down.
func (fl *Fleet) leaveOne(ctx context.Context, m *member, drainS float64) {
	m.busy.Lock()
	defer m.busy.Unlock()
	if fl.hasLeft(m) {
		return
	}
	e := m.entry
	e.State = "leaving"
	fl.discovery.ScheduleChange(e)
	wait(ctx, drainS)
	e.State = "left"
	fl.discovery.ScheduleChange(e)
	m.Kill()
	fl.mu.Lock()
	m.gone = true
	fl.mu.Unlock()
}

// deploy replaces servers batch by batch by new ones under new ids, which start cold.
func (fl *Fleet) deploy(ctx context.Context, f scenario.Fault) {
	part := fl.pick(f)
	fl.mark("rolling deploy of %d servers, %d at a time", len(part), f.Batch)
	for batch := range slices.Chunk(part, f.Batch) {
		fl.leave(ctx, batch, f.DrainS)
		if !wait(ctx, f.DownS) {
			return
		}
		for _, m := range batch {
			i := slices.IndexFunc(fl.File.Kinds, func(k scenario.Kind) bool { return k.Name == m.entry.Kind })
			young, err := fl.newMember(fl.File.Kinds[i], true)
			if err != nil {
				fl.trouble(err)
				return
			}
			fl.discovery.ScheduleChange(young.entry)
		}
	}
	fl.mark("the deploy is over")
}

// roll restarts routers batch by batch: SIGTERM, the end, a new start.
func (fl *Fleet) roll(ctx context.Context, f scenario.Fault) {
	routers := fl.allRouters()
	if f.Share > 0 {
		routers = routers[:int(math.Round(f.Share*float64(len(routers))))]
	}
	fl.mark("%d routers are restarted, %d at a time", len(routers), f.Batch)
	for batch := range slices.Chunk(routers, f.Batch) {
		var wg sync.WaitGroup
		for _, r := range batch {
			wg.Go(func() {
				p := r.newest()
				if p == nil {
					return
				}
				fl.front.ReportRouterDeath(r.name, 300) // planned: the front is told
				r.signal(p, syscall.SIGTERM)
				<-p.done
				if !wait(ctx, f.DownS) {
					return
				}
				if err := fl.startRouter(ctx, r); err != nil && ctx.Err() == nil {
					fl.trouble(err)
				}
			})
		}
		wg.Wait()
		if ctx.Err() != nil {
			return
		}
	}
	fl.mark("all routers are back")
}

// release kills all routers at once and starts them again.
func (fl *Fleet) release(ctx context.Context) {
	fl.mark("all routers are killed and start at once")
	var wg sync.WaitGroup
	for _, r := range fl.allRouters() {
		wg.Go(func() {
			p := r.newest()
			if p == nil {
				return
			}
			fl.journal.Add(checker.Event{At: fl.clock.Now(), Kind: checker.RouterKilled, Router: r.name})
			fl.front.ReportRouterDeath(r.name, fl.File.Fleet.NoticeMS)
			r.signal(p, syscall.SIGKILL)
			<-p.done
			if err := fl.startRouter(ctx, r); err != nil && ctx.Err() == nil {
				fl.trouble(err)
			}
		})
	}
	wg.Wait()
	if ctx.Err() == nil {
		fl.mark("all routers are ready again")
	}
}

// upgrade starts a new process beside the old one of each router in turn, and ends the old one once the new is ready.
func (fl *Fleet) upgrade(ctx context.Context) {
	for _, r := range fl.allRouters() {
		old := r.newest()
		if old == nil || ctx.Err() != nil {
			continue
		}
		fl.mark("upgrade of %s", r.name)
		if err := fl.startProcess(ctx, r, fl.command(r), nil, fl.config(r)); err != nil {
			if ctx.Err() == nil {
				fl.trouble(err)
			}
			return
		}
		r.signal(old, syscall.SIGTERM)
		select {
		case <-old.done:
		case <-time.After(10 * time.Second):
			fl.trouble(errors.New("the old process of " + r.name + " did not end within 10 s"))
		}
	}
	fl.mark("all routers are upgraded")
}

// network sets what is wrong between all routers and some servers, or takes it back.
func (fl *Fleet) network(f scenario.Fault, part []*member, on bool) {
	for _, r := range fl.allRouters() {
		for _, m := range part {
			fl.mu.Lock()
			relay := fl.relays[r.name+"/"+m.ID()]
			fl.mu.Unlock()
			if relay == nil {
				continue // this router has never heard of it
			}
			n := fl.plainNet(r, m.entry.Zone)
			if on {
				n.Cut = f.What == "partition"
				n.HoldToTarget, n.HoldFromTarget = f.What == "partition-there", f.What == "partition-back"
				if f.What == "delay" {
					n.DelayMS = f.DelayMS
				}
			}
			relay.SetConditions(n)
		}
	}
}

// rude is what misbehaving clients send. Each is owed an error line or a close.
var rude = []string{
	strings.Repeat("x", 100_000), "mg\r\n", "mg " + strings.Repeat("k", 300) + " v O1 Pc=fetch,d=500\r\n", "ms k -1 O1 Pc=publish,d=500\r\n",
	"ms k 99999999999999999999 O2 Pc=publish,d=500\r\n", "mg k v O3 Pc=nonesuch,d=500\r\n", "mg k v O4 Pc=fetch,d=soon\r\n",
	"mg k v Pc=fetch,d=500\r\n", "get k\r\n", "\x00\x01\x02\xff\r\n", "ms k 3 O5 Pc=publish,d=500\r\nabcdef\r\n", "GET / HTTP/1.1\r\n\r\n",
	"ms k 60000000 O6 Pc=publish,d=500\r\nhalf", strings.Repeat("mg k v O7 Pc=fetch\r\n", 300),
}

// rudeClients sends what can't be read, until the fault is over, and counts who was told or closed on within 3 s.
func (fl *Fleet) rudeClients(ctx context.Context, forS float64) {
	fl.mark("misbehaving clients")
	if forS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(forS*float64(time.Second)))
		defer cancel()
	}
	for i := 0; ctx.Err() == nil; i++ {
		_, addr, err := fl.front.Pick("")
		if err != nil {
			return
		}
		told := rudeTo(addr, rude[i%len(rude)])
		fl.mu.Lock()
		if fl.rude[1]++; told {
			fl.rude[0]++
		}
		fl.mu.Unlock()
		wait(ctx, 0.02)
	}
}

func rudeTo(addr, text string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return true // the connection was rejected
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		return true
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	return err != nil || strings.HasPrefix(line, "CLIENT_ERROR") || strings.HasPrefix(line, "SERVER_ERROR") || strings.HasPrefix(line, "ERROR")
}
