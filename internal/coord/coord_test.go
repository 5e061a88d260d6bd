package coord

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dockhinge.example/dockhinge/internal/rollout"
)

// command draws one of any kind, over few names, so that they meet.
func command(t *rapid.T, token uint64) Command {
	return Command{Version: Version, Term: rapid.Uint64Range(1, 2).Draw(t, "term"),
		Op:        rapid.SampledFrom([]Op{OpTick, OpOpenSession, OpKeepAlive, OpCloseSession, OpAcquire, OpAcquire, OpRelease, OpTransfer, OpWriteRecord, OpRaiseTokens, OpSetClockRate, "none"}).Draw(t, "op"),
		Elapsed:   time.Duration(rapid.Int64Range(-1, 3).Draw(t, "advance")) * time.Second,
		SessionID: rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "session"), Sequence: rapid.Uint64Range(0, 40).Draw(t, "seq"),
		AcknowledgedThrough: rapid.Uint64Range(0, 40).Draw(t, "acked"), Client: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "client"),
		Lease: rapid.SampledFrom([]string{"l", "m", strings.Repeat("n", MaxNameBytes+1)}).Draw(t, "lease"), Successor: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "to"),
		TTL: time.Duration(rapid.Int64Range(0, 5).Draw(t, "ttl")) * time.Second, Token: rapid.Uint64Range(0, token+1).Draw(t, "token"),
		ClockRateBound: rapid.SampledFrom([]float64{0, 0.01, 0.5}).Draw(t, "rate"), Record: make([]byte, rapid.SampledFrom([]int{0, 3, MaxRecordBytes + 1}).Draw(t, "record"))}
}

// Whatever comes: all replicas agree, also one that began from a snapshot; tokens only grow; nobody holds without a session; and
// nothing is taken back before its time by any clock within the bound.
func TestAnyCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		token := uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "commands") {
			c := command(t, a.LastToken)
			before := a.Clone()
			got, other := a.Apply(c, 1), b.Apply(c, 1)
			if got != other {
				t.Fatalf("%+v: %+v and %+v", c, got, other)
			}
			one, err := a.Marshal()
			if err != nil {
				t.Fatal(err)
			}
			two, err := b.Marshal()
			if err != nil || !bytes.Equal(one, two) {
				t.Fatalf("%+v: %v\n%s\n%s", c, err, one, two)
			}
			if rapid.Bool().Draw(t, "restore") {
				if b, err = Unmarshal(two); err != nil {
					t.Fatal(err)
				}
			}
			if a.LastToken < token {
				t.Fatalf("token %d after %d", a.LastToken, token)
			}
			token = a.LastToken
			for name, l := range a.Leases {
				if a.Sessions[l.SessionID] == nil || !a.Sessions[l.SessionID].Leases[name] {
					t.Fatalf("lease %s of session %q, which doesn't have it", name, l.SessionID)
				}
			}
			// What was held and is held by nobody or another now was given back, or its time on a slow holder's clock is over.
			for name, l := range before.Leases {
				now := a.Leases[name]
				if now != nil && now.Token == l.Token {
					continue
				}
				byHolder := c.SessionID == l.SessionID && (c.Op == OpRelease || c.Op == OpTransfer || c.Op == OpCloseSession)
				passed := float64(a.Clock-before.Sessions[l.SessionID].KeptAliveAt) / (1 + before.ClockRateBound) * (1 - before.ClockRateBound)
				if !byHolder && passed < float64(l.TTL) {
					t.Fatalf("%+v: lease %s was taken back %v after it was kept, of %v", c, name, time.Duration(passed), l.TTL)
				}
			}
		}
	})
}

func must(t *testing.T, s *State, c Command, want Code) Response {
	t.Helper()
	c.Version = 1
	a := s.Apply(c, 1)
	if a.Code != want {
		t.Fatalf("%s: %+v, want %s", c.Op, a, want)
	}
	return a
}

