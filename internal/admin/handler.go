package admin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"path"
)

// Paths of the calls, as operators know them.
const (
	ReadyPath     = "/-/ready"
	MetricsPath   = "/-/metrics"
	AdmissionPath = "/-/admission"
	// disablePath and enablePath take the id of a cache server.
	disablePath = "/-/cache-servers/{id}/disable"
	enablePath  = "/-/cache-servers/{id}/enable"
)

// handler answers the calls that have arrived completely.
func handler(r Router) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ReadyPath, handleReady(r))
	mux.HandleFunc("GET "+MetricsPath, handleMetrics(r))
	mux.HandleFunc("GET "+AdmissionPath, handleAdmission(r))
	mux.HandleFunc("PUT "+disablePath, handleSetDisabled(r, true))
	mux.HandleFunc("PUT "+enablePath, handleSetDisabled(r, false))
	return requireCompleteCall(mux)
}

func handleReady(r Router) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n") //nolint:errcheck // the caller has disconnected
	}
}

func handleMetrics(r Router) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		text, err := r.Metrics()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		writeJSON(w, text)
	}
}

func handleAdmission(r Router) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		ctx, cancel := context.WithTimeout(q.Context(), workTimeout)
		defer cancel()
		text, err := r.AdmissionState(ctx)
		switch {
		case errors.Is(err, ErrNotEnabled):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			writeJSON(w, text)
		}
	}
}

func handleSetDisabled(r Router, disabled bool) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		ctx, cancel := context.WithTimeout(q.Context(), workTimeout)
		defer cancel()
		err := r.SetDisabled(ctx, q.PathValue("id"), disabled)
		switch {
		case err == nil:
			w.WriteHeader(http.StatusNoContent)
		case errors.Is(err, ErrUnknownServer):
			http.Error(w, err.Error(), http.StatusNotFound)
		default: // it may have been done all the same, and may be asked for again
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}
}

func writeJSON(w http.ResponseWriter, text []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(text, '\n')) //nolint:errcheck // the caller has disconnected
}

// requireCompleteCall passes on only calls whose body has arrived completely: a caller that
// disconnects in the middle of one has asked for nothing.
func requireCompleteCall(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, q.Body, maxBodyBytes)); err != nil {
			code := http.StatusBadRequest
			var tooLarge *http.MaxBytesError
			if errors.As(err, &tooLarge) {
				code = http.StatusRequestEntityTooLarge
			}
			http.Error(w, "the body can't be read", code)
			return
		}
		if c, ok := q.Context().Value(connContextKey{}).(*adminConn); ok {
			c.markComplete()
		}
		// The library would redirect a path that is not clean, which tells a script neither yes nor no.
		if p := q.URL.Path; p == "" || p[0] != '/' || path.Clean(p) != p {
			http.NotFound(w, q)
			return
		}
		next.ServeHTTP(w, q)
	})
}
