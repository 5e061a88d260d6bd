package router

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"dockhinge.example/dockhinge/decide"
)

func newReadCommand() *command {
	return &command{verb: "mg", key: "7f3a9c21e0b4d655", id: "a1", metadata: "c=read,t=t,d=480", class: "read",
		remainingMillis: 480}
}

func newWriteCommand() *command {
	return &command{verb: "ms", key: "7f3a9c21e0b4d655", id: "a1", metadata: "c=put,t=t,d=480,k=7", class: "put",
		remainingMillis: 480, value: []byte("abc")}
}

func noHook()                     {}
func noStream(reply) *valueStream { return nil }

var unconditionalHooks = attemptHooks{false, func() timeoutHint { return 400 }, noHook, noHook, noStream}

// Checks the outcome of an attempt, and whether its connection is reused, for each kind of answer
// in both protocols.
func TestOutcomeOfEachKindOfAnswer(t *testing.T) {
	long := strings.Repeat("x", 5000)
	for name, c := range map[string]struct {
		answer      string
		write       bool
		origin      bool
		want        decide.AttemptStatus
		cacheResult decide.CacheResult
		reused      bool
	}{
		"value": {answer: "VA 5 O{id} h1\r\nhello\r\n", want: decide.OK, cacheResult: decide.CacheHit,
			reused: true},
		"value without flag": {answer: "VA 0 O{id}\r\n\r\n", want: decide.OK, reused: true},
		"receipt":            {answer: "HD O{id} c77\r\n", write: true, want: decide.OK, reused: true},
		"miss":               {answer: "EN O{id}\r\n", want: decide.Miss, reused: true},
		"miss with flag": {answer: "EN O{id} h0\r\n", want: decide.Miss, cacheResult: decide.CacheMiss,
			reused: true},
		"miss during fetch": {answer: "EN O{id} h0 Z\r\n", want: decide.Miss,
			cacheResult: decide.CacheMissDuringFetch, reused: true},
		"error":             {answer: "SERVER_ERROR failed\r\n", want: decide.Failed},
		"rejected":          {answer: "SERVER_ERROR busy Lqps=1,util=2\r\n", want: decide.QueueFull},
		"closed":            {answer: "close", want: decide.Reset},
		"value cut":         {answer: "VA 50 O{id}\r\nhel{cut}", want: decide.MalformedResponse},
		"value without end": {answer: "VA 3 O{id}\r\nhello\r\n", want: decide.MalformedResponse},
		"value too long":    {answer: "VA 99999999 O{id}\r\nhello\r\n", want: decide.MalformedResponse},
		"bad length":        {answer: "VA -5 O{id}\r\nhello\r\n", want: decide.MalformedResponse},
		"another's answer":  {answer: "VA 5 Ozz\r\nhello\r\n", want: decide.MalformedResponse},
		"another's miss":    {answer: "EN Ozz\r\n", want: decide.MalformedResponse},
		"value for a write": {answer: "VA 5 O{id}\r\nhello\r\n", write: true, want: decide.MalformedResponse},
		"no receipt":        {answer: "HD O{id}\r\n", write: true, want: decide.MalformedResponse},
		"unknown error":     {answer: "SERVER_ERROR on fire\r\n", want: decide.MalformedResponse},
		"client error":      {answer: "CLIENT_ERROR bad\r\n", want: decide.MalformedResponse},
		"no protocol":       {answer: "\x00\x01\r\n", want: decide.MalformedResponse},
		"endless line":      {answer: long, want: decide.MalformedResponse},
		"noise without end": {answer: "\x07\x01\x02", want: decide.MalformedResponse},
		"value incomplete":  {answer: "VA 50 O{id}\r\nhel", want: decide.MalformedResponse},
		"line incomplete":   {answer: "VA 50 O{id} h1", want: decide.MalformedResponse},
		"value of 3 GB":     {answer: "VA 3000000000 O{id}\r\nhel", want: decide.MalformedResponse},
		"two ids":           {answer: "VA 5 Ozz O{id}\r\nhello\r\n", want: decide.MalformedResponse},
		"value and a copy": {answer: "VA 5 O{id} h1\r\nhello\r\nVA 5 O{id} h1\r\nhello\r\n", want: decide.OK,
			cacheResult: decide.CacheHit},
		"miss and noise": {answer: "EN O{id} h0\r\n\x00\x01", want: decide.Miss, cacheResult: decide.CacheMiss},
		"bad report": {answer: "VA 5 O{id} h1 Lqps=\x00\xff,util=?\r\nhello\r\n", want: decide.OK,
			cacheResult: decide.CacheHit, reused: true},
		"id in the report": {answer: "VA 5 O{id} h1 Lqps=1 Ozz\r\nhello\r\n", want: decide.OK,
			cacheResult: decide.CacheHit, reused: true},
		"origin 1xx ahead": {answer: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" +
			httpAnswer("200 OK", "fresh"), origin: true, want: decide.OK, reused: true},
		"origin endless 1xx": {answer: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20) +
			httpAnswer("200 OK", "fresh"), origin: true, want: decide.MalformedResponse},
		"origin 101": {answer: "HTTP/1.1 101 Switching Protocols\r\n\r\n" + httpAnswer("200 OK", "fresh"),
			origin: true, want: decide.MalformedResponse},
		"origin and a copy": {answer: httpAnswer("200 OK", "fresh") + httpAnswer("200 OK", "fresh"), origin: true,
			want: decide.OK},
		"origin bad report": {answer: httpAnswer("200 OK", "fresh", "X-Backend-Load: qps=\x00\x01"), origin: true,
			want: decide.OK, reused: true},
		"origin long header": {answer: httpAnswer("200 OK", "fresh", "X-Long: "+long), origin: true,
			want: decide.MalformedResponse},
		"origin many headers": {answer: httpAnswer("200 OK", "fresh", strings.Repeat("X-Many: y\r\n", 5000)),
			origin: true, want: decide.MalformedResponse},
		"origin of 3 GB": {answer: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nfre", origin: true,
			want: decide.MalformedResponse},
		"origin 500 of 3 GB": {answer: "HTTP/1.1 500 Oh\r\nContent-Length: 3000000000\r\n\r\nfre", origin: true,
			want: decide.MalformedResponse},
		"origin incomplete": {answer: "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nfre", origin: true,
			want: decide.MalformedResponse},
		"origin head incomplete": {answer: "HTTP/1.1 200 OK\r\nContent-", origin: true, want: decide.MalformedResponse},
		"origin in chunks": {
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfresh\r\n0\r\n\r\n",
			origin: true, want: decide.OK, reused: true},
		"origin big chunks": {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n",
				3), origin: true, want: decide.MalformedResponse},
		"origin to the end": {answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfresh{cut}", origin: true,
			want: decide.OK},
		"origin write to end": {answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n77{cut}", origin: true,
			write: true, want: decide.OK},
		"origin no length": {answer: "HTTP/1.1 200 OK\r\n\r\nfresh{cut}", origin: true,
			want: decide.MalformedResponse},
		"origin value": {answer: httpAnswer("200 OK", "fresh"), origin: true, want: decide.OK, reused: true},
		"origin receipt": {answer: httpAnswer("200 OK", "77"), origin: true, write: true, want: decide.OK,
			reused: true},
		"origin, last": {answer: httpAnswer("200 OK", "fresh", "Connection: close"), origin: true,
			want: decide.OK},
		"origin no receipt": {answer: httpAnswer("200 OK", "a\r\nb"), origin: true, write: true,
			want: decide.MalformedResponse},
		"origin error": {answer: httpAnswer("500 Internal Server Error", ""), origin: true,
			want: decide.Failed},
		"origin bare 503": {answer: httpAnswer("503 Service Unavailable", ""), origin: true,
			want: decide.Failed},
		"origin bare 504": {answer: httpAnswer("504 Gateway Timeout", ""), origin: true, want: decide.Failed},
		"origin 503 not run": {answer: httpAnswer("503 Service Unavailable", "", "X-Unprocessed: 1"), origin: true,
			want: decide.QueueFull},
		"origin 504 not run": {answer: httpAnswer("504 Gateway Timeout", "", "X-Unprocessed: 1"), origin: true,
			want: decide.QueueFull},
		"origin 500, header": {answer: httpAnswer("500 Oh", "", "X-Unprocessed: 1"), origin: true,
			want: decide.Failed},
		"origin closed": {answer: "close", origin: true, want: decide.Reset},
		"origin cut": {answer: "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nfre{cut}", origin: true,
			want: decide.MalformedResponse},
		"origin too long": {answer: httpAnswer("200 OK", strings.Repeat("x", maxValueBytes+1)), origin: true,
			want: decide.MalformedResponse},
		"origin no protocol": {answer: "VA 5 O{id}\r\nhello\r\n", origin: true, want: decide.MalformedResponse},
		"origin wrong length": {answer: "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", origin: true,
			want: decide.MalformedResponse},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFakeServer(t, func(string) string { return c.answer })
			u := newTestUpstreams(t, 10*time.Second, 10)
			target, cmd := u.add(f.addr, c.origin), newReadCommand()
			if c.write {
				cmd = newWriteCommand()
			}
			got := u.roundTrip(t.Context(), target, cmd, unconditionalHooks)
			if got.status != c.want || got.cacheResult != c.cacheResult {
				t.Errorf("got status %v, cache result %d; want %v, %d",
					got.status, got.cacheResult, c.want, c.cacheResult)
			}
			receive(t, f.received, "request")
			if len(f.received) > 0 {
				t.Error("the request was sent twice")
			}
			if kept := len(idleConns(u, target)) == 1; kept != c.reused {
				t.Errorf("connection kept: %v, want %v", kept, c.reused)
			}
		})
	}
}

