// Package traceanalysis computes statistics of a whole fleet that no single router can collect: it
// reads the lines that routers write with log.trace, and sums them up by second and by server.
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
	maxLineBytes     = 1 << 20 // longer lines are reported as errors
	maxPrintedErrors = 20      // further line errors are only counted
)

// Event is one line of a trace.
type Event struct {
	Router string  // file name of the log that contains it
	At     float64 // Unix time, ms
	Name   string
	Fields map[string]string
}

// number returns the value of a numeric field, or 0 if it is missing or malformed.
func (e *Event) number(name string) float64 {
	v, err := strconv.ParseFloat(e.Fields[name], 64)
	if err != nil {
		return 0
	}
	return v
}

// LineError describes a trace line that could not be parsed.
type LineError struct {
	File   string
	Line   int
	Reason string
}

func (f LineError) String() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason) }

// requiredFields maps each event to the fields that it must have.
var requiredFields = map[string][]string{
	"ask": {"r", "class", "key", "retry", "left"}, "send": {"r", "n", "s", "origin", "started", "key"},
	"got": {"r", "n", "s", "status", "note", "ms"}, "end": {"r", "how", "why", "left", "tries"}, "dial": {"to", "ok"},
	"probe": {"s", "status", "qps", "util"}, "list": {"kind", "lines", "version"}, "dropped": {"n"}}

// parseLine parses a line of a log; ok is false if the line is not a trace event.
func parseLine(line string) (e Event, ok bool, err error) {
	at := strings.Index(line, trace.LinePrefix)
	if at < 0 || at > 0 && strings.Contains(line[:at], "msg=") {
		return e, false, nil
	}
	parts := strings.Fields(line[at+len(trace.LinePrefix):])
	if len(parts) < 2 {
		return e, true, fmt.Errorf("cut short")
	}
	if e.At, err = strconv.ParseFloat(parts[0], 64); err != nil {
		return e, true, fmt.Errorf("time %.40q is not a number", parts[0])
	}
	want := requiredFields[parts[1]]
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

// Read reads one log; name identifies it in events and errors. Lines that cannot be parsed are
// returned as errors, and reading continues after them.
func Read(name string, r io.Reader) (events []Event, lineErrors []LineError) {
	in := bufio.NewReaderSize(r, maxLineBytes)
	for n := 1; ; n++ {
		text, err := in.ReadSlice('\n')
		line, isTerminated := string(text), err == nil
		isTooLong := err == bufio.ErrBufferFull
		for err == bufio.ErrBufferFull { // skip the rest of an overlong line
			_, err = in.ReadSlice('\n')
		}
		if isTooLong {
			lineErrors = append(lineErrors, LineError{name, n, fmt.Sprintf("over %d bytes", maxLineBytes)})
		} else if e, ok, bad := parseLine(line); bad != nil {
			lineErrors = append(lineErrors, LineError{name, n, bad.Error()})
		} else if ok && !isTerminated { // digits of its last number may be missing
			lineErrors = append(lineErrors, LineError{name, n, "cut short"})
		} else if ok {
			e.Router = name
			events = append(events, e)
		}
		if err == io.EOF {
			return events, lineErrors
		}
		if err != nil {
			return events, append(lineErrors, LineError{name, n, err.Error()})
		}
	}
}

// ReadDir reads all files *.log of a directory and returns their events sorted by time.
func ReadDir(dir string) (events []Event, lineErrors []LineError, err error) {
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
		events, lineErrors = append(events, e...), append(lineErrors, bad...)
	}
	slices.SortStableFunc(events, func(p, q Event) int { return cmp.Compare(p.At, q.At) })
	return events, lineErrors, nil
}

// Second holds the counts of a whole fleet for one second.
type Second struct {
	Asked, Retried              int // requests of clients, and those that are retries by the client
	Sent, FurtherAttempts, Cold int // attempts at cache servers, those after a request's first, those at cold servers
	Fetched, SameKey            int // attempts at the origin, and those for a key in flight or just fetched there
	Dials, FailedDials          int // connections that were established and that failed
	Probes, FailedProbes        int // probes that were answered and that failed
	Lists, Lines, FailedLists   int // endpoint lists received, their lines, and calls that failed
	Open                        int // attempts in flight at the end
	Served, Rejected, Failed    int // requests by outcome
	Late, Abandoned             int // requests served with under 100 ms left, and those abandoned by their clients
	ByCause                     map[string]int
	ByStatus                    map[string]int // attempts at cache servers by outcome
	ByOrigin                    map[string]int // attempts at the origin by outcome
	Dropped                     int            // events that routers discarded because their buffer was full
}