// Until all coordinators run this program, tables are full where an older one's are, or the two would come to different states.
func TestBoundsBeforeUpgrade(t *testing.T) {
	s := New()
	for i := range earlierMaxSessions {
		must(t, s, Command{Op: OpOpenSession, SessionID: fmt.Sprint(i), Client: rollout.RouterClientPrefix + fmt.Sprint(i), TTL: time.Minute}, CodeOK)
	}
	more := Command{Op: OpOpenSession, SessionID: "more", Client: "c", TTL: time.Minute}
	if a := must(t, s, more, CodeLimitReached); a.Text != "sessions: 4096 at most" {
		t.Errorf("%s", a.Text)
	}
	must(t, s, Command{Op: OpUpgrade, TargetVersion: 3}, CodeOK)
	see := func(i int) Command {
		return Command{Op: OpRollout, SessionID: fmt.Sprint(i), Sequence: 1, Rollout: &rollout.Command{Op: rollout.OpReport, Report: &rollout.RouterReport{}}}
	}
	for i := range rollout.EarlierMaxRouters {
		must(t, s, see(i), CodeOK)
	}
	if a := must(t, s, see(rollout.EarlierMaxRouters), CodeLimitReached); a.Text != "routers: 1024 at most" {
		t.Errorf("%s", a.Text)
	}
	large := Command{Op: OpRollout, SessionID: "0", Sequence: 2, Rollout: &rollout.Command{Op: rollout.OpReport, Report: &rollout.RouterReport{Servers: make([]rollout.ServerObservation, rollout.EarlierMaxReportedServers+1)}}}
	if a := must(t, s, large, CodeInvalid); !strings.Contains(a.Text, "members upgrade") {
		t.Errorf("%s", a.Text)
	}
	if n := s.RouterDrains().MaxReportedServers; n != 0 {
		t.Errorf("routers are told of reports of %d servers", n)
	}
	must(t, s, Command{Op: OpUpgrade, TargetVersion: fleetLimitsVersion}, CodeOK)
	must(t, s, more, CodeOK)
	if n := s.RouterDrains().MaxReportedServers; n != rollout.MaxReportedServers {
		t.Errorf("routers are told of reports of %d servers", n)
	}
}

// Each table refuses with the name of its bound, and has room again when something has gone.
func TestBounds(t *testing.T) {
	s := New()
	must(t, s, Command{Op: OpUpgrade, TargetVersion: Version}, CodeOK)
	for i := range MaxSessions {
		must(t, s, Command{Op: OpOpenSession, SessionID: fmt.Sprint(i), Client: "c", TTL: time.Minute}, CodeOK)
	}
	if a := must(t, s, Command{Op: OpOpenSession, SessionID: "more", Client: "c", TTL: time.Minute}, CodeLimitReached); !strings.Contains(a.Text, fmt.Sprint(MaxSessions)) {
		t.Errorf("%s", a.Text)
	}
	take := func(i int) Command {
		return Command{Op: OpAcquire, SessionID: fmt.Sprint(i % 512), Sequence: uint64(i/512 + 1), AcknowledgedThrough: uint64(i / 512), Lease: fmt.Sprint("l", i), TTL: time.Minute}
	}
	for i := range MaxLeases {
		must(t, s, take(i), CodeOK)
	}
	must(t, s, take(MaxLeases), CodeLimitReached)
	for i := range MaxTotalRecordBytes / MaxRecordBytes {
		must(t, s, Command{Op: OpWriteRecord, SessionID: fmt.Sprint(i % 512), Sequence: uint64(18 + i/512), AcknowledgedThrough: uint64(17 + i/512), Lease: fmt.Sprint("l", i), Token: uint64(i + 1), Record: make([]byte, MaxRecordBytes)}, CodeOK)
	}
	must(t, s, Command{Op: OpWriteRecord, SessionID: "511", Sequence: 25, AcknowledgedThrough: 24, Lease: "l8191", Token: 8192, Record: []byte{1}}, CodeLimitReached)
	must(t, s, Command{Op: OpCloseSession, SessionID: "0"}, CodeOK) // 16 leases and 4 records
	must(t, s, Command{Op: OpWriteRecord, SessionID: "511", Sequence: 26, AcknowledgedThrough: 25, Lease: "l8191", Token: 8192, Record: []byte{1}}, CodeOK)
	must(t, s, Command{Op: OpOpenSession, SessionID: "more", Client: "c", TTL: time.Minute}, CodeOK)
	for q := range uint64(MaxCachedResponses) {
		must(t, s, Command{Op: OpAcquire, SessionID: "more", Sequence: q + 1, Lease: "x", TTL: time.Minute}, CodeOK)
	}
	must(t, s, Command{Op: OpAcquire, SessionID: "more", Sequence: MaxCachedResponses + 1, Lease: "x", TTL: time.Minute}, CodeLimitReached)
	must(t, s, Command{Op: OpAcquire, SessionID: "more", Sequence: MaxCachedResponses + 1, AcknowledgedThrough: 1, Lease: "x", TTL: time.Minute}, CodeOK)
	must(t, s, Command{Op: OpAcquire, SessionID: "more", Sequence: 1, Lease: "x", TTL: time.Minute}, CodeSuperseded)
	for _, c := range []Command{{Op: OpOpenSession, SessionID: "s", Client: "c", TTL: time.Second - 1}, {Op: OpOpenSession, SessionID: "s", Client: strings.Repeat("c", MaxNameBytes+1), TTL: time.Minute},
		{Op: OpAcquire, SessionID: "more", Sequence: MaxCachedResponses + 2, AcknowledgedThrough: 2, Lease: "y", TTL: 2 * time.Minute}, {Op: OpAcquire, SessionID: "more", Sequence: MaxCachedResponses + 3, AcknowledgedThrough: 3, Lease: "y", TTL: time.Minute, Purpose: strings.Repeat("p", MaxPurposeBytes+1)}} {
		must(t, s, c, CodeInvalid)
	}
	c := Command{Version: Version + 1, Op: OpTick}
	if a := s.Apply(c, 1); a.Code != CodeUnknownVersion {
		t.Errorf("%+v", a)
	}
}