func TestRefusedConnectionIsConnectError(t *testing.T) {
	u := newTestUpstreams(t, 10*time.Second, 10)
	ln := listenLocal(t)
	refusing := u.add(ln.Addr().String(), false)
	ln.Close()
	if got := u.roundTrip(t.Context(), refusing, newReadCommand(),
		unconditionalHooks); got.status != decide.ConnectError {
		t.Errorf("refused connection: got %v", got.status)
	}
}

// An attempt abandoned before its first byte leaves nothing on the connection, which is reused.
func TestAbandonedAttemptIsNotWritten(t *testing.T) {
	f := startFakeServer(t, hitAnswer)
	u := newTestUpstreams(t, 10*time.Second, 10)
	target := u.add(f.addr, false)
	u.roundTrip(t.Context(), target, newReadCommand(),
		attemptHooks{false, func() timeoutHint { return 0 }, noHook, noHook, noStream})
	if got := u.roundTrip(t.Context(), target, newReadCommand(), unconditionalHooks); got.status != decide.OK {
		t.Errorf("got %v", got.status)
	}
	receive(t, f.received, "request")
	if len(f.received) > 0 || f.connCount.Load() != 1 {
		t.Error("the abandoned attempt was written")
	}
}

func TestHealthCheckReadsLoad(t *testing.T) {
	u := newTestUpstreams(t, 10*time.Second, 10)
	f := startFakeServer(t, func(string) string { return "STAT qps 12\r\nSTAT util 0.5\r\nEND\r\n" })
	o := startFakeServer(t, func(string) string { return httpAnswer("200 OK", "", "X-Backend-Load: qps=12,util=0.5") })
	for _, target := range []*target{u.add(f.addr, false), u.add(o.addr, true)} {
		status, load := u.checkHealth(t.Context(), target)
		if status != decide.OK || load.RequestsPerSecond != 12 || load.Utilization != 0.5 {
			t.Errorf("origin %v: got %v, %+v", target.isOrigin, status, load)
		}
	}
	if st, _ := u.checkHealth(t.Context(), u.add(startFakeServer(t, func(string) string { return "ERROR\r\n" }).addr,
		false)); st == decide.OK {
		t.Error("an error was accepted as a load report")
	}
}

