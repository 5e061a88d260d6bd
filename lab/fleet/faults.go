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

// wait sleeps for s seconds. It returns false if ctx was canceled.
func wait(ctx context.Context, s float64) bool {
	return clock.Sleep(ctx, time.Duration(s*float64(time.Second)))
}

// playFault plays one fault of the timeline.
func (fl *Fleet) playFault(ctx context.Context, f scenario.Fault) {
	if !wait(ctx, f.AtS) {
		return
	}
	waitUntilOver := func() {
		if f.ForS > 0 {
			wait(ctx, f.ForS)
		} else {
			<-ctx.Done()
		}
	}
	// playAndRevert turns a fault on, waits until it is over and turns it off.
	playAndRevert := func(text string, set func(on bool)) {
		fl.mark("%s", text)
		set(true)
		waitUntilOver()
		set(false)
		if ctx.Err() == nil {
			fl.mark("%s: over", text)
		}
	}
	switch f.What {
	case "crash":
		fl.crash(ctx, f)
	case "silence", "spoil", "slow":
		servers := fl.pickServers(f)
		playAndRevert(f.What+" "+f.Spoil+" at "+names(servers), func(on bool) {
			var faults fakes.Faults
			if on {
				faults = fakes.Faults{Silent: f.What == "silence", Corruption: f.Spoil,
					Share: f.Answers, BytesPerS: f.BytesS}
			}
			for _, m := range servers {
				m.SetFaults(faults)
			}
			fl.mu.Lock()
			defer fl.mu.Unlock()
			for _, m := range servers {
				if i := slices.IndexFunc(fl.faultySpells,
					func(x FaultySpell) bool { return x.Server == m.ID() && x.To == 0 }); !on && i >= 0 {
					fl.faultySpells[i].To = fl.clock.Now()
				} else if on {
					fl.faultySpells = append(fl.faultySpells, FaultySpell{Server: m.ID(), From: fl.clock.Now()})
				}
			}
		})
	case "origin-busy":
		playAndRevert("the origin rejects all requests", func(on bool) {
			fl.origin.SetFaults(map[bool]fakes.Faults{true: {Corruption: "busy", Share: 1}}[on])
		})
	case "origin-slow-read":
		playAndRevert("the origin reads large writes slowly", func(on bool) {
			fl.origin.SetFaults(map[bool]fakes.Faults{true: {ReadBytesPerS: f.BytesS}}[on])
		})
	case "flood":
		fl.localFlood(ctx, f)
	case "request-flood":
		fl.requestFlood(ctx, f)
	case "discovery-down":
		playAndRevert("discovery is down", fl.discovery.SetDown)
	case "watches-silent":
		fl.mark("all open watches fall silent")
		fl.discovery.SilenceWatches()
	case "rewind":
		fl.mark("the list's version goes back by %d", f.Versions)
		fl.discovery.Rewind(f.Versions)
	case "partition", "partition-there", "partition-back", "delay":
		servers := fl.pickServers(f)
		playAndRevert(f.What+" at "+names(servers), func(on bool) { fl.setNetworkFault(f, servers, on) })
	case "shrink":
		fl.mark("the fleet shrinks")
		fl.drainServers(ctx, fl.pickServers(f), f.DrainS)
	case "deploy":
		fl.replaceServers(ctx, f)
	case "roll":
		fl.restartInBatches(ctx, f)
	case "release":
		fl.restartAllRouters(ctx)
	case "upgrade":
		fl.upgradeRouters(ctx)
	case "reload":
		fl.mark("all routers read their configuration again")
		for _, r := range fl.allRouters() {
			r.signal(r.newest(), syscall.SIGHUP)
		}
	case "discovery-silent":
		playAndRevert("discovery is silent", fl.discovery.SetSilent)
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
		if !fl.coordinatorsDownMu.TryLock() {
			return
		}
		defer fl.coordinatorsDownMu.Unlock()
		fl.mark("all coordinators are killed")
		for _, c := range fl.coordinators.nodes {
			c.kill()
		}
		if waitUntilOver(); ctx.Err() == nil {
			fl.mark("the coordinators start again")
			for _, c := range fl.coordinators.nodes {
				if err := c.start(); err != nil {
					fl.recordLabError(err)
				}
			}
		}
	case "coordinator-dies":
		if !fl.coordinatorsDownMu.TryLock() {
			return
		}
		defer fl.coordinatorsDownMu.Unlock()
		c := fl.coordinators.nodes[fl.draw(len(fl.coordinators.nodes))]
		fl.mark("coordinator %s is killed", c.name)
		c.kill()
		if waitUntilOver(); ctx.Err() == nil {
			if err := c.start(); err != nil {
				fl.recordLabError(err)
			}
		}
	case "change-servers", "change-routers":
		fl.requestChanges(ctx, f)
	case "release-routers":
		fl.releaseRouters(ctx, f)
	case "tools-die", "tools-stop":
		fl.killTools(ctx, f)
	case "kill-routers", "stop-routers", "cut-routers":
		fl.faultRouters(ctx, f, waitUntilOver)
	case "rude":
		fl.playMisbehavingClients(ctx, f.ForS)
	}
}

