// Package traceanalysis counts over the logs of a whole fleet what single routers can't see: it reads the lines that a router
// writes with log.trace, and adds them up by second and by server.
package traceanalysis

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/trace"
)

const (
	maxLine   = 1 << 20 // bytes of a line that is read
	maxFaults = 20      // lines that can't be read and are told one by one
)

// Event is one line of a trace.
type Event struct {
	Router string  // the log that it stands in
	At     float64 // Unix time, ms
	Name   string
	Fields map[string]string
}

func (e *Event) num(name string) float64 {
	v, err := strconv.ParseFloat(e.Fields[name], 64)
	if err != nil {
		return 0
	}
	return v
}

// LineError is a line that can't be read.
type LineError struct {
	File   string
	Line   int
	Reason string
}

func (f LineError) String() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason) }

// fields are what each event has to have.
var fields = map[string][]string{"ask": {"r", "class", "key", "retry", "left"}, "send": {"r", "n", "s", "origin", "started", "key"},
	"got": {"r", "n", "s", "status", "note", "ms"}, "end": {"r", "how", "why", "left", "tries"}, "dial": {"to", "ok"},
	"probe": {"s", "status", "qps", "util"}, "list": {"kind", "lines", "version"}, "dropped": {"n"}}

// parse reads a line; ok is false where it holds no event.
func parse(line string) (e Event, ok bool, err error) {
	at := strings.Index(line, trace.LinePrefix)
	if at < 0 || at > 0 && strings.Contains(line[:at], "msg=") {
		return e, false, nil
	}
	parts := strings.Fields(line[at+len(trace.LinePrefix):])
	if len(parts) < 2 {
		return e, true, fmt.Errorf("cut short")
	}
	if e.At, err = strconv.ParseFloat(parts[0], 64); err != nil {
		return e, true, fmt.Errorf("time %.40q is no number", parts[0])
	}
	want := fields[parts[1]]
	if want == nil {
		return e, true, fmt.Errorf("unknown event %.40q", parts[1])
	}
	e.Name, e.Fields = parts[1], map[string]string{}
	for _, p := range parts[2:] {
		name, value, _ := strings.Cut(p, "=")
		e.Fields[name] = value
	}
	for _, f := range want {
		if e.Fields[f] == "" {
			return e, true, fmt.Errorf("%s without %s", e.Name, f)
		}
	}
	return e, true, nil
}

// Read reads one log. What can't be read is a fault, and the rest is still read.
func Read(name string, r io.Reader) (events []Event, faults []LineError) {
	in := bufio.NewReaderSize(r, maxLine)
	for n := 1; ; n++ {
		text, err := in.ReadSlice('\n')
		line, whole := string(text), err == nil
		long := err == bufio.ErrBufferFull
		for err == bufio.ErrBufferFull { // the rest of a line that nobody keeps
			_, err = in.ReadSlice('\n')
		}
		if long {
			faults = append(faults, LineError{name, n, fmt.Sprintf("over %d bytes", maxLine)})
		} else if e, ok, bad := parse(line); bad != nil {
			faults = append(faults, LineError{name, n, bad.Error()})
		} else if ok && !whole { // its last figure may lack digits
			faults = append(faults, LineError{name, n, "cut short"})
		} else if ok {
			e.Router = name
			events = append(events, e)
		}
		if err == io.EOF {
			return events, faults
		}
		if err != nil {
			return events, append(faults, LineError{name, n, err.Error()})
		}
	}
}

// ReadDir reads all logs of a directory, and returns their events in the order of time.
func ReadDir(dir string) (events []Event, faults []LineError, err error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err == nil && len(paths) == 0 {
		err = fmt.Errorf("no *.log in %s", dir)
	}
	if err != nil {
		return nil, nil, err
	}
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, nil, err
		}
		e, bad := Read(filepath.Base(p), f)
		f.Close()
		events, faults = append(events, e...), append(faults, bad...)
	}
	slices.SortStableFunc(events, func(p, q Event) int { return cmp.Compare(p.At, q.At) })
	return events, faults, nil
}

// Second counts what a fleet did in one second.
type Second struct {
	Asked, Retried         int // requests of clients, and those that they had asked before
	Sent, Again, Cold      int // attempts at cache servers, those that were not a request's first, those at cold ones
	Fetched, SameKey       int // attempts at the origin, and those whose key another attempt there was out for or was just answered
	Dialled, Undialled     int // connections that came up and that did not
	Probed, Unprobed       int // probes answered and not
	Lists, Lines, Refused  int // lists that came, their lines, and calls that failed
	Open                   int // attempts out at the end
	Served, Turned, Failed int // requests by their end
	Late, Gone             int // served with under half of the time left; left by their clients
	ByCause                map[string]int
	ByStatus               map[string]int // attempts at cache servers by outcome
	ByOrigin               map[string]int // and at the origin
	Dropped                int            // events that routers had no room for
}

