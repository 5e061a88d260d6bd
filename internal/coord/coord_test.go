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

var randomOps = []Op{
	OpTick, OpOpenSession, OpKeepAlive, OpCloseSession, OpAcquire, OpAcquire, OpRelease, OpTransfer,
	OpWriteRecord, OpRaiseTokens, OpSetClockRate, "none",
}

// drawCommand draws a random command over a few names, so that commands affect each other.
func drawCommand(t *rapid.T, lastToken uint64) Command {
	seconds := func(low, high int64, label string) time.Duration {
		return time.Duration(rapid.Int64Range(low, high).Draw(t, label)) * time.Second
	}
	longName := strings.Repeat("n", MaxNameBytes+1)
	recordBytes := []int{0, 3, MaxRecordBytes + 1}
	return Command{
		Version:             Version,
		Term:                rapid.Uint64Range(1, 2).Draw(t, "term"),
		Op:                  rapid.SampledFrom(randomOps).Draw(t, "op"),
		Elapsed:             seconds(-1, 3, "advance"),
		SessionID:           rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "session"),
		Sequence:            rapid.Uint64Range(0, 40).Draw(t, "seq"),
		AcknowledgedThrough: rapid.Uint64Range(0, 40).Draw(t, "acked"),
		Client:              rapid.SampledFrom([]string{"x", "y"}).Draw(t, "client"),
		Lease:               rapid.SampledFrom([]string{"l", "m", longName}).Draw(t, "lease"),
		Successor:           rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "to"),
		TTL:                 seconds(0, 5, "ttl"),
		Token:               rapid.Uint64Range(0, lastToken+1).Draw(t, "token"),
		ClockRateBound:      rapid.SampledFrom([]float64{0, 0.01, 0.5}).Draw(t, "rate"),
		Record:              make([]byte, rapid.SampledFrom(recordBytes).Draw(t, "record")),
	}
}

// Two replicas apply the same random commands; one of them is now and then restored from its own
// snapshot, as after a restart. Checks that both always give the same responses and the same bytes,
// that tokens never decrease, that no lease is held without a session, and that no lease expires
// early by any clock within the bound. Otherwise replicas could diverge, or two holders act at
// once.
func TestReplicasAgreeOnRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		lastToken := uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "commands") {
			c := drawCommand(t, a.LastToken)
			before := a.Clone()
			got, other := a.Apply(c, 1), b.Apply(c, 1)
			if got != other {
				t.Fatalf("%+v: %+v and %+v", c, got, other)
			}
			text := sameBytes(t, a, b)
			if rapid.Bool().Draw(t, "restore") {
				restored, err := Unmarshal(text)
				if err != nil {
					t.Fatal(err)
				}
				b = restored
			}
			if a.LastToken < lastToken {
				t.Fatalf("token %d after token %d", a.LastToken, lastToken)
			}
			lastToken = a.LastToken
			checkHoldersHaveSessions(t, a)
			checkNoEarlyExpiry(t, c, before, a)
		}
	})
}

// sameBytes encodes both states, fails unless they encode to the same bytes, and returns the bytes.
func sameBytes(t *rapid.T, a, b *State) []byte {
	t.Helper()
	first, err := a.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	second, err := b.Marshal()
	if err != nil || !bytes.Equal(first, second) {
		t.Fatalf("%v\n%s\n%s", err, first, second)
	}
	return second
}

func checkHoldersHaveSessions(t *rapid.T, s *State) {
	t.Helper()
	for name, lease := range s.Leases {
		session := s.Sessions[lease.SessionID]
		if session == nil || !session.Leases[name] {
			t.Fatalf("lease %s of session %q, which doesn't have it", name, lease.SessionID)
		}
	}
}

