// Package admin serves the operators' calls at a second address. It knows the router by a small interface only, and
// no caller, however slow or silent, keeps another one waiting.
package admin

import (
	"context"
	"errors"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"path"
	"sync"
	"time"
)

// Router is what the operators' calls reach.
type Router interface {
	// Ready reports whether this process is ready to serve.
	Ready() bool
	// Metrics is the report in JSON. It waits for nothing.
	Metrics() ([]byte, error)
	// SetDisabled leaves a cache server out, or puts it back. ErrUnknown tells that its id was never listed.
	SetDisabled(ctx context.Context, id string, disabled bool) error
	// AdmissionState is how fair admission stands, in JSON; ErrOff tells that there is none.
	AdmissionState(ctx context.Context) ([]byte, error)
}

// ErrNotEnabled tells that what is asked for is not switched on.
var ErrNotEnabled = errors.New("not switched on")

// ErrUnknownServer tells that an id was never listed.
var ErrUnknownServer = errors.New("no such cache server")

// Bounds. An answer is owed within a second, beside callers that keep a connection for four without a whole call.
const (
	readTimeout    = 2 * time.Second        // for a call to come whole
	workTimeout    = 900 * time.Millisecond // for what it asks for
	writeTimeout   = 4 * time.Second        // from the end of its head until the answer is taken
	maxHeaderBytes = 4 << 10                // bytes; the library adds some
	maxBodyBytes   = 1 << 10
	// MaxConns is how many connections are open at once. One more drives out the one that has been without a whole
	// call for longest.
	MaxConns = 16
)

// Serve answers calls that come to ln, which it closes, until ctx ends.
func Serve(ctx context.Context, ln net.Listener, r Router) {
	door := &boundedListener{Listener: ln, open: map[*adminConn]struct{}{}}
	s := &http.Server{Handler: handler(r), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: readTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0), // callers that leave are no news
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		}}
	s.SetKeepAlivesEnabled(false) // one call per connection
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Serve(door); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("second address", "error", err)
		}
	}()
	<-ctx.Done()
	end, cancel := context.WithTimeout(context.Background(), workTimeout)
	defer cancel()
	if s.Shutdown(end) != nil {
		s.Close() //nolint:errcheck // the listener is closed already
	}
	<-done
}

func handler(r Router) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n") //nolint:errcheck // the caller has left
	})
	mux.HandleFunc("GET /-/metrics", func(w http.ResponseWriter, _ *http.Request) {
		text, err := r.Metrics()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(append(text, '\n')) //nolint:errcheck // as above
	})
	set := func(disabled bool) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			ctx, cancel := context.WithTimeout(q.Context(), workTimeout)
			defer cancel()
			switch err := r.SetDisabled(ctx, q.PathValue("id"), disabled); {
			case err == nil:
				w.WriteHeader(http.StatusNoContent)
			case errors.Is(err, ErrUnknownServer):
				http.Error(w, err.Error(), http.StatusNotFound)
			default: // it may be done all the same, and may be asked for again
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			}
		}
	}
	mux.HandleFunc("PUT /-/cache-servers/{id}/disable", set(true))
	mux.HandleFunc("PUT /-/cache-servers/{id}/enable", set(false))
	mux.HandleFunc("GET /-/admission", func(w http.ResponseWriter, q *http.Request) {
		ctx, cancel := context.WithTimeout(q.Context(), workTimeout)
		defer cancel()
		switch text, err := r.AdmissionState(ctx); {
		case errors.Is(err, ErrNotEnabled):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			w.Header().Set("Content-Type", "application/json")
			w.Write(append(text, '\n')) //nolint:errcheck // the caller has left
		}
	})
	return requireCompleteCall(mux)
}

// requireCompleteCall lets only a call through that has come whole: half of one asks for nothing.
func requireCompleteCall(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, q.Body, maxBodyBytes)); err != nil {
			code := http.StatusBadRequest
			if big := (*http.MaxBytesError)(nil); errors.As(err, &big) {
				code = http.StatusRequestEntityTooLarge
			}
			http.Error(w, "the body can't be read", code)
			return
		}
		if c, ok := q.Context().Value(connContextKey{}).(*adminConn); ok {
			c.markComplete()
		}
		if p := q.URL.Path; p == "" || p[0] != '/' || path.Clean(p) != p { // the library would redirect: neither yes nor no
			http.NotFound(w, q)
			return
		}
		next.ServeHTTP(w, q)
	})
}

// boundedListener bounds the connections that are open at once.
type boundedListener struct {
	net.Listener
	mu   sync.Mutex
	open map[*adminConn]struct{} // those without a whole call, and those whose call is being answered
}

// adminConn is a connection of a caller.
type adminConn struct {
	net.Conn
	listener   *boundedListener
	acceptedAt time.Time
	isComplete bool // guarded by d.mu: its call has come
	once       sync.Once
}

type connContextKey struct{}

func (d *boundedListener) Accept() (net.Conn, error) {
	for {
		nc, err := d.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil, err
			}
			time.Sleep(50 * time.Millisecond) // no descriptor is left: the address must outlive that
			continue
		}
		c := &adminConn{Conn: nc, listener: d, acceptedAt: time.Now()}
		if out := d.register(c); out != nil {
			out.Close()
			if out == c {
				continue
			}
		}
		return c, nil
	}
}

// register takes a connection in and returns the one that must go for it, if any: itself where all others have asked.
func (d *boundedListener) register(c *adminConn) (out *adminConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.open) >= MaxConns {
		out = c
		for o := range d.open {
			if !o.isComplete && o.acceptedAt.Before(out.acceptedAt) {
				out = o
			}
		}
	}
	if out != c {
		delete(d.open, out)
		d.open[c] = struct{}{}
	}
	return out
}

func (c *adminConn) markComplete() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.isComplete = true
}

// Close closes the connection, which no longer counts.
func (c *adminConn) Close() (err error) {
	c.once.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.open, c)
		c.listener.mu.Unlock()
		err = c.Conn.Close()
	})
	return err
}