// Server counts what a fleet did to one server.
type Server struct {
	ID       string
	Origin   bool
	Sent     int
	ByStatus map[string]int
	MS       float64 // of those answered, together
	ColdPeak int     // most attempts in any window of ColdWindow while it was cold
	recent   []float64
	started  float64
}

// Summary is what a fleet did.
type Summary struct {
	Start   float64 // ms
	Seconds []Second
	Servers map[string]*Server
	Total   Second
}

const (
	coldFor = 8800.0 // ms after its start for which a server is counted as cold
	// ColdWindow is the length of the windows in which the attempts at a cold server are counted, in milliseconds.
	ColdWindow = 2000.0
	justNow    = 1000.0 // ms after an origin's answer within which another fetch of the key is counted as the same
)

var statuses = map[string]string{}

func init() {
	for st, name := range map[decide.AttemptStatus]string{decide.OK: "ok", decide.Failed: "failed", decide.QueueFull: "full",
		decide.Timeout: "timeout", decide.ConnectError: "connect", decide.Reset: "reset", decide.Canceled: "cancelled",
		decide.Unprocessed: "ignored", decide.Miss: "miss", decide.MalformedResponse: "spoilt"} {
		statuses[strconv.Itoa(int(st))] = name
	}
}

type attemptID struct{ router, r, n string }

// Count adds events up. They are in the order of time.
func Count(events []Event) *Summary {
	t := &Summary{Servers: map[string]*Server{}}
	for _, e := range events { // clients come once all routers are ready
		if t.Start = e.At; e.Name == "ask" {
			break
		}
	}
	out := map[attemptID]*Event{}
	fetching, fetched := map[string]int{}, map[string]float64{}
	last := map[string]string{} // by request, how its last attempt ended
	open := 0
	for i := range events {
		e := &events[i]
		s := t.second(e.At)
		both := func(do func(*Second)) { do(s); do(&t.Total) }
		request := e.Router + " " + e.Fields["r"]
		at := attemptID{e.Router, e.Fields["r"], e.Fields["n"]}
		switch e.Name {
		case "ask":
			both(func(s *Second) {
				if s.Asked++; e.Fields["retry"] == "true" {
					s.Retried++
				}
			})
			delete(last, request) // ids are a process's own
		case "send":
			open++
			out[at] = e
			v := t.server(e.Fields["s"])
			v.Sent++
			if v.Origin = e.Fields["origin"] == "true"; v.Origin {
				key := e.Fields["key"]
				same := fetching[key] > 0 || e.At-fetched[key] < justNow
				fetching[key]++
				both(func(s *Second) {
					if s.Fetched++; same {
						s.SameKey++
					}
				})
				break
			}
			cold := v.cold(e)
			both(func(s *Second) {
				if s.Sent++; e.Fields["n"] != "0" {
					s.Again++
				}
				if cold {
					s.Cold++
				}
			})
		case "got":
			sent := out[at]
			if sent == nil {
				break
			}
			open--
			delete(out, at)
			st := cmp.Or(statuses[e.Fields["status"]], "?")
			v := t.server(e.Fields["s"])
			v.ByStatus[st]++
			if v.MS += e.num("ms"); v.Origin {
				key := sent.Fields["key"]
				if fetching[key]--; st == "ok" {
					fetched[key] = e.At
				}
				both(func(s *Second) { s.ByOrigin = add(s.ByOrigin, st) })
				last[request] = "origin-" + st
			} else {
				both(func(s *Second) { s.ByStatus = add(s.ByStatus, st) })
				last[request] = st
			}
		case "end":
			both(func(s *Second) {
				cause := e.Fields["why"] + " after " + cmp.Or(last[request], "nothing")
				switch e.Fields["how"] {
				case "0":
					if s.Served++; e.num("left") < 100 {
						s.Late++
					}
				case "1":
					s.Turned++
					s.ByCause = add(s.ByCause, cause)
				case "2":
					s.Failed++
					s.ByCause = add(s.ByCause, "failed "+cause)
				default:
					s.Gone++
				}
			})
			delete(last, request)
		case "dial":
			both(func(s *Second) {
				if e.Fields["ok"] == "true" {
					s.Dialled++
				} else {
					s.Undialled++
				}
			})
		case "probe":
			both(func(s *Second) {
				if e.Fields["status"] == "0" {
					s.Probed++
				} else {
					s.Unprobed++
				}
			})
		case "list":
			both(func(s *Second) {
				switch decide.EndpointUpdateKind(e.num("kind")) {
				case decide.WatchFailed:
					s.Refused++
				case decide.RestoredEndpoints:
				default:
					s.Lists, s.Lines = s.Lists+1, s.Lines+int(e.num("lines"))
				}
			})
		case "dropped":
			both(func(s *Second) { s.Dropped += int(e.num("n")) })
		}
		s.Open = open
	}
	return t
}

func add(m map[string]int, name string) map[string]int {
	if m == nil {
		m = map[string]int{}
	}
	m[name]++
	return m
}