// checkNoEarlyExpiry checks the leases that a command freed or transferred: the holder gave the
// lease up itself, or the lease's TTL has passed even on a slow holder's clock.
func checkNoEarlyExpiry(t *rapid.T, c Command, before, after *State) {
	t.Helper()
	for name, lease := range before.Leases {
		now := after.Leases[name]
		if now != nil && now.Token == lease.Token {
			continue
		}
		isReleased := c.Op == OpRelease || c.Op == OpTransfer || c.Op == OpCloseSession
		if isReleased && c.SessionID == lease.SessionID {
			continue
		}
		sinceKeptAlive := float64(after.Clock - before.Sessions[lease.SessionID].KeptAliveAt)
		onSlowClock := sinceKeptAlive / (1 + before.ClockRateBound) * (1 - before.ClockRateBound)
		if onSlowClock < float64(lease.TTL) {
			t.Fatalf("%+v: lease %s expired %v after its last keep-alive, TTL %v",
				c, name, time.Duration(onSlowClock), lease.TTL)
		}
	}
}

// mustApply applies a command and fails unless the response has the code.
func mustApply(t *testing.T, s *State, c Command, want Code) Response {
	t.Helper()
	c.Version = 1
	response := s.Apply(c, 1)
	if response.Code != want {
		t.Fatalf("%s: %+v, want %s", c.Op, response, want)
	}
	return response
}

func openCommand(id, client string, ttl time.Duration) Command {
	return Command{Op: OpOpenSession, SessionID: id, Client: client, TTL: ttl}
}

func tickCommand(elapsed time.Duration) Command {
	return Command{Op: OpTick, Term: 1, Elapsed: elapsed}
}

// reportCommand returns router i's first report, of no servers.
func reportCommand(i int) Command {
	report := &rollout.Command{Op: rollout.OpReport, Report: &rollout.RouterReport{}}
	return Command{Op: OpRollout, SessionID: fmt.Sprint(i), Sequence: 1, Rollout: report}
}

// During a rolling upgrade some coordinators run an older program with smaller tables. Until
// 'members upgrade', all coordinators must reject a session or router beyond the older limits;
// otherwise the states of the two programs diverge.
func TestLegacyLimitsHoldUntilUpgrade(t *testing.T) {
	s := New()
	for i := range legacyMaxSessions {
		mustApply(t, s, openCommand(fmt.Sprint(i), rollout.RouterClientPrefix+fmt.Sprint(i), time.Minute), CodeOK)
	}
	more := openCommand("more", "c", time.Minute)
	if response := mustApply(t, s, more, CodeLimitReached); response.Text != "sessions: 4096 at most" {
		t.Errorf("%s", response.Text)
	}
	mustApply(t, s, Command{Op: OpUpgrade, TargetVersion: 3}, CodeOK)
	for i := range rollout.LegacyMaxRouters {
		mustApply(t, s, reportCommand(i), CodeOK)
	}
	beyond := mustApply(t, s, reportCommand(rollout.LegacyMaxRouters), CodeLimitReached)
	if beyond.Text != "routers: 1024 at most" {
		t.Errorf("%s", beyond.Text)
	}
	large := reportCommand(0)
	large.Sequence = 2
	large.Rollout.Report.Servers = make([]rollout.ServerObservation, rollout.LegacyMaxReportedServers+1)
	if response := mustApply(t, s, large, CodeInvalid); !strings.Contains(response.Text, "members upgrade") {
		t.Errorf("%s", response.Text)
	}
	if n := s.RouterDrains().MaxReportedServers; n != 0 {
		t.Errorf("routers are notified of reports of %d servers", n)
	}
	mustApply(t, s, Command{Op: OpUpgrade, TargetVersion: fleetLimitsVersion}, CodeOK)
	mustApply(t, s, more, CodeOK)
	if n := s.RouterDrains().MaxReportedServers; n != rollout.MaxReportedServers {
		t.Errorf("routers are notified of reports of %d servers", n)
	}
}

// acquireCommand returns the command that acquires lease i, by one of 512 sessions.
func acquireCommand(i int) Command {
	return Command{
		Op: OpAcquire, SessionID: fmt.Sprint(i % 512), TTL: time.Minute, Lease: fmt.Sprint("l", i),
		Sequence: uint64(i/512 + 1), AcknowledgedThrough: uint64(i / 512),
	}
}

// writeCommand returns the command that writes the largest record to lease i, by the same session.
func writeCommand(i int) Command {
	return Command{
		Op: OpWriteRecord, SessionID: fmt.Sprint(i % 512), Lease: fmt.Sprint("l", i),
		Sequence: uint64(18 + i/512), AcknowledgedThrough: uint64(17 + i/512),
		Token: uint64(i + 1), Record: make([]byte, MaxRecordBytes),
	}
}

