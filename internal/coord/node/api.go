package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/net/netutil"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
	"dockhinge.example/dockhinge/internal/rollout"
)

// Bounds of the clients' side.
const (
	// MaxConnections of clients are served at once, or fewer where the process may open fewer descriptors: three for each session.
	MaxConnections   = 24576
	maxBodyBytes     = 256 << 10 // a report of rollout.MaxSeen servers whose names are as long as they may be
	maxWatchDuration = 30 * time.Second
)

// Member is one coordinator as the others know it.
type Member struct {
	Name             string `json:"name"`
	Identity         string `json:"identity"`
	Address          string `json:"address"`
	IsVoter          bool   `json:"voter"`
	IsLeader         bool   `json:"leader,omitempty"`
	SupportedVersion int    `json:"newest,omitempty"` // told by who wants to be added: the newest command that its program understands
	IsReachable      bool   `json:"answers"`          // asked for the list alone: it answers the one that was asked
}

// Status is how a coordinator stands, for people and for figures.
type Status struct {
	Name             string   `json:"name"`
	Identity         string   `json:"identity"`
	ListenAddress    string   `json:"listen"` // for the other coordinators
	State            string   `json:"state"`  // Leader, Follower, Candidate; Waiting where it belongs to no group yet
	Leader           string   `json:"leader"`
	Term             uint64   `json:"term"`
	LastLogIndex     uint64   `json:"last"`        // entry of its log
	AppliedIndex     uint64   `json:"applied"`     // entry that the state has
	Lag              uint64   `json:"lag"`         // entries committed and not applied
	CommandVersion   int      `json:"version"`     // of the commands in force
	SupportedVersion int      `json:"understands"` // the newest that this program knows
	Epoch            uint64   `json:"epoch"`       // of its disk
	Sessions         int      `json:"sessions"`    // open
	Leases           int      `json:"leases"`      // held
	LastToken        uint64   `json:"token"`       // the newest
	Revision         uint64   `json:"revision"`    // of the agreed configuration
	Watchers         int      `json:"watchers"`
	Rejected         int64    `json:"refused"` // as a bound was reached
	FsyncP50Millis   float64  `json:"fsync_p50_ms"`
	FsyncP99Millis   float64  `json:"fsync_p99_ms"`
	CommitP50Millis  float64  `json:"commit_p50_ms"` // of commands, from coming to answered
	CommitP99Millis  float64  `json:"commit_p99_ms"`
	Members          []Member `json:"members"`
}

// Status tells how the coordinator stands, by what is known here.
func (n *Node) Status() Status {
	s := Status{Name: n.options.Name, Identity: n.identity, ListenAddress: n.options.ListenAddress, State: n.raft.State().String(), Leader: n.Leader(), Term: n.raft.CurrentTerm(),
		LastLogIndex: n.raft.LastIndex(), Epoch: n.epoch.Load(), SupportedVersion: coord.Version, Rejected: n.rejected.Load(), Members: n.listMembers(false)}
	if len(s.Members) == 0 {
		s.State = "Waiting"
	}
	s.FsyncP50Millis, s.FsyncP99Millis = n.store.syncLatencyMillis()
	n.latencyMu.Lock()
	s.CommitP50Millis, s.CommitP99Millis = float64(n.commitLatency.ValueAtQuantile(50))/1000, float64(n.commitLatency.ValueAtQuantile(99))/1000
	n.latencyMu.Unlock()
	s.Lag = n.raft.CommitIndex() - min(n.raft.CommitIndex(), n.raft.AppliedIndex())
	n.mu.Lock()
	defer n.mu.Unlock()
	s.CommandVersion = n.state.Version
	s.AppliedIndex, s.Sessions, s.Leases, s.LastToken, s.Watchers = n.appliedIndex, len(n.state.Sessions), len(n.state.Leases), n.state.LastToken, n.watchers
	s.Revision = n.state.Revision()
	return s
}