// pickServers chooses the cache servers that a fault affects.
func (fl *Fleet) pickServers(f scenario.Fault) (servers []*member) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var all []*member
	for _, m := range fl.members {
		if !m.isRemoved {
			all = append(all, m)
		}
	}
	if len(f.Servers) > 0 {
		for _, m := range all {
			if slices.Contains(f.Servers, m.entry.ID) {
				servers = append(servers, m)
			}
		}
		return servers
	}
	n := f.Count
	if f.Share > 0 {
		n = int(math.Round(f.Share * float64(len(all))))
	}
	fl.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:max(0, min(n, len(all)))]
}

func names(servers []*member) string {
	var ids []string
	for _, m := range servers {
		ids = append(ids, m.ID())
	}
	return strings.Join(ids, " ")
}

// crash kills servers and restarts them cold.
func (fl *Fleet) crash(ctx context.Context, f scenario.Fault) {
	servers := slices.DeleteFunc(fl.pickServers(f), func(m *member) bool { return !fl.tryLockServer(m) })
	defer func() {
		for _, m := range servers {
			m.downMu.Unlock()
		}
	}()
	fl.mark("crash of %s", names(servers))
	from := fl.clock.Now()
	for _, m := range servers {
		m.Kill()
		e := m.entry
		e.State = "left"
		fl.discovery.ScheduleChange(e)
	}
	if f.ForS <= 0 || !wait(ctx, f.ForS) {
		return
	}
	fl.mark("the crashed servers restart cold")
	for _, m := range servers {
		fl.restartServer(m)
		fl.mu.Lock()
		fl.outages = append(fl.outages, outage{resource: "server/" + m.entry.ID, from: from, to: fl.clock.Now()})
		fl.mu.Unlock()
	}
}

// tryLockServer locks a server's downMu for a fault. It fails if another fault holds it or the
// server has left since it was picked.
func (fl *Fleet) tryLockServer(m *member) bool {
	if !m.downMu.TryLock() {
		return false
	}
	if fl.hasLeft(m) {
		m.downMu.Unlock()
		return false
	}
	return true
}

// hasLeft reports whether a server has left the fleet for good.
func (fl *Fleet) hasLeft(m *member) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return m.isRemoved
}

// restartServer restarts a server, cold, unless it has left the fleet. The caller holds the
// server's downMu.
func (fl *Fleet) restartServer(m *member) {
	if fl.hasLeft(m) {
		return
	}
	if err := m.Restart(); err != nil {
		fl.recordLabError(err)
		return
	}
	m.entry.Started, m.entry.State = fl.clock.Unix(fl.clock.Now()), "active"
	fl.discovery.ScheduleChange(m.entry)
}

// recordLabError records an error of the lab itself. The run then fails.
func (fl *Fleet) recordLabError(err error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.problems = append(fl.problems, "the lab: "+err.Error())
}

// drainServers lists servers as leaving and stops them after drainS seconds. It returns once
// all have stopped.
func (fl *Fleet) drainServers(ctx context.Context, servers []*member, drainS float64) {
	var wg sync.WaitGroup
	for _, m := range servers {
		wg.Go(func() { fl.drainServer(ctx, m, drainS) })
	}
	wg.Wait()
}

// drainServer drains and stops one server. If another fault has the server down, it first waits for
// its restart.
func (fl *Fleet) drainServer(ctx context.Context, m *member, drainS float64) {
	m.downMu.Lock()
	defer m.downMu.Unlock()
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
	m.isRemoved = true
	fl.mu.Unlock()
}

