package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/lab/checker"
)

// HolderConfig configures a leaseholder process. It is passed as JSON under the fields' names.
type HolderConfig struct {
	Name         string
	Coordinators map[string]string
	Resource     string // address
	Leases       []string
	Others       []string // holders to which it hands leases over
	TTL          time.Duration
	Seed         uint64
	Log          string        // path of the log of claims and calls, one JSON line each
	Idle         time.Duration // longest pause between two tasks
	Hold         time.Duration // longest time for which it uses a lease
}

// logEntry is a line of a holder's log.
type logEntry struct {
	Claim *checker.Claim `json:"c,omitempty"`
	// written before the call, so that the last call of a killed holder is known
	Call *checker.Op `json:"call,omitempty"`
	ID   int         `json:"id,omitempty"`
	Op   *checker.Op `json:"op,omitempty"`
}

// holder is the state of a running leaseholder process.
type holder struct {
	HolderConfig
	client *client.Client
	rng    *rand.Rand

	mu         sync.Mutex
	file       *os.File
	lastCallID int
}

func (h *holder) log(e logEntry) {
	text, err := json.Marshal(e)
	if err != nil {
		panic(err) // plain data can always be encoded
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, err := h.file.Write(append(text, '\n')); err != nil {
		panic(err) // without its log nothing can be checked
	}
}

// recordOperation logs a call, makes it and logs its result.
func (h *holder) recordOperation(o checker.Op, f func() (code string, got uint64, holder string)) {
	h.mu.Lock()
	h.lastCallID++
	id := h.lastCallID
	h.mu.Unlock()
	o.Client = h.Name
	o.From = int64(clock.SinceBoot())
	h.log(logEntry{Call: &o, ID: id})
	code, got, who := f()
	if who != "" {
		o.Holder = who
	}
	o.Code, o.Got = code, got
	if code != "" {
		o.To = int64(clock.SinceBoot())
	}
	h.log(logEntry{Op: &o, ID: id})
}

// codeOf returns the code and the response of a failed call. The code is "" if its outcome is
// unknown.
func codeOf(err error) (string, coord.Response) {
	var r *client.RejectedError
	switch {
	case err == nil:
		return string(coord.CodeOK), coord.Response{}
	case errors.As(err, &r):
		return string(r.Code), r.Response
	case errors.Is(err, client.ErrLeaseLost): // nothing was sent
		return "lost", coord.Response{}
	}
	return "", coord.Response{}
}

// RunHolder acquires leases, acts under them and gives them back, until ctx is canceled.
func RunHolder(ctx context.Context, cfg HolderConfig) error {
	f, err := os.OpenFile(cfg.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	h := &holder{HolderConfig: cfg, file: f, rng: rand.New(rand.NewPCG(cfg.Seed, 21)),
		lastCallID: int(clock.SinceBoot()/time.Millisecond) << 12,
		client:     client.New(client.Options{Coordinators: cfg.Coordinators, ClientName: cfg.Name, TTL: cfg.TTL})}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { h.client.Run(ctx) })
	for ctx.Err() == nil {
		h.holdOneLease(ctx)
		wait(ctx, h.rng.Float64()*h.Idle.Seconds())
	}
	return nil
}

// holdOneLease acquires a lease, acts under it, and then gives it back, hands it over or keeps it.
func (h *holder) holdOneLease(ctx context.Context) {
	name := h.Leases[h.rng.IntN(len(h.Leases))]
	if h.rng.Float64() < 0.3 {
		h.recordOperation(checker.Op{Kind: "read", Lease: name}, func() (string, uint64, string) {
			rows, err := h.client.ListLeases(ctx, name)
			if err != nil {
				return "", 0, ""
			}
			if len(rows) == 0 {
				return "ok", 0, ""
			}
			return "ok", rows[0].Token, rows[0].Holder
		})
	}
	var l *client.Lease
	h.recordOperation(checker.Op{Kind: "acquire", Lease: name}, func() (string, uint64, string) {
		got, err := h.client.Acquire(ctx, name, "the rig's", h.TTL)
		if errors.Is(err, client.ErrLeaseLost) { // it was granted, but too late
			return "", 0, ""
		}
		code, a := codeOf(err)
		if err != nil {
			return code, a.Token, a.Holder
		}
		l = got
		return code, got.Token, ""
	})
	if l == nil {
		return
	}
	until := clock.SinceBoot() + time.Duration(h.rng.Float64()*float64(h.Hold))
	for ctx.Err() == nil && clock.SinceBoot() < until {
		from := clock.SinceBoot()
		left := l.Remaining()
		if left <= 0 {
			break
		}
		h.log(logEntry{Claim: &checker.Claim{Holder: h.Name, Lease: name, Token: l.Token,
			From: int64(from), To: int64(clock.SinceBoot())}})
		if h.rng.Float64() < 0.2 {
			h.sendAct(ctx, l)
		}
		wait(ctx, 0.004)
	}
	if h.rng.Float64() < 0.3 {
		h.writeRecord(ctx, l)
	}
	switch u := h.rng.Float64(); {
	case u < 0.2 && len(h.Others) > 0:
		to := h.Others[h.rng.IntN(len(h.Others))]
		h.recordOperation(checker.Op{Kind: "handover", Lease: name, Token: l.Token, Holder: to},
			func() (string, uint64, string) {
				token, err := l.Transfer(ctx, to)
				code, _ := codeOf(err)
				return code, token, ""
			})
	case u < 0.8:
		h.recordOperation(checker.Op{Kind: "release", Lease: name, Token: l.Token}, func() (string, uint64, string) {
			code, _ := codeOf(l.Release(ctx))
			return code, 0, ""
		})
	default: // keeps the lease without acting, as a holder that hangs
		return
	}
	if h.rng.Float64() < 0.3 { // acts too late, as a holder that was paused before its act
		h.writeRecord(ctx, l)
		h.sendAct(ctx, l)
	}
}

// writeRecord writes a record whose token the coordinators check.
func (h *holder) writeRecord(ctx context.Context, l *client.Lease) {
	h.recordOperation(checker.Op{Kind: "write", Lease: l.Name, Token: l.Token}, func() (string, uint64, string) {
		code, _ := codeOf(l.WriteRecord(ctx, []byte(h.Name)))
		return code, 0, ""
	})
}

// sendAct sends an act to the fake resource, which checks the token. The answer is ignored.
func (h *holder) sendAct(ctx context.Context, l *client.Lease) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		fmt.Sprintf("http://%s/act?holder=%s&lease=%s&token=%d", h.Resource, h.Name, l.Name, l.Token), nil)
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body) // the answer is ignored
		resp.Body.Close()
	}
}

