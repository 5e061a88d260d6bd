// Package admin serves the operators' calls at the admin address of a router. It accesses the
// router only through a small interface. A slow or silent caller does not delay other callers.
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

// Router handles the operators' calls. Its methods may be called concurrently.
type Router interface {
	// Ready reports whether this process is ready to serve.
	Ready() bool
	// Metrics returns the metrics in JSON, without waiting for the router's event loop.
	Metrics() ([]byte, error)
	// SetDisabled excludes a cache server from requests, or includes it again. The error is
	// ErrUnknownServer if its id was never listed; after any other error the change may have been
	// made.
	SetDisabled(ctx context.Context, id string, disabled bool) error
	// AdmissionState returns the state of fair admission in JSON. The error is ErrNotEnabled if
	// admission is not enabled.
	AdmissionState(ctx context.Context) ([]byte, error)
}

var (
	// ErrNotEnabled reports that the requested feature is not enabled. Its text is the response
	// body.
	ErrNotEnabled = errors.New("not switched on")
	// ErrUnknownServer reports that an id was never listed. Its text is the response body, and is
	// sent over the link between two processes of a router, where package handover maps it back to
	// this error.
	ErrUnknownServer = errors.New("no such cache server")
)

// Time and size limits of a call. An answer is due within a second, even while other callers keep
// connections open for four seconds without a complete call.
const (
	// readTimeout bounds the time to receive a complete call.
	readTimeout = 2 * time.Second
	// workTimeout bounds the work that the router does for a call.
	workTimeout = 900 * time.Millisecond
	// writeTimeout bounds the time from the end of a call's header until its response has been
	// sent.
	writeTimeout = 4 * time.Second
	// maxHeaderBytes bounds the size of a call's header; package net/http allows slightly more.
	maxHeaderBytes = 4 << 10
	maxBodyBytes   = 1 << 10
)

// Serve answers the calls that arrive at ln until ctx ends, and closes ln.
func Serve(ctx context.Context, ln net.Listener, r Router) {
	bounded := newBoundedListener(ln)
	server := &http.Server{
		Handler:        handler(r),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    readTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       log.New(io.Discard, "", 0), // it would log each caller that disconnects
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	server.SetKeepAlivesEnabled(false) // one call per connection
	done := make(chan struct{})
	go func() { // ends after Shutdown or Close; Serve waits for it
		defer close(done)
		if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("serving the admin address failed", "error", err)
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