// Three hundred sessions that end in the same second end at one command, with all that they held.
func TestManyEndAtOnce(t *testing.T) {
	s := New()
	for i := range 300 {
		must(t, s, Command{Op: OpOpenSession, SessionID: fmt.Sprint(i), Client: fmt.Sprint(i), TTL: 10 * time.Second}, CodeOK)
		must(t, s, Command{Op: OpAcquire, SessionID: fmt.Sprint(i), Sequence: 1, Lease: fmt.Sprint("l", i), TTL: 10 * time.Second}, CodeOK)
	}
	must(t, s, Command{Op: OpTick, Term: 1, Elapsed: s.ExpiryDelay(10*time.Second) - 1}, CodeOK)
	if len(s.Leases) != 300 {
		t.Fatalf("%d leases before the time", len(s.Leases))
	}
	must(t, s, Command{Op: OpTick, Term: 2, Elapsed: time.Hour}, CodeOK) // measured in another term: it counts nothing
	must(t, s, Command{Op: OpTick, Term: 1, Elapsed: 1}, CodeOK)
	if len(s.Leases)+len(s.Sessions) != 0 || len(s.ChangedLeases()) != 300 {
		t.Errorf("%d leases, %d sessions, %d changed", len(s.Leases), len(s.Sessions), len(s.ChangedLeases()))
	}
}

// A lease handed over to one that has no session, or a dead one, stays; to one that dies after it, it ends by that one's time.
func TestHandOverToTheDead(t *testing.T) {
	s := New()
	must(t, s, Command{Op: OpOpenSession, SessionID: "a", Client: "a", TTL: 30 * time.Second}, CodeOK)
	must(t, s, Command{Op: OpOpenSession, SessionID: "b", Client: "b", TTL: 30 * time.Second}, CodeOK)
	token := must(t, s, Command{Op: OpAcquire, SessionID: "a", Sequence: 1, Lease: "l", TTL: 5 * time.Second}, CodeOK).Token
	give := func(seq uint64, to string, want Code) Response {
		return must(t, s, Command{Op: OpTransfer, SessionID: "a", Sequence: seq, Lease: "l", Token: token, Successor: to}, want)
	}
	give(2, "nobody", CodeNoClient)
	must(t, s, Command{Op: OpTick, Term: 1, Elapsed: 4 * time.Second}, CodeOK)
	must(t, s, Command{Op: OpKeepAlive, SessionID: "a"}, CodeOK)
	must(t, s, Command{Op: OpTick, Term: 1, Elapsed: 2 * time.Second}, CodeOK)
	give(3, "b", CodeNoClient) // silent for longer than the lease lasts
	must(t, s, Command{Op: OpKeepAlive, SessionID: "b"}, CodeOK)
	if got := give(4, "b", CodeOK).Token; got <= token {
		t.Errorf("token %d after %d", got, token)
	}
	must(t, s, Command{Op: OpTick, Term: 1, Elapsed: s.ExpiryDelay(5 * time.Second)}, CodeOK)
	if len(s.Leases) != 0 {
		t.Error("a dead successor keeps it")
	}
}

// A snapshot that is damaged at any byte, or newer, is refused.
func TestSnapshotRefused(t *testing.T) {
	s := New()
	must(t, s, Command{Op: OpOpenSession, SessionID: "a", Client: "a", TTL: 30 * time.Second}, CodeOK)
	must(t, s, Command{Op: OpAcquire, SessionID: "a", Sequence: 1, Lease: "l", TTL: 5 * time.Second}, CodeOK)
	text, err := s.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	for i := range text {
		bad := bytes.Clone(text)
		bad[i] ^= 1
		if got, err := Unmarshal(bad); err == nil {
			if again, err := got.Marshal(); err != nil || !bytes.Equal(again, text) {
				t.Errorf("byte %d flipped: read as %s", i, again)
			}
		}
		if _, err := Unmarshal(text[:i]); err == nil {
			t.Errorf("cut at %d: read", i)
		}
	}
	if _, err := Unmarshal(bytes.Replace(text, []byte(`{"v":1`), fmt.Appendf(nil, `{"v":%d`, Version+1), 1)); err == nil || !strings.Contains(err.Error(), fmt.Sprintf("version %d", Version+1)) {
		t.Errorf("%v", err)
	}
}