// Server holds the counts of a whole fleet for one cache server or origin.
type Server struct {
	ID          string
	Origin      bool
	Sent        int
	ByStatus    map[string]int
	TotalMillis float64 // sum of the durations of completed attempts
	ColdPeak    int     // maximum of attempts in any ColdWindowMillis while it was cold
	recentSends []float64
	started     float64
}

// Summary holds the counts of a whole fleet: by second, by server and in total.
type Summary struct {
	Start   float64 // ms
	Seconds []Second
	Servers map[string]*Server
	Total   Second
}

const (
	coldMillis = 8800.0 // time after its start for which a server counts as cold
	// ColdWindowMillis is the length of the sliding window in which attempts at a cold server are
	// counted.
	ColdWindowMillis = 2000.0
	sameFetchMillis  = 1000.0 // a fetch of a key this soon after the origin's answer counts as SameKey
)

var statusNames = map[string]string{}

func init() {
	for st, name := range map[decide.AttemptStatus]string{
		decide.OK: "ok", decide.Failed: "failed", decide.QueueFull: "full",
		decide.Timeout: "timeout", decide.ConnectError: "connect", decide.Reset: "reset", decide.Canceled: "cancelled",
		decide.Unprocessed: "ignored", decide.Miss: "miss", decide.MalformedResponse: "spoilt"} {
		statusNames[strconv.Itoa(int(st))] = name
	}
}

type attemptID struct{ router, r, n string }

// Count sums up events, which must be sorted by time.
func Count(events []Event) *Summary {
	t := &Summary{Servers: map[string]*Server{}}
	for _, e := range events { // seconds count from the first request, as clients start once all routers are ready
		if t.Start = e.At; e.Name == "ask" {
			break
		}
	}
	inFlight := map[attemptID]*Event{}
	fetching, fetched := map[string]int{}, map[string]float64{}
	lastOutcome := map[string]string{} // outcome of each request's last attempt
	open := 0
	for i := range events {
		e := &events[i]
		s := t.second(e.At)
		both := func(do func(*Second)) { do(s); do(&t.Total) }
		request := e.Router + " " + e.Fields["r"]
		id := attemptID{e.Router, e.Fields["r"], e.Fields["n"]}
		switch e.Name {
		case "ask":
			both(func(s *Second) {
				if s.Asked++; e.Fields["retry"] == "true" {
					s.Retried++
				}
			})
			delete(lastOutcome, request) // a restarted router reuses request IDs
		case "send":
			open++
			inFlight[id] = e
			v := t.server(e.Fields["s"])
			v.Sent++
			if v.Origin = e.Fields["origin"] == "true"; v.Origin {
				key := e.Fields["key"]
				same := fetching[key] > 0 || e.At-fetched[key] < sameFetchMillis
				fetching[key]++
				both(func(s *Second) {
					if s.Fetched++; same {
						s.SameKey++
					}
				})
				break
			}
			cold := v.recordCold(e)
			both(func(s *Second) {
				if s.Sent++; e.Fields["n"] != "0" {
					s.FurtherAttempts++
				}
				if cold {
					s.Cold++
				}
			})
		case "got":
			sent := inFlight[id]
			if sent == nil {
				break
			}
			open--
			delete(inFlight, id)
			st := cmp.Or(statusNames[e.Fields["status"]], "?")
			v := t.server(e.Fields["s"])
			v.ByStatus[st]++
			if v.TotalMillis += e.number("ms"); v.Origin {
				key := sent.Fields["key"]
				if fetching[key]--; st == "ok" {
					fetched[key] = e.At
				}
				both(func(s *Second) { s.ByOrigin = increment(s.ByOrigin, st) })
				lastOutcome[request] = "origin-" + st
			} else {
				both(func(s *Second) { s.ByStatus = increment(s.ByStatus, st) })
				lastOutcome[request] = st
			}
		case "end":
			both(func(s *Second) {
				cause := e.Fields["why"] + " after " + cmp.Or(lastOutcome[request], "nothing")
				switch e.Fields["how"] {
				case "0":
					if s.Served++; e.number("left") < 100 {
						s.Late++
					}
				case "1":
					s.Rejected++
					s.ByCause = increment(s.ByCause, cause)
				case "2":
					s.Failed++
					s.ByCause = increment(s.ByCause, "failed "+cause)
				default:
					s.Abandoned++
				}
			})
			delete(lastOutcome, request)
		case "dial":
			both(func(s *Second) {
				if e.Fields["ok"] == "true" {
					s.Dials++
				} else {
					s.FailedDials++
				}
			})
		case "probe":
			both(func(s *Second) {
				if e.Fields["status"] == "0" {
					s.Probes++
				} else {
					s.FailedProbes++
				}
			})
		case "list":
			both(func(s *Second) {
				switch decide.EndpointUpdateKind(e.number("kind")) {
				case decide.WatchFailed:
					s.FailedLists++
				case decide.RestoredEndpoints:
				default:
					s.Lists, s.Lines = s.Lists+1, s.Lines+int(e.number("lines"))
				}
			})
		case "dropped":
			both(func(s *Second) { s.Dropped += int(e.number("n")) })
		}
		s.Open = open
	}
	return t
}