// replaceServers replaces servers in batches by new ones, which have new IDs and start cold.
func (fl *Fleet) replaceServers(ctx context.Context, f scenario.Fault) {
	servers := fl.pickServers(f)
	fl.mark("rolling deploy of %d servers, %d at a time", len(servers), f.Batch)
	for batch := range slices.Chunk(servers, f.Batch) {
		fl.drainServers(ctx, batch, f.DrainS)
		if !wait(ctx, f.DownS) {
			return
		}
		for _, m := range batch {
			i := slices.IndexFunc(fl.File.Kinds, func(k scenario.Kind) bool { return k.Name == m.entry.Kind })
			replacement, err := fl.newMember(fl.File.Kinds[i], true)
			if err != nil {
				fl.recordLabError(err)
				return
			}
			fl.discovery.ScheduleChange(replacement.entry)
		}
	}
	fl.mark("the deploy is over")
}

// restartInBatches restarts routers in batches: it sends SIGTERM, waits for the exit and starts
// them again.
func (fl *Fleet) restartInBatches(ctx context.Context, f scenario.Fault) {
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
				fl.front.ReportRouterDeath(r.name, 300) // planned: the front is notified
				r.signal(p, syscall.SIGTERM)
				<-p.done
				if !wait(ctx, f.DownS) {
					return
				}
				if err := fl.startRouter(ctx, r); err != nil && ctx.Err() == nil {
					fl.recordLabError(err)
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

// restartAllRouters kills all routers at the same time and starts them again.
func (fl *Fleet) restartAllRouters(ctx context.Context) {
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
				fl.recordLabError(err)
			}
		})
	}
	wg.Wait()
	if ctx.Err() == nil {
		fl.mark("all routers are ready again")
	}
}

// upgradeRouters starts a new process beside the old one of each router in turn, and stops the old
// one once the new one is ready.
func (fl *Fleet) upgradeRouters(ctx context.Context) {
	for _, r := range fl.allRouters() {
		old := r.newest()
		if old == nil || ctx.Err() != nil {
			continue
		}
		fl.mark("upgrade of %s", r.name)
		if err := fl.startProcess(ctx, r, fl.routerCommand(r), nil, fl.routerConfig(r)); err != nil {
			if ctx.Err() == nil {
				fl.recordLabError(err)
			}
			return
		}
		r.signal(old, syscall.SIGTERM)
		select {
		case <-old.done:
		case <-time.After(10 * time.Second):
			fl.recordLabError(errors.New("the old process of " + r.name + " did not end within 10 s"))
		}
	}
	fl.mark("all routers are upgraded")
}

// setNetworkFault turns a network fault between all routers and some servers on or off.
func (fl *Fleet) setNetworkFault(f scenario.Fault, servers []*member, on bool) {
	for _, r := range fl.allRouters() {
		for _, m := range servers {
			fl.mu.Lock()
			relay := fl.relays[r.name+"/"+m.ID()]
			fl.mu.Unlock()
			if relay == nil {
				continue // this router was never given the server
			}
			n := fl.baselineNetwork(r, m.entry.Zone)
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

// malformedRequests are what misbehaving clients send. A router must answer each with an error line
// or close the connection.
var malformedRequests = []string{
	strings.Repeat("x", 100_000), "mg\r\n", "mg " + strings.Repeat("k", 300) +
		" v O1 Pc=fetch,d=500\r\n", "ms k -1 O1 Pc=publish,d=500\r\n",
	"ms k 99999999999999999999 O2 Pc=publish,d=500\r\n", "mg k v O3 Pc=nonesuch,d=500\r\n",
	"mg k v O4 Pc=fetch,d=soon\r\n",
	"mg k v Pc=fetch,d=500\r\n", "get k\r\n", "\x00\x01\x02\xff\r\n",
	"ms k 3 O5 Pc=publish,d=500\r\nabcdef\r\n", "GET / HTTP/1.1\r\n\r\n",
	"ms k 60000000 O6 Pc=publish,d=500\r\nhalf", strings.Repeat("mg k v O7 Pc=fetch\r\n", 300),
}

// playMisbehavingClients sends malformed requests until the fault is over, and counts those that
// were rejected within 3 s, by an error line or a closed connection.
func (fl *Fleet) playMisbehavingClients(ctx context.Context, forS float64) {
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
		isRejected := isMalformedRequestRejected(addr, malformedRequests[i%len(malformedRequests)])
		fl.mu.Lock()
		if fl.misbehavingClients[1]++; isRejected {
			fl.misbehavingClients[0]++
		}
		fl.mu.Unlock()
		wait(ctx, 0.02)
	}
}

func isMalformedRequestRejected(addr, text string) bool {
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
	return err != nil || strings.HasPrefix(line, "CLIENT_ERROR") || strings.HasPrefix(line, "SERVER_ERROR") ||
		strings.HasPrefix(line, "ERROR")
}