// listMembers lists the group. With ask it asks each whether it answers, which takes a while where one doesn't.
func (n *Node) listMembers(ask bool) (all []Member) {
	leads := n.raft.State() == raft.Leader
	up := map[raft.ServerID]bool{}
	if ask {
		up = n.probeMembers()
	}
	for _, s := range n.voters() {
		name, id, hostport, err := peerAddress(s.Address).split()
		if err != nil {
			continue
		}
		m := Member{Name: name, Identity: id, Address: hostport, IsVoter: s.Suffrage == raft.Voter, IsLeader: leads && id == n.identity, IsReachable: up[s.ID] || id == n.identity}
		all = append(all, m)
	}
	return all
}

// probeMembers asks each other coordinator, side by side, whether it answers.
func (n *Node) probeMembers() map[raft.ServerID]bool {
	type one struct {
		id raft.ServerID
		ok bool
	}
	voters := n.voters()
	c := make(chan one, len(voters))
	for _, s := range voters {
		go func() { // ends by helloWithin; the channel has room for all
			conn, err := n.peers.Dial(s.Address, handshakeTimeout/4)
			if err == nil {
				conn.Close()
			}
			c <- one{s.ID, err == nil}
		}()
	}
	got := map[raft.ServerID]bool{}
	for range voters {
		x := <-c
		got[x.id] = x.ok
	}
	return got
}

