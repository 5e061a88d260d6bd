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
	return Command{V: Version, Term: rapid.Uint64Range(1, 2).Draw(t, "term"),
		Op:      rapid.SampledFrom([]Op{Tick, Open, Keep, Close, Acquire, Acquire, Release, HandOver, Write, Raise, Configure, "none"}).Draw(t, "op"),
		Advance: time.Duration(rapid.Int64Range(-1, 3).Draw(t, "advance")) * time.Second,
		Session: rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "session"), Seq: rapid.Uint64Range(0, 40).Draw(t, "seq"),
		Acked: rapid.Uint64Range(0, 40).Draw(t, "acked"), Client: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "client"),
		Lease: rapid.SampledFrom([]string{"l", "m", strings.Repeat("n", MaxName+1)}).Draw(t, "lease"), To: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "to"),
		TTL: time.Duration(rapid.Int64Range(0, 5).Draw(t, "ttl")) * time.Second, Token: rapid.Uint64Range(0, token+1).Draw(t, "token"),
		Rate: rapid.SampledFrom([]float64{0, 0.01, 0.5}).Draw(t, "rate"), Record: make([]byte, rapid.SampledFrom([]int{0, 3, MaxRecord + 1}).Draw(t, "record"))}
}

// Whatever comes: all replicas agree, also one that began from a snapshot; tokens only grow; nobody holds without a session; and
// nothing is taken back before its time by any clock within the bound.
func TestAnyCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		token := uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "commands") {
			c := command(t, a.Token)
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
			if a.Token < token {
				t.Fatalf("token %d after %d", a.Token, token)
			}
			token = a.Token
			for name, l := range a.Leases {
				if a.Sessions[l.Session] == nil || !a.Sessions[l.Session].Leases[name] {
					t.Fatalf("lease %s of session %q, which doesn't have it", name, l.Session)
				}
			}
			// What was held and is held by nobody or another now was given back, or its time on a slow holder's clock is over.
			for name, l := range before.Leases {
				now := a.Leases[name]
				if now != nil && now.Token == l.Token {
					continue
				}
				byHolder := c.Session == l.Session && (c.Op == Release || c.Op == HandOver || c.Op == Close)
				passed := float64(a.Clock-before.Sessions[l.Session].Kept) / (1 + before.Rate) * (1 - before.Rate)
				if !byHolder && passed < float64(l.TTL) {
					t.Fatalf("%+v: lease %s was taken back %v after it was kept, of %v", c, name, time.Duration(passed), l.TTL)
				}
			}
		}
	})
}

func must(t *testing.T, s *State, c Command, want Code) Answer {
	t.Helper()
	c.V = 1
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
		must(t, s, Command{Op: Open, Session: fmt.Sprint(i), Client: rollout.RouterClientPrefix + fmt.Sprint(i), TTL: time.Minute}, OK)
	}
	more := Command{Op: Open, Session: "more", Client: "c", TTL: time.Minute}
	if a := must(t, s, more, Full); a.Text != "sessions: 4096 at most" {
		t.Errorf("%s", a.Text)
	}
	must(t, s, Command{Op: Upgrade, Version: 3}, OK)
	see := func(i int) Command {
		return Command{Op: Roll, Session: fmt.Sprint(i), Seq: 1, Roll: &rollout.Command{Op: rollout.OpReport, Report: &rollout.RouterReport{}}}
	}
	for i := range rollout.EarlierMaxRouters {
		must(t, s, see(i), OK)
	}
	if a := must(t, s, see(rollout.EarlierMaxRouters), Full); a.Text != "routers: 1024 at most" {
		t.Errorf("%s", a.Text)
	}
	large := Command{Op: Roll, Session: "0", Seq: 2, Roll: &rollout.Command{Op: rollout.OpReport, Report: &rollout.RouterReport{Servers: make([]rollout.ServerObservation, rollout.EarlierMaxReportedServers+1)}}}
	if a := must(t, s, large, Bad); !strings.Contains(a.Text, "members upgrade") {
		t.Errorf("%s", a.Text)
	}
	if n := s.RoutersDrains().MaxReportedServers; n != 0 {
		t.Errorf("routers are told of reports of %d servers", n)
	}
	must(t, s, Command{Op: Upgrade, Version: boundsVersion}, OK)
	must(t, s, more, OK)
	if n := s.RoutersDrains().MaxReportedServers; n != rollout.MaxReportedServers {
		t.Errorf("routers are told of reports of %d servers", n)
	}
}

