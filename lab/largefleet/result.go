package largefleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"dockhinge.example/dockhinge/lab/checker"
)

// Result is what clients and servers saw, and what the router used.
type Result struct {
	// Asked counts the requests, Served those with their value, Rejected and Failed those with another
	// answer, Late those whose answer took over 50 ms, Left those whose client left before an answer.
	Asked, Served, Rejected, Failed, Late, Left int
	// NotConnected counts those whose connection was refused, Cut those that were cut off without an answer.
	NotConnected, Cut int
	// Breaches are the violated rules.
	Breaches []string
	// Slowest and Median are latencies of the answers.
	Slowest, Median time.Duration
	// CPU, PeakMB (anonymous memory) and PeakFiles are of all processes of the router together.
	CPU       time.Duration
	PeakMB    float64
	PeakFiles int
	// Connections counts the connections made to cache servers.
	Connections int
	// ReadyMillis is how long each process took until it was ready.
	ReadyMillis []float64
}

// String returns the result on one line.
func (r Result) String() string {
	return fmt.Sprintf("asked %d, served %d, rejected %d, failed %d, late %d, left %d, refused %d, cut %d; "+
		"median %d ms, slowest %d ms; CPU %.2f s, %.0f MB, %d descriptors, %d connections, "+
		"ready in %.0f ms; %d breaches",
		r.Asked, r.Served, r.Rejected, r.Failed, r.Late, r.Left, r.NotConnected, r.Cut,
		r.Median.Milliseconds(), r.Slowest.Milliseconds(), r.CPU.Seconds(), r.PeakMB, r.PeakFiles, r.Connections,
		r.ReadyMillis, len(r.Breaches))
}

// breachf adds a violation.
func (r *Result) breachf(format string, values ...any) {
	r.Breaches = append(r.Breaches, fmt.Sprintf(format, values...))
}

// judge checks the rules and adds up the results.
func (p *player) judge(exchanges []exchange) (result Result) {
	attempts, connections := p.servers.received()
	result.Connections = connections
	p.judgeAnswers(&result, exchanges)
	p.judgeLeft(&result, exchanges, attempts)
	p.judgeDrains(&result, attempts)
	p.usage.mu.Lock()
	defer p.usage.mu.Unlock()
	result.CPU = p.usage.cpu
	result.PeakMB = p.usage.peakMB
	result.PeakFiles = p.usage.peakFiles
	result.ReadyMillis = p.usage.readyMillis
	for _, exit := range p.usage.unexpectedExits {
		result.breachf("crash: %s", exit)
	}
	if result.PeakMB > float64(p.params.MemoryMB) {
		result.breachf("memory: %.0f MB of %d", result.PeakMB, p.params.MemoryMB)
	}
	if result.PeakFiles > p.params.Sockets {
		result.breachf("descriptors: %d of %d", result.PeakFiles, p.params.Sockets)
	}
	return result
}

// judgeAnswers counts the answers. A restart may leave connections unread, an upgrade may not.
func (p *player) judgeAnswers(result *Result, exchanges []exchange) {
	var latencies []time.Duration
	for _, e := range exchanges {
		result.count(e)
		p.judgeAnswer(result, e)
		if e.isAnswered() || e.ending == endUnanswered {
			latencies = append(latencies, e.latency)
		}
	}
	slices.Sort(latencies)
	if len(latencies) > 0 {
		result.Median = latencies[len(latencies)/2]
		result.Slowest = latencies[len(latencies)-1]
	}
}

// count counts a request by its ending.
func (r *Result) count(e exchange) {
	r.Asked++
	switch e.ending {
	case endServed:
		r.Served++
	case endRejected:
		r.Rejected++
	case endFailed:
		r.Failed++
	case endLeft:
		r.Left++
	case endNotConnected:
		r.NotConnected++
	case endCut:
		r.Cut++
	}
	if e.isAnswered() && e.latency > lateAfter {
		r.Late++
	}
}