// RunResource serves a fake resource for leased tasks until ctx is canceled. It accepts an act
// unless it has seen a higher token for the lease, and logs all acts with the machine's clock.
func RunResource(ctx context.Context, addr, log string) error {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	top := map[string]uint64{}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		token, err := strconv.ParseUint(q.Get("token"), 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		a := checker.Act{Holder: q.Get("holder"), Lease: q.Get("lease"), Token: token, At: int64(clock.SinceBoot())}
		a.Refused = token < top[a.Lease]
		top[a.Lease] = max(top[a.Lease], token)
		text, _ := json.Marshal(a) // plain data
		if _, err := f.Write(append(text, '\n')); err != nil {
			panic(err) // without its log nothing can be checked
		}
		if a.Refused {
			http.Error(w, "an older token", http.StatusConflict)
		}
	})}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// readHolder reads a holder's log, whose last line may have been cut off by a kill.
func readHolder(path string) (claims []checker.Claim, ops []checker.Op, err error) {
	open := map[int]checker.Op{}
	err = forEachLine(path, func(text []byte) {
		var e logEntry
		if json.Unmarshal(text, &e) != nil {
			return // the last one, cut off
		}
		switch {
		case e.Claim != nil:
			claims = append(claims, *e.Claim)
		case e.Call != nil:
			open[e.ID] = *e.Call
		case e.Op != nil:
			ops = append(ops, *e.Op)
			delete(open, e.ID)
		}
	})
	for _, o := range open {
		ops = append(ops, o)
	}
	return claims, ops, err
}

func forEachLine(path string, f func([]byte)) error {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer file.Close()
	s := bufio.NewScanner(file)
	for s.Scan() {
		f(s.Bytes())
	}
	return s.Err()
}