// Each table refuses with the name of its bound, and has room again when something has gone.
func TestBounds(t *testing.T) {
	s := New()
	must(t, s, Command{Op: Upgrade, Version: Version}, OK)
	for i := range MaxSessions {
		must(t, s, Command{Op: Open, Session: fmt.Sprint(i), Client: "c", TTL: time.Minute}, OK)
	}
	if a := must(t, s, Command{Op: Open, Session: "more", Client: "c", TTL: time.Minute}, Full); !strings.Contains(a.Text, fmt.Sprint(MaxSessions)) {
		t.Errorf("%s", a.Text)
	}
	take := func(i int) Command {
		return Command{Op: Acquire, Session: fmt.Sprint(i % 512), Seq: uint64(i/512 + 1), Acked: uint64(i / 512), Lease: fmt.Sprint("l", i), TTL: time.Minute}
	}
	for i := range MaxLeases {
		must(t, s, take(i), OK)
	}
	must(t, s, take(MaxLeases), Full)
	for i := range MaxRecords / MaxRecord {
		must(t, s, Command{Op: Write, Session: fmt.Sprint(i % 512), Seq: uint64(18 + i/512), Acked: uint64(17 + i/512), Lease: fmt.Sprint("l", i), Token: uint64(i + 1), Record: make([]byte, MaxRecord)}, OK)
	}
	must(t, s, Command{Op: Write, Session: "511", Seq: 25, Acked: 24, Lease: "l8191", Token: 8192, Record: []byte{1}}, Full)
	must(t, s, Command{Op: Close, Session: "0"}, OK) // 16 leases and 4 records
	must(t, s, Command{Op: Write, Session: "511", Seq: 26, Acked: 25, Lease: "l8191", Token: 8192, Record: []byte{1}}, OK)
	must(t, s, Command{Op: Open, Session: "more", Client: "c", TTL: time.Minute}, OK)
	for q := range uint64(MaxRemembered) {
		must(t, s, Command{Op: Acquire, Session: "more", Seq: q + 1, Lease: "x", TTL: time.Minute}, OK)
	}
	must(t, s, Command{Op: Acquire, Session: "more", Seq: MaxRemembered + 1, Lease: "x", TTL: time.Minute}, Full)
	must(t, s, Command{Op: Acquire, Session: "more", Seq: MaxRemembered + 1, Acked: 1, Lease: "x", TTL: time.Minute}, OK)
	must(t, s, Command{Op: Acquire, Session: "more", Seq: 1, Lease: "x", TTL: time.Minute}, Old)
	for _, c := range []Command{{Op: Open, Session: "s", Client: "c", TTL: time.Second - 1}, {Op: Open, Session: "s", Client: strings.Repeat("c", MaxName+1), TTL: time.Minute},
		{Op: Acquire, Session: "more", Seq: MaxRemembered + 2, Acked: 2, Lease: "y", TTL: 2 * time.Minute}, {Op: Acquire, Session: "more", Seq: MaxRemembered + 3, Acked: 3, Lease: "y", TTL: time.Minute, Purpose: strings.Repeat("p", MaxText+1)}} {
		must(t, s, c, Bad)
	}
	c := Command{V: Version + 1, Op: Tick}
	if a := s.Apply(c, 1); a.Code != Newer {
		t.Errorf("%+v", a)
	}
}

// Three hundred sessions that end in the same second end at one command, with all that they held.
func TestManyEndAtOnce(t *testing.T) {
	s := New()
	for i := range 300 {
		must(t, s, Command{Op: Open, Session: fmt.Sprint(i), Client: fmt.Sprint(i), TTL: 10 * time.Second}, OK)
		must(t, s, Command{Op: Acquire, Session: fmt.Sprint(i), Seq: 1, Lease: fmt.Sprint("l", i), TTL: 10 * time.Second}, OK)
	}
	must(t, s, Command{Op: Tick, Term: 1, Advance: s.Wait(10*time.Second) - 1}, OK)
	if len(s.Leases) != 300 {
		t.Fatalf("%d leases before the time", len(s.Leases))
	}
	must(t, s, Command{Op: Tick, Term: 2, Advance: time.Hour}, OK) // measured in another term: it counts nothing
	must(t, s, Command{Op: Tick, Term: 1, Advance: 1}, OK)
	if len(s.Leases)+len(s.Sessions) != 0 || len(s.Changed()) != 300 {
		t.Errorf("%d leases, %d sessions, %d changed", len(s.Leases), len(s.Sessions), len(s.Changed()))
	}
}

// A lease handed over to one that has no session, or a dead one, stays; to one that dies after it, it ends by that one's time.
func TestHandOverToTheDead(t *testing.T) {
	s := New()
	must(t, s, Command{Op: Open, Session: "a", Client: "a", TTL: 30 * time.Second}, OK)
	must(t, s, Command{Op: Open, Session: "b", Client: "b", TTL: 30 * time.Second}, OK)
	token := must(t, s, Command{Op: Acquire, Session: "a", Seq: 1, Lease: "l", TTL: 5 * time.Second}, OK).Token
	give := func(seq uint64, to string, want Code) Answer {
		return must(t, s, Command{Op: HandOver, Session: "a", Seq: seq, Lease: "l", Token: token, To: to}, want)
	}
	give(2, "nobody", NoClient)
	must(t, s, Command{Op: Tick, Term: 1, Advance: 4 * time.Second}, OK)
	must(t, s, Command{Op: Keep, Session: "a"}, OK)
	must(t, s, Command{Op: Tick, Term: 1, Advance: 2 * time.Second}, OK)
	give(3, "b", NoClient) // silent for longer than the lease lasts
	must(t, s, Command{Op: Keep, Session: "b"}, OK)
	if got := give(4, "b", OK).Token; got <= token {
		t.Errorf("token %d after %d", got, token)
	}
	must(t, s, Command{Op: Tick, Term: 1, Advance: s.Wait(5 * time.Second)}, OK)
	if len(s.Leases) != 0 {
		t.Error("a dead successor keeps it")
	}
}

// A snapshot that is damaged at any byte, or newer, is refused.
func TestSnapshotRefused(t *testing.T) {
	s := New()
	must(t, s, Command{Op: Open, Session: "a", Client: "a", TTL: 30 * time.Second}, OK)
	must(t, s, Command{Op: Acquire, Session: "a", Seq: 1, Lease: "l", TTL: 5 * time.Second}, OK)
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