// judgeAnswer checks that a request got its answer in time.
func (p *player) judgeAnswer(result *Result, e exchange) {
	mayCut := p.params.Event == Restart || p.params.Event == Crash
	switch {
	case e.ending == endWrong:
		result.breachf("lost: request %s has a wrong answer: %q", e.id, e.line)
	case e.ending == endUnanswered:
		result.breachf("lost: request %s has no answer after %v", e.id, e.latency)
	case e.ending == endCut && !mayCut:
		result.breachf("lost: request %s was cut off after %v", e.id, e.latency)
	case e.isAnswered() && e.latency > p.params.Wait+answerSlack:
		result.breachf("lost: request %s has its answer after %v", e.id, e.latency)
	}
}

// isAnswered reports whether the client got an answer of any kind.
func (e exchange) isAnswered() bool {
	return e.ending == endServed || e.ending == endRejected || e.ending == endFailed || e.ending == endWrong
}

// judgeLeft looks for attempts that began after their clients had left.
func (p *player) judgeLeft(result *Result, exchanges []exchange, attempts []attempt) {
	leftAt := map[string]float64{}
	for _, e := range exchanges {
		if e.leftAtMs > 0 {
			leftAt[e.id] = e.leftAtMs
		}
	}
	for _, a := range attempts {
		if at, hasLeft := leftAt[a.id]; hasLeft && a.atMillis > at+float64(leaveSlack.Milliseconds()) {
			result.breachf("lost: an attempt of request %s began %.0f ms after its client had left",
				a.id, a.atMillis-at)
		}
	}
}

// wholeListDelayMS is after what time a change of the list counts as told, whether or not it arrived, ms.
const wholeListDelayMS = 6000

// serverState is what discovery sent of a server.
type serverState struct {
	atMillis float64
	isReady  bool
}

// judgeDrains looks for attempts at servers that the router had been told of as draining or removed for over
// the grace. The events of each server are in the order of their sending.
func (p *player) judgeDrains(result *Result, attempts []attempt) {
	hostOf := map[string]string{}
	for number := range p.next {
		hostOf[fmt.Sprintf("s-%08x", 11+7*number)] = serverHost(number)
	}
	byHost := p.statesByHost(hostOf)
	for _, a := range attempts {
		goneSince := goneSinceMillis(byHost[a.host], a.atMillis)
		if goneSince >= 0 && a.atMillis > goneSince+float64(drainGrace.Milliseconds()) {
			result.breachf("drain: request %s was sent to %s %.0f ms after it was told to be gone",
				a.id, a.host, a.atMillis-goneSince)
		}
	}
}

// statesByHost returns what the router was told of each server by its address, in order. Servers that share an
// address are left out. A removal that a whole list shows counts as told wholeListDelayMS after it.
func (p *player) statesByHost(hostOf map[string]string) map[string][]serverState {
	states := map[string][]serverState{}
	events, isComplete := p.journal.Events()
	if !isComplete || p.params.Change == SucceedInPlace {
		return states
	}
	for _, e := range events {
		host := hostOf[e.Server]
		switch {
		case e.Kind == checker.ServerStateSent:
			states[host] = append(states[host], serverState{e.At, e.State == "active"})
		case e.Kind == checker.ServerStateListed && e.State == stateRemoved && p.params.Change == ReplaceByWholeLists:
			states[host] = append(states[host], serverState{e.At + wholeListDelayMS, false})
		}
	}
	for _, sent := range states {
		slices.SortStableFunc(sent, func(x, y serverState) int { return cmp.Compare(x.atMillis, y.atMillis) })
	}
	return states
}

// goneSinceMillis returns since when a server was last told to be draining or removed at a time, or -1.
func goneSinceMillis(sent []serverState, at float64) float64 {
	gone := -1.0
	for _, s := range sent {
		switch {
		case s.atMillis > at:
			return gone
		case s.isReady:
			gone = -1
		case gone < 0:
			gone = s.atMillis
		}
	}
	return gone
}

// Summary returns the first violations, one a line.
func (r Result) Summary() string {
	const shown = 8
	return strings.Join(r.Breaches[:min(shown, len(r.Breaches))], "\n")
}
