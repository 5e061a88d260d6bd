// Package admin serves the operators' calls at the admin address, the router's second one. It knows
// the router by a small interface only, and no caller, however slow or silent, keeps another one
// waiting.
package admin

import (
	"context"
	"errors"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"time"
)

// Router is what the operators' calls reach. Its methods may be called concurrently.
type Router interface {
	// Ready reports whether this process is ready to serve.
	Ready() bool
	// Metrics returns the report in JSON, without waiting for the router.
	Metrics() ([]byte, error)
	// SetDisabled leaves a cache server out, or puts it back. The error is ErrUnknownServer where its
	// id was never listed; with another error it may have been done all the same.
	SetDisabled(ctx context.Context, id string, disabled bool) error
	// AdmissionState returns how fair admission stands, in JSON. The error is ErrNotEnabled where there
	// is none.
	AdmissionState(ctx context.Context) ([]byte, error)
}

var (
	// ErrNotEnabled tells that what is asked for is not enabled. Its text is the body of the answer.
	ErrNotEnabled = errors.New("not switched on")
	// ErrUnknownServer tells that an id was never listed. Its text is the body of the answer, and
	// crosses the link between two processes of a router, where internal/handover maps it back.
	ErrUnknownServer = errors.New("no such cache server")
)

// Bounds of a call. An answer is due within a second, beside callers that keep a connection for four
// without a complete call.
const (
	// readTimeout is for a call to arrive completely.
	readTimeout = 2 * time.Second
	// workTimeout is for what the call asks of the router.
	workTimeout = 900 * time.Millisecond
	// writeTimeout is from the end of a call's header until its answer has been read.
	writeTimeout = 4 * time.Second
	// maxHeaderBytes bounds a call's header; the library adds some.
	maxHeaderBytes = 4 << 10
	maxBodyBytes   = 1 << 10
)

// Serve answers calls that arrive at ln, which it closes, until ctx ends.
func Serve(ctx context.Context, ln net.Listener, r Router) {
	bounded := newBoundedListener(ln)
	server := &http.Server{
		Handler:        handler(r),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    readTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       log.New(io.Discard, "", 0), // it would tell of each caller that disconnects
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	server.SetKeepAlivesEnabled(false) // one call per connection
	done := make(chan struct{})
	go func() { // ends with Shutdown or Close; Serve waits for it
		defer close(done)
		if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("second address", "error", err)
		}
	}()
	<-ctx.Done()
	shutdown, cancel := context.WithTimeout(context.Background(), workTimeout)
	defer cancel()
	if server.Shutdown(shutdown) != nil {
		server.Close() //nolint:errcheck // the listener is closed already
	}
	<-done
}