// Guards against a table without a limit, which could use up the coordinator's memory. Each table
// is filled, rejects one more entry with the limit's text, and accepts an entry again once one is
// freed.
func TestTablesRejectBeyondTheirLimits(t *testing.T) {
	s := New()
	mustApply(t, s, Command{Op: OpUpgrade, TargetVersion: Version}, CodeOK)
	for i := range MaxSessions {
		mustApply(t, s, openCommand(fmt.Sprint(i), "c", time.Minute), CodeOK)
	}
	full := mustApply(t, s, openCommand("more", "c", time.Minute), CodeLimitReached)
	if !strings.Contains(full.Text, fmt.Sprint(MaxSessions)) {
		t.Errorf("%s", full.Text)
	}
	for i := range MaxLeases {
		mustApply(t, s, acquireCommand(i), CodeOK)
	}
	mustApply(t, s, acquireCommand(MaxLeases), CodeLimitReached)
	for i := range MaxTotalRecordBytes / MaxRecordBytes {
		mustApply(t, s, writeCommand(i), CodeOK)
	}
	oneByte := Command{
		Op: OpWriteRecord, SessionID: "511", Sequence: 25, AcknowledgedThrough: 24,
		Lease: "l8191", Token: 8192, Record: []byte{1},
	}
	mustApply(t, s, oneByte, CodeLimitReached)
	mustApply(t, s, Command{Op: OpCloseSession, SessionID: "0"}, CodeOK) // 16 leases and 4 records
	oneByte.Sequence = 26
	oneByte.AcknowledgedThrough = 25
	mustApply(t, s, oneByte, CodeOK)
	mustApply(t, s, openCommand("more", "c", time.Minute), CodeOK)
	checkResponseWindow(t, s)
	checkInvalidCommands(t, s)
	unknown := Command{Version: Version + 1, Op: OpTick}
	if response := s.Apply(unknown, 1); response.Code != CodeUnknownVersion {
		t.Errorf("%+v", response)
	}
}

// checkResponseWindow fills the window of cached responses of session "more".
func checkResponseWindow(t *testing.T, s *State) {
	t.Helper()
	acquire := func(sequence, acknowledged uint64) Command {
		return Command{
			Op: OpAcquire, SessionID: "more", Lease: "x", TTL: time.Minute,
			Sequence: sequence, AcknowledgedThrough: acknowledged,
		}
	}
	for sequence := range uint64(MaxCachedResponses) {
		mustApply(t, s, acquire(sequence+1, 0), CodeOK)
	}
	mustApply(t, s, acquire(MaxCachedResponses+1, 0), CodeLimitReached)
	mustApply(t, s, acquire(MaxCachedResponses+1, 1), CodeOK)
	mustApply(t, s, acquire(1, 0), CodeSuperseded)
}

// checkInvalidCommands applies commands whose fields are out of bounds.
func checkInvalidCommands(t *testing.T, s *State) {
	t.Helper()
	acquire := Command{Op: OpAcquire, SessionID: "more", Lease: "y", TTL: time.Minute}
	longTTL := acquire
	longTTL.Sequence = MaxCachedResponses + 2
	longTTL.AcknowledgedThrough = 2
	longTTL.TTL = 2 * time.Minute
	longPurpose := acquire
	longPurpose.Sequence = MaxCachedResponses + 3
	longPurpose.AcknowledgedThrough = 3
	longPurpose.Purpose = strings.Repeat("p", MaxPurposeBytes+1)
	for _, c := range []Command{
		openCommand("s", "c", time.Second-1),
		openCommand("s", strings.Repeat("c", MaxNameBytes+1), time.Minute),
		longTTL,
		longPurpose,
	} {
		mustApply(t, s, c, CodeInvalid)
	}
}

