package admin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"path"
)

// Paths of the operators' calls.
const (
	ReadyPath     = "/-/ready"
	MetricsPath   = "/-/metrics"
	AdmissionPath = "/-/admission"
	// disablePath and enablePath take the id of a cache server.
	disablePath = "/-/cache-servers/{id}/disable"
	enablePath  = "/-/cache-servers/{id}/enable"
)

// handler returns the handler for all calls.
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
		io.WriteString(w, "ready\n") //nolint:errcheck // fails only if the caller has disconnected
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
	return func(w http.ResponseWriter, request *http.Request) {
		ctx, cancel := context.WithTimeout(request.Context(), workTimeout)
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
	return func(w http.ResponseWriter, request *http.Request) {
		ctx, cancel := context.WithTimeout(request.Context(), workTimeout)
		defer cancel()
		err := r.SetDisabled(ctx, request.PathValue("id"), disabled)
		switch {
		case err == nil:
			w.WriteHeader(http.StatusNoContent)
		case errors.Is(err, ErrUnknownServer):
			http.Error(w, err.Error(), http.StatusNotFound)
		default: // the change may have been made; the caller can repeat the call
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}
}

func writeJSON(w http.ResponseWriter, text []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(text, '\n')) //nolint:errcheck // fails only if the caller has disconnected
}

// requireCompleteCall passes a call on only after its body has arrived completely, so that a call
// whose caller disconnects early has no effect.
func requireCompleteCall(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, request.Body, maxBodyBytes)); err != nil {
			code := http.StatusBadRequest
			var tooLarge *http.MaxBytesError
			if errors.As(err, &tooLarge) {
				code = http.StatusRequestEntityTooLarge
			}
			http.Error(w, "the body can't be read", code)
			return
		}
		if c, ok := request.Context().Value(connContextKey{}).(*adminConn); ok {
			c.markComplete()
		}
		// net/http would redirect a path that is not clean, and a script could not tell the result.
		if p := request.URL.Path; p == "" || p[0] != '/' || path.Clean(p) != p {
			http.NotFound(w, request)
			return
		}
		next.ServeHTTP(w, request)
	})
}