// errorBody is the body with which a coordinator that doesn't lead, or has reached a bound, turns a client away.
type errorBody struct {
	Leader     string        `json:"leader"`
	Text       string        `json:"text"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// Handler serves clients and operators: JSON over HTTP.
func (n *Node) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/command", func(w http.ResponseWriter, r *http.Request) {
		var c coord.Command
		if !readBody(w, r, &c) {
			return
		}
		if c.Op == coord.OpTick || c.Op == coord.OpSetClockRate || c.Op == coord.OpRaiseTokens || c.Op == coord.OpUpgrade {
			http.Error(w, fmt.Sprintf("op: %s is the coordinators' own", c.Op), http.StatusBadRequest)
			return
		}
		if a, awaits, err := n.awaitsUpgrade(c); awaits || err != nil {
			n.writeResponse(w, a, err)
			return
		}
		a, err := n.Propose(c)
		n.writeResponse(w, a, err)
	})
	m.HandleFunc("GET /v1/leases", func(w http.ResponseWriter, r *http.Request) {
		var rows []coord.LeaseStatus
		name, prefix := r.URL.Query().Get("name"), r.URL.Query().Get("prefix")
		err := n.LinearizableRead(func(s *coord.State) {
			rows = s.ListLeases(func(l string) bool { return (name == "" || l == name) && strings.HasPrefix(l, prefix) })
		})
		n.writeResponse(w, rows, err)
	})
	m.HandleFunc("GET /v1/watch", func(w http.ResponseWriter, r *http.Request) {
		token, err := strconv.ParseUint(r.URL.Query().Get("token"), 10, 64)
		if err != nil {
			http.Error(w, "token: "+err.Error(), http.StatusBadRequest)
			return
		}
		if n.raft.State() != raft.Leader {
			n.writeResponse(w, nil, ErrNotLeader)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), maxWatchDuration)
		defer cancel()
		n.writeResponse(w, coord.Response{Code: coord.CodeOK}, n.WatchLease(ctx, r.URL.Query().Get("lease"), token))
	})
	watch := func(w http.ResponseWriter, r *http.Request, drains bool) bool {
		after, err := strconv.ParseUint(cmp.Or(r.URL.Query().Get("after"), "0"), 10, 64)
		if err != nil {
			http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
			return false
		}
		waits := after > 0 || r.URL.Query().Get("wait") == "true"
		if waits && n.raft.State() == raft.Leader {
			ctx, cancel := context.WithTimeout(r.Context(), maxWatchDuration/6)
			defer cancel()
			if err := n.WatchRollout(ctx, drains, after); err != nil {
				n.writeResponse(w, nil, err)
				return false
			}
		}
		return true
	}
	m.HandleFunc("GET /v1/rollout", func(w http.ResponseWriter, r *http.Request) {
		if !watch(w, r, false) {
			return
		}
		var report rollout.Report
		err := n.LinearizableRead(func(s *coord.State) {
			if s.Rollout != nil {
				report = s.Rollout.Report(s.Clock)
			}
		})
		n.writeResponse(w, report, err)
	})
	m.HandleFunc("GET /v1/drains", func(w http.ResponseWriter, r *http.Request) {
		if !watch(w, r, true) {
			return
		}
		var d rollout.DrainSet
		err := n.LinearizableRead(func(s *coord.State) { d = s.RouterDrains() })
		n.writeResponse(w, d, err)
	})
	m.HandleFunc("GET "+protocol.ChangesPath, n.serveChanges)
	m.HandleFunc("GET "+protocol.HistoryPath, n.serveHistory)
	m.HandleFunc("GET "+protocol.DocumentsPath, n.serveDocuments)
	m.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { n.writeResponse(w, n.Status(), nil) })
	m.HandleFunc("POST /v1/init", func(w http.ResponseWriter, r *http.Request) {
		var all []Member
		if readBody(w, r, &all) {
			n.writeResponse(w, coord.Response{Code: coord.CodeOK}, n.Bootstrap(all))
		}
	})
	m.HandleFunc("GET /v1/members", func(w http.ResponseWriter, _ *http.Request) { n.writeResponse(w, n.listMembers(true), nil) })
	m.HandleFunc("POST /v1/members", func(w http.ResponseWriter, r *http.Request) {
		var one Member
		if readBody(w, r, &one) {
			n.writeResponse(w, coord.Response{Code: coord.CodeOK}, n.AddMember(one))
		}
	})
	m.HandleFunc("POST /v1/upgrade", func(w http.ResponseWriter, r *http.Request) {
		var c coord.Command
		if readBody(w, r, &c) {
			a, err := n.Propose(coord.Command{Op: coord.OpUpgrade, TargetVersion: c.TargetVersion})
			n.writeResponse(w, a, err)
		}
	})
	m.HandleFunc("DELETE /v1/members/{name}", func(w http.ResponseWriter, r *http.Request) {
		n.writeResponse(w, coord.Response{Code: coord.CodeOK}, n.RemoveMember(r.PathValue("name")))
	})
	return m
}

func readBody(w http.ResponseWriter, r *http.Request, to any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (n *Node) writeResponse(w http.ResponseWriter, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	var full *LimitError
	switch {
	case errors.As(err, &full):
		writeLimitReached(w, full)
		return
	case errors.Is(err, ErrNotLeader):
		w.WriteHeader(http.StatusMisdirectedRequest)
		v = errorBody{Leader: n.Leader(), Text: err.Error()}
	case err != nil:
		w.WriteHeader(http.StatusConflict)
		v = errorBody{Text: err.Error()}
	}
	_ = json.NewEncoder(w).Encode(v) // a client that has gone needs no answer
}

// writeLimitReached answers with a bound that was reached.
func writeLimitReached(w http.ResponseWriter, full *LimitError) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Retry-After", retryAfterSeconds(full.RetryAfter))
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(errorBody{Text: full.Text, RetryAfter: full.RetryAfter}) // a client that has gone needs no answer
}

// MetricsHandler serves who watches a coordinator: GET /-/metrics is its Status, and GET /-/ready says with 200 that it belongs to a group
// and knows its leader, else 503. No command gets in here.
func (n *Node) MetricsHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /-/metrics", func(w http.ResponseWriter, _ *http.Request) { n.writeResponse(w, n.Status(), nil) })
	m.HandleFunc("GET /-/ready", func(w http.ResponseWriter, _ *http.Request) {
		if n.Leader() == "" {
			http.Error(w, "no leader is known", http.StatusServiceUnavailable)
		}
	})
	return m
}

// Serve answers with the handler until ctx ends.
func Serve(ctx context.Context, ln net.Listener, h http.Handler) error {
	limit := newConnectionLimit(connectionLimitForProcess())
	s := &http.Server{Handler: limit.handler(h), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10,
		BaseContext: func(net.Listener) context.Context { return ctx }, ConnContext: limit.opened, ConnState: limit.changed}
	done := make(chan error, 1)
	go func() { done <- s.Serve(netutil.LimitListener(ln, limit.bound+maxRefusedConnections)) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	over, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
	defer cancel()
	if s.Shutdown(over) != nil {
		s.Close()
	}
	<-done
	return nil
}

// MaxMembers bounds the coordinators.
const MaxMembers = 9

// Bootstrap makes the first group of coordinators whose directories are all empty.
func (n *Node) Bootstrap(all []Member) error {
	if len(all) == 0 || len(all) > MaxMembers {
		return fmt.Errorf("members: %d, between 1 and %d must be named", len(all), MaxMembers)
	}
	if len(n.voters()) > 0 {
		return fmt.Errorf("coordinator %s belongs to a group already", n.options.Name)
	}
	var c raft.Configuration
	own := false
	for _, m := range all {
		own = own || m.Identity == n.identity
		c.Servers = append(c.Servers, raft.Server{ID: raft.ServerID(m.Identity), Address: raft.ServerAddress(m.Name + "/" + m.Identity + "@" + m.Address)})
	}
	if !own {
		return fmt.Errorf("members: coordinator %s with identity %s is not among them", n.options.Name, n.identity)
	}
	return n.raft.BootstrapCluster(c).Error()
}

// checkQuorum reports whether a change leaves a majority that answers now: no change may be the one that stops all.
func (n *Node) checkQuorum(after []raft.Server) error {
	up := n.probeMembers()
	up[raft.ServerID(n.identity)] = true
	voters, alive := 0, 0
	for _, s := range after {
		if s.Suffrage == raft.Voter {
			voters++
			if up[s.ID] {
				alive++
			}
		}
	}
	if alive <= voters/2 {
		return fmt.Errorf("of the %d coordinators that there would be %d answer, which is no majority: nothing was changed", voters, alive)
	}
	return nil
}

// AddMember takes a coordinator with an empty directory into the group. It gets the log first and votes once it has it.
func (n *Node) AddMember(m Member) error {
	if n.raft.State() != raft.Leader {
		return ErrNotLeader
	}
	n.mu.Lock()
	version := n.state.Version
	n.mu.Unlock()
	if m.SupportedVersion < version {
		return fmt.Errorf("members: %s runs a program that knows commands up to version %d, and %d is in force", m.Name, m.SupportedVersion, version)
	}
	voters := n.voters()
	if len(voters) >= MaxMembers {
		return fmt.Errorf("members: %d at most", MaxMembers)
	}
	for _, s := range voters {
		if name, id, _, _ := peerAddress(s.Address).split(); name == m.Name && id != m.Identity {
			return fmt.Errorf("members: %s is one already, with another disk (%s): remove that one first", name, id)
		}
	}
	s := raft.Server{ID: raft.ServerID(m.Identity), Address: raft.ServerAddress(m.Name + "/" + m.Identity + "@" + m.Address)}
	if err := n.checkQuorum(append(slices.Clone(voters), s)); err != nil {
		return err
	}
	if err := n.raft.AddNonvoter(s.ID, s.Address, 0, proposeTimeout).Error(); err != nil {
		return err
	}
	return n.raft.AddVoter(s.ID, s.Address, 0, proposeTimeout).Error()
}

// RemoveMember takes a coordinator out of the group, dead or alive.
func (n *Node) RemoveMember(name string) error {
	if n.raft.State() != raft.Leader {
		return ErrNotLeader
	}
	voters := n.voters()
	i := slices.IndexFunc(voters, func(s raft.Server) bool { got, _, _, _ := peerAddress(s.Address).split(); return got == name })
	if i < 0 {
		return fmt.Errorf("members: %s is none", name)
	}
	if len(voters) == 1 {
		return fmt.Errorf("members: %s is the last one", name)
	}
	if string(voters[i].ID) == n.identity { // it could not tell of its own removal
		if err := n.raft.LeadershipTransfer().Error(); err != nil {
			return err
		}
		return ErrNotLeader
	}
	if err := n.checkQuorum(slices.Delete(slices.Clone(voters), i, i+1)); err != nil {
		return err
	}
	return n.raft.RemoveServer(voters[i].ID, 0, proposeTimeout).Error()
}
