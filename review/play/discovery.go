package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"
)

// listVersion is the version of the list, which does not change.
const listVersion = 41

// maxWatchWait is the longest wait that discovery accepts.
const maxWatchWait = time.Minute

// startDiscovery starts a discovery whose list never changes.
func (s *scene) startDiscovery(servers []listEntry) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	service := &http.Server{
		BaseContext: func(net.Listener) context.Context { return ctx },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			answer := map[string]any{"version": listVersion, "full": true, "servers": servers}
			if wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms")); err == nil {
				answer = map[string]any{"version": listVersion, "full": false, "servers": []listEntry{}}
				select {
				case <-time.After(min(time.Duration(wait)*time.Millisecond, maxWatchWait)):
				case <-r.Context().Done():
					return
				}
			}
			json.NewEncoder(w).Encode(answer) //nolint:errcheck // the caller has gone
		}),
	}
	go func() {
		if err := service.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.note("discovery", "%v", err)
		}
	}()
	s.atEnd(func() { cancel(); service.Close() })
	return ln.Addr().String(), nil
}