// 300 sessions become silent at the same time, as in a network partition. One command expires all
// of them with their leases, but not before their time. Time measured by a leader of another term
// does not count.
func TestSilentSessionsExpireTogetherAndNotEarly(t *testing.T) {
	s := New()
	const sessions = 300
	const ttl = 10 * time.Second
	for i := range sessions {
		id := fmt.Sprint(i)
		mustApply(t, s, openCommand(id, id, ttl), CodeOK)
		mustApply(t, s, Command{Op: OpAcquire, SessionID: id, Sequence: 1, Lease: "l" + id, TTL: ttl}, CodeOK)
	}
	mustApply(t, s, tickCommand(s.ExpiryDelay(ttl)-1), CodeOK)
	if len(s.Leases) != sessions {
		t.Fatalf("%d leases before the time", len(s.Leases))
	}
	mustApply(t, s, Command{Op: OpTick, Term: 2, Elapsed: time.Hour}, CodeOK)
	mustApply(t, s, tickCommand(1), CodeOK)
	if len(s.Leases)+len(s.Sessions) != 0 || len(s.ChangedLeases()) != sessions {
		t.Errorf("%d leases, %d sessions, %d changed", len(s.Leases), len(s.Sessions), len(s.ChangedLeases()))
	}
}

// Guards against a lease that is handed over to a dead process, which would block all other
// clients. A transfer to a client without a session, or to one silent for longer than the lease's
// TTL, is rejected and the holder keeps the lease. A transfer to a live successor gets a higher
// token; when the successor then dies, the lease expires by the successor's last keep-alive.
func TestLeaseIsNotTransferredToDeadClient(t *testing.T) {
	s := New()
	const leaseTTL = 5 * time.Second
	mustApply(t, s, openCommand("a", "a", 30*time.Second), CodeOK)
	mustApply(t, s, openCommand("b", "b", 30*time.Second), CodeOK)
	acquire := Command{Op: OpAcquire, SessionID: "a", Sequence: 1, Lease: "l", TTL: leaseTTL}
	token := mustApply(t, s, acquire, CodeOK).Token
	transfer := func(sequence uint64, successor string, want Code) Response {
		c := Command{
			Op: OpTransfer, SessionID: "a", Sequence: sequence, Lease: "l", Token: token, Successor: successor,
		}
		return mustApply(t, s, c, want)
	}
	transfer(2, "nobody", CodeNoClient)
	mustApply(t, s, tickCommand(4*time.Second), CodeOK)
	mustApply(t, s, Command{Op: OpKeepAlive, SessionID: "a"}, CodeOK)
	mustApply(t, s, tickCommand(2*time.Second), CodeOK)
	transfer(3, "b", CodeNoClient) // silent for longer than the lease lasts
	mustApply(t, s, Command{Op: OpKeepAlive, SessionID: "b"}, CodeOK)
	if got := transfer(4, "b", CodeOK).Token; got <= token {
		t.Errorf("token %d after token %d", got, token)
	}
	mustApply(t, s, tickCommand(s.ExpiryDelay(leaseTTL)), CodeOK)
	if len(s.Leases) != 0 {
		t.Error("a dead successor keeps the lease")
	}
}

// A snapshot file has one bit flipped or is truncated, at any byte, or a newer program wrote it.
// Unmarshal must reject it, or the coordinator's state would diverge from the others'.
func TestDamagedSnapshotIsRejected(t *testing.T) {
	s := New()
	mustApply(t, s, openCommand("a", "a", 30*time.Second), CodeOK)
	mustApply(t, s, Command{Op: OpAcquire, SessionID: "a", Sequence: 1, Lease: "l", TTL: 5 * time.Second}, CodeOK)
	text, err := s.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	for i := range text {
		damaged := bytes.Clone(text)
		damaged[i] ^= 1
		if got, err := Unmarshal(damaged); err == nil {
			if again, err := got.Marshal(); err != nil || !bytes.Equal(again, text) {
				t.Errorf("byte %d flipped: accepted as %s", i, again)
			}
		}
		if _, err := Unmarshal(text[:i]); err == nil {
			t.Errorf("truncated at %d: accepted", i)
		}
	}
	newer := bytes.Replace(text, []byte(`{"v":1`), fmt.Appendf(nil, `{"v":%d`, Version+1), 1)
	_, err = Unmarshal(newer)
	if err == nil || !strings.Contains(err.Error(), fmt.Sprintf("version %d", Version+1)) {
		t.Errorf("%v", err)
	}
}
