package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/net/netutil"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
	"dockhinge.example/dockhinge/internal/rollout"
)

// Limits and timeouts of the HTTP API for clients.
const (
	// MaxConnections is the number of client connections served at the same time: three per
	// session. It is lower if the process may open fewer descriptors.
	MaxConnections = 24576

	// maxBodyBytes allows for a report of rollout.MaxReportedServers servers with the longest
	// names.
	maxBodyBytes = 256 << 10

	maxHeaderBytes          = 16 << 10
	readHeaderTimeout       = 5 * time.Second
	readTimeout             = 10 * time.Second
	idleTimeout             = 2 * time.Minute
	shutdownTimeout         = 2 * time.Second
	maxLeaseWatchDuration   = 30 * time.Second
	maxRolloutWatchDuration = 5 * time.Second
)

// errorBody is the body of an error response. Leader is set if another coordinator leads.
type errorBody struct {
	Leader     string        `json:"leader"`
	Text       string        `json:"text"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// Handler returns the HTTP API for clients and operators, which uses JSON.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/command", n.serveCommand)
	mux.HandleFunc("GET /v1/leases", n.serveLeases)
	mux.HandleFunc("GET /v1/watch", n.serveLeaseWatch)
	mux.HandleFunc("GET /v1/rollout", n.serveRollout)
	mux.HandleFunc("GET /v1/drains", n.serveDrains)
	mux.HandleFunc("GET "+protocol.ChangesPath, n.serveChanges)
	mux.HandleFunc("GET "+protocol.HistoryPath, n.serveHistory)
	mux.HandleFunc("GET "+protocol.DocumentsPath, n.serveDocuments)
	mux.HandleFunc("GET /v1/status", n.serveStatus)
	mux.HandleFunc("POST /v1/init", n.serveBootstrap)
	mux.HandleFunc("GET /v1/members", n.serveMembers)
	mux.HandleFunc("POST /v1/members", n.serveAddMember)
	mux.HandleFunc("DELETE /v1/members/{name}", n.serveRemoveMember)
	mux.HandleFunc("POST /v1/upgrade", n.serveUpgrade)
	return mux
}

// MetricsHandler returns a handler for monitoring, which accepts no commands. GET /-/metrics
// returns the Status. GET /-/ready returns 200 if the coordinator belongs to a group and knows its
// leader, else 503.
func (n *Node) MetricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/metrics", n.serveStatus)
	mux.HandleFunc("GET /-/ready", func(w http.ResponseWriter, _ *http.Request) {
		if n.Leader() == "" {
			http.Error(w, "no leader is known", http.StatusServiceUnavailable)
		}
	})
	return mux
}

// serveCommand answers POST /v1/command.
func (n *Node) serveCommand(w http.ResponseWriter, r *http.Request) {
	var c coord.Command
	if !readBody(w, r, &c) {
		return
	}
	if c.Op.IsInternal() {
		http.Error(w, fmt.Sprintf("op: %s is reserved for coordinators", c.Op), http.StatusBadRequest)
		return
	}
	response, isUpgradeRequired, err := n.requiresUpgrade(c)
	if !isUpgradeRequired && err == nil {
		response, err = n.Propose(c)
	}
	n.writeResponse(w, response, err)
}

// serveLeases answers GET /v1/leases?name=NAME&prefix=PREFIX.
func (n *Node) serveLeases(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("name")
	prefix := r.URL.Query().Get("prefix")
	var list []coord.LeaseStatus
	err := n.LinearizableRead(func(s *coord.State) {
		list = s.ListLeases(func(lease string) bool {
			return (name == "" || lease == name) && strings.HasPrefix(lease, prefix)
		})
	})
	n.writeResponse(w, list, err)
}

// serveLeaseWatch answers GET /v1/watch?lease=NAME&token=TOKEN.
func (n *Node) serveLeaseWatch(w http.ResponseWriter, r *http.Request) {
	token, err := strconv.ParseUint(r.URL.Query().Get("token"), 10, 64)
	if err != nil {
		http.Error(w, "token: "+err.Error(), http.StatusBadRequest)
		return
	}
	if n.raft.State() != raft.Leader {
		n.writeResponse(w, nil, ErrNotLeader)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxLeaseWatchDuration)
	defer cancel()
	err = n.WatchLease(ctx, r.URL.Query().Get("lease"), token)
	n.writeResponse(w, coord.Response{Code: coord.CodeOK}, err)
}

// awaitNewer waits until there is a version newer than the query's "after", if this coordinator
// leads. For after=0 it waits only with wait=true. It returns false if it has sent an error
// response.
func (n *Node) awaitNewer(
	w http.ResponseWriter, r *http.Request, watch func(ctx context.Context, after uint64) error,
) bool {
	after, err := strconv.ParseUint(cmp.Or(r.URL.Query().Get("after"), "0"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return false
	}
	mustWait := after > 0 || r.URL.Query().Get("wait") == "true"
	if !mustWait || n.raft.State() != raft.Leader {
		return true
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxRolloutWatchDuration)
	defer cancel()
	if err := watch(ctx, after); err != nil {
		n.writeResponse(w, nil, err)
		return false
	}
	return true
}

// serveRollout answers GET /v1/rollout?after=VERSION&wait=true.
func (n *Node) serveRollout(w http.ResponseWriter, r *http.Request) {
	if !n.awaitNewer(w, r, n.WatchRollout) {
		return
	}
	var report rollout.Report
	err := n.LinearizableRead(func(s *coord.State) {
		if s.Rollout != nil {
			report = s.Rollout.Report(s.Clock)
		}
	})
	n.writeResponse(w, report, err)
}

// serveDrains answers GET /v1/drains?after=VERSION&wait=true.
func (n *Node) serveDrains(w http.ResponseWriter, r *http.Request) {
	if !n.awaitNewer(w, r, n.WatchDrains) {
		return
	}
	var drains rollout.DrainSet
	err := n.LinearizableRead(func(s *coord.State) { drains = s.RouterDrains() })
	n.writeResponse(w, drains, err)
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	n.writeResponse(w, n.Status(), nil)
}

func (n *Node) serveMembers(w http.ResponseWriter, _ *http.Request) {
	n.writeResponse(w, n.listMembers(true), nil)
}

func (n *Node) serveBootstrap(w http.ResponseWriter, r *http.Request) {
	var members []Member
	if readBody(w, r, &members) {
		n.writeResponse(w, coord.Response{Code: coord.CodeOK}, n.Bootstrap(members))
	}
}

func (n *Node) serveAddMember(w http.ResponseWriter, r *http.Request) {
	var member Member
	if readBody(w, r, &member) {
		n.writeResponse(w, coord.Response{Code: coord.CodeOK}, n.AddMember(member))
	}
}

func (n *Node) serveRemoveMember(w http.ResponseWriter, r *http.Request) {
	n.writeResponse(w, coord.Response{Code: coord.CodeOK}, n.RemoveMember(r.PathValue("name")))
}

func (n *Node) serveUpgrade(w http.ResponseWriter, r *http.Request) {
	var c coord.Command
	if !readBody(w, r, &c) {
		return
	}
	response, err := n.Propose(coord.Command{Op: coord.OpUpgrade, TargetVersion: c.TargetVersion})
	n.writeResponse(w, response, err)
}

// readBody decodes a request's body. It returns false if it has sent an error response.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeResponse sends a value, or an error with the status code of its type. Write errors are
// ignored, as they mean that the client has disconnected.
func (n *Node) writeResponse(w http.ResponseWriter, value any, err error) {
	var limit *LimitError
	if errors.As(err, &limit) {
		writeLimitReached(w, limit)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if errors.Is(err, ErrNotLeader) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		value = errorBody{Leader: n.Leader(), Text: err.Error()}
	} else if err != nil {
		w.WriteHeader(http.StatusConflict)
		value = errorBody{Text: err.Error()}
	}
	_ = json.NewEncoder(w).Encode(value)
}

// writeLimitReached sends the text of a limit and a Retry-After.
func writeLimitReached(w http.ResponseWriter, limit *LimitError) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Retry-After", retryAfterSeconds(limit.RetryAfter))
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(errorBody{Text: limit.Text, RetryAfter: limit.RetryAfter})
}

// Serve serves requests until ctx ends, and then waits up to shutdownTimeout for those in progress.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	limit := newConnectionLimit(connectionLimitForProcess())
	server := &http.Server{
		Handler:           limit.wrapHandler(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext:       limit.registerConnection,
		ConnState:         limit.unregisterConnection,
	}
	done := make(chan error, 1)
	go func() { // ends with the server; done is received below
		done <- server.Serve(netutil.LimitListener(listener, limit.bound+maxRejectedConnections))
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdown) != nil {
		server.Close()
	}
	<-done
	return nil
}