// maxSeconds bounds the seconds that are told apart; later events count in the last.
const maxSeconds = 3600

func (t *Summary) second(at float64) *Second {
	i := min(maxSeconds-1, max(0, int((at-t.Start)/1000)))
	for len(t.Seconds) <= i {
		t.Seconds = append(t.Seconds, Second{})
	}
	return &t.Seconds[i]
}

func (t *Summary) server(id string) *Server {
	v := t.Servers[id]
	if v == nil {
		v = &Server{ID: id, ByStatus: map[string]int{}}
		t.Servers[id] = v
	}
	return v
}

// cold books an attempt and tells whether its server was cold.
func (v *Server) cold(e *Event) bool {
	v.started = max(v.started, e.num("started"))
	if v.started == 0 || e.At > v.started+coldFor {
		return false
	}
	v.recent = append(v.recent, e.At)
	for v.recent[0] < e.At-ColdWindow {
		v.recent = v.recent[1:]
	}
	v.ColdPeak = max(v.ColdPeak, len(v.recent))
	return true
}

// Print writes the tables.
func (t *Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "%4s %6s %6s %6s %6s %6s %6s %5s %6s %5s %6s %5s %5s %6s %5s %5s %6s %6s %6s %5s %5s\n", "s", "asked", "retry", "sent",
		"again", "cold", "fetch", "same", "dial", "undl", "probe", "unpr", "list", "lines", "refl", "open", "served", "turned", "failed", "late", "gone")
	row := func(name string, s *Second) {
		fmt.Fprintf(w, "%4s %6d %6d %6d %6d %6d %6d %5d %6d %5d %6d %5d %5d %6d %5d %5d %6d %6d %6d %5d %5d\n", name, s.Asked, s.Retried, s.Sent,
			s.Again, s.Cold, s.Fetched, s.SameKey, s.Dialled, s.Undialled, s.Probed, s.Unprobed, s.Lists, s.Lines, s.Refused, s.Open,
			s.Served, s.Turned, s.Failed, s.Late, s.Gone)
	}
	for i := range t.Seconds {
		row(strconv.Itoa(i), &t.Seconds[i])
	}
	row("all", &t.Total)
	for _, c := range []struct {
		what string
		n    func(*Second) map[string]int
	}{{"refused and failed by cause", func(s *Second) map[string]int { return s.ByCause }},
		{"attempts at cache servers by outcome", func(s *Second) map[string]int { return s.ByStatus }},
		{"attempts at the origin by outcome", func(s *Second) map[string]int { return s.ByOrigin }}} {
		fmt.Fprintf(w, "\n%s, all seconds and five at a time\n", c.what)
		all := c.n(&t.Total)
		names := make([]string, 0, len(all))
		for n := range all {
			names = append(names, n)
		}
		slices.SortFunc(names, func(p, q string) int { return cmp.Or(cmp.Compare(all[q], all[p]), cmp.Compare(p, q)) })
		for _, n := range names {
			fmt.Fprintf(w, "%-34s %6d  ", n, all[n])
			for i := 0; i < len(t.Seconds); i += 5 {
				sum := 0
				for j := i; j < min(i+5, len(t.Seconds)); j++ {
					sum += c.n(&t.Seconds[j])[n]
				}
				fmt.Fprintf(w, " %5d", sum)
			}
			fmt.Fprintln(w)
		}
	}
	fmt.Fprintf(w, "\nservers: attempts, mean ms, most in %.0f s while cold, outcomes\n", ColdWindow/1000)
	servers := make([]*Server, 0, len(t.Servers))
	for _, v := range t.Servers {
		servers = append(servers, v)
	}
	slices.SortFunc(servers, func(p, q *Server) int { return cmp.Or(cmp.Compare(q.Sent, p.Sent), cmp.Compare(p.ID, q.ID)) })
	for _, v := range servers {
		what := ""
		if v.Origin {
			what = " origin"
		}
		var outcomes []string
		for st, n := range v.ByStatus {
			outcomes = append(outcomes, fmt.Sprintf("%s=%d", st, n))
		}
		slices.Sort(outcomes)
		fmt.Fprintf(w, "%s %6d %8.1f %5d  %s%s\n", v.ID, v.Sent, v.MS/float64(max(1, v.Sent)), v.ColdPeak, strings.Join(outcomes, " "), what)
	}
	if t.Total.Dropped > 0 {
		fmt.Fprintf(w, "\n%d events were not written: routers keep %d between two writes\n", t.Total.Dropped, trace.MaxEventsPerFlush)
	}
}

// PrintLineErrors lists lines that can't be read.
func PrintLineErrors(w io.Writer, faults []LineError) {
	for _, f := range faults[:min(len(faults), maxFaults)] {
		fmt.Fprintln(w, f)
	}
	if more := len(faults) - maxFaults; more > 0 {
		fmt.Fprintf(w, "and %d more\n", more)
	}
}