func increment(m map[string]int, name string) map[string]int {
	if m == nil {
		m = map[string]int{}
	}
	m[name]++
	return m
}

// maxSeconds limits the number of seconds; later events are counted in the last one.
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

// recordCold reports whether the server was cold at the attempt e, and if so records the attempt.
func (v *Server) recordCold(e *Event) bool {
	v.started = max(v.started, e.number("started"))
	if v.started == 0 || e.At > v.started+coldMillis {
		return false
	}
	v.recentSends = append(v.recentSends, e.At)
	for v.recentSends[0] < e.At-ColdWindowMillis {
		v.recentSends = v.recentSends[1:]
	}
	v.ColdPeak = max(v.ColdPeak, len(v.recentSends))
	return true
}

// Print writes the counts as text tables.
func (t *Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "%4s %6s %6s %6s %6s %6s %6s %5s %6s %5s %6s %5s %5s %6s %5s %5s %6s %6s %6s %5s %5s\n",
		"s", "asked", "retry", "sent", "again", "cold", "fetch", "same", "dial", "undl", "probe", "unpr", "list",
		"lines", "refl", "open", "served", "turned", "failed", "late", "gone")
	row := func(name string, s *Second) {
		fmt.Fprintf(w, "%4s %6d %6d %6d %6d %6d %6d %5d %6d %5d %6d %5d %5d %6d %5d %5d %6d %6d %6d %5d %5d\n",
			name, s.Asked, s.Retried, s.Sent, s.FurtherAttempts, s.Cold, s.Fetched, s.SameKey,
			s.Dials, s.FailedDials, s.Probes, s.FailedProbes, s.Lists, s.Lines, s.FailedLists, s.Open,
			s.Served, s.Rejected, s.Failed, s.Late, s.Abandoned)
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
	fmt.Fprintf(w, "\nservers: attempts, mean ms, most in %.0f s while cold, outcomes\n", ColdWindowMillis/1000)
	servers := make([]*Server, 0, len(t.Servers))
	for _, v := range t.Servers {
		servers = append(servers, v)
	}
	slices.SortFunc(servers, func(p, q *Server) int {
		return cmp.Or(cmp.Compare(q.Sent, p.Sent), cmp.Compare(p.ID, q.ID))
	})
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
		fmt.Fprintf(w, "%s %6d %8.1f %5d  %s%s\n",
			v.ID, v.Sent, v.TotalMillis/float64(max(1, v.Sent)), v.ColdPeak, strings.Join(outcomes, " "), what)
	}
	if t.Total.Dropped > 0 {
		fmt.Fprintf(w, "\n%d events were not written: routers keep %d between two writes\n",
			t.Total.Dropped, trace.MaxEventsPerFlush)
	}
}

// PrintLineErrors writes the first maxPrintedErrors errors and the number of further ones.
func PrintLineErrors(w io.Writer, lineErrors []LineError) {
	for _, f := range lineErrors[:min(len(lineErrors), maxPrintedErrors)] {
		fmt.Fprintln(w, f)
	}
	if more := len(lineErrors) - maxPrintedErrors; more > 0 {
		fmt.Fprintf(w, "and %d more\n", more)
	}
}