// A load report with an invalid number is ignored completely.
func TestInvalidLoadReportIsIgnored(t *testing.T) {
	for _, text := range []string{"", "qps", "qps=x,util=1", "qps=NaN,util=1", "qps=1,util=+Inf", "qps=-1,util=1",
		"qps=0x1p3,util=1", "qps=1_0"} {
		if got := readLoad(text); got != decide.NoLoadReport {
			t.Errorf("%q: got %+v", text, got)
		}
	}
	if got := readLoad("qps=12.5,util=1e-05,zz=7"); got.RequestsPerSecond != 12.5 || got.Utilization != 1e-05 {
		t.Errorf("got %+v", got)
	}
}

// Guards against taking a late duplicate of the origin's answer for the answer to the next request,
// as HTTP answers carry no request id. The connection is not used until the duplicate would have
// arrived, and is then closed because it has input.
func TestLateDuplicateIsNotTakenForNextAnswer(t *testing.T) {
	ln := listenLocal(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					answer := httpAnswer("200 OK", req.Header.Get("X-Correlation-Id"))
					io.WriteString(c, answer)
					time.AfterFunc(originIdleMinimum/4, func() { io.WriteString(c, answer) })
				}
			}()
		}
	}()
	u := newTestUpstreams(t, 10*time.Second, 10)
	target := u.add(ln.Addr().String(), true)
	for n := range 5 {
		cmd := newReadCommand()
		cmd.id = fmt.Sprint("a", n)
		if got := u.roundTrip(t.Context(), target, cmd, unconditionalHooks); string(got.body) != cmd.id {
			t.Errorf("request %s: got status %v, %q", cmd.id, got.status, got.body)
		}
		if n == 2 { // wait until the duplicates have arrived
			for kept := idleConns(u, target); len(kept) > 0 &&
				(kept[0].isQuiet() || time.Since(kept[0].idleSince) < originIdleMinimum); kept = idleConns(u, target) {
				time.Sleep(time.Millisecond)
			}
		}
	}
}
