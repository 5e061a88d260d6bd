package router

// The operations for operators, served on the operators' interface. Any goroutine may call them
// until Run returns.

import (
	"context"
	"log/slog"

	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/internal/metrics"
)

// Ready reports whether the router can serve requests.
func (r *Router) Ready() bool {
	return r.isServing.Load() && r.loop.hasEndpoints.Load() && !r.clients.isDraining.Load()
}

// Metrics returns the metrics as JSON.
func (r *Router) Metrics() ([]byte, error) {
	if r.loop.healthReports == nil {
		return r.metrics.JSON(nil)
	}
	hits, misses := r.loop.healthReports.Counts()
	return r.metrics.JSON(&metrics.ProbeReports{Hits: hits, Misses: misses})
}

// SetDisabled disables or enables a cache server in all processes of this router. It returns
// admin.ErrUnknownServer for a name that was never listed. After any other error it is unknown
// whether the call is in effect.
func (r *Router) SetDisabled(ctx context.Context, name string, disabled bool) error {
	return r.disable(ctx, disableCall{ServerID: name, Disabled: disabled}, nil)
}

// setDisabled applies a call in this process. A server disabled by both operators and the fleet is
// enabled only once both have enabled it.
func (l *loop) setDisabled(call disableCall) error {
	id, isKnown := l.serverIDs.IDs[call.ServerID]
	if !isKnown && !call.IsListed {
		return admin.ErrUnknownServer
	}
	if !isKnown {
		id = serverID(call.ServerID)
		l.serverIDs.add(call.ServerID, id, l.isNameInUse)
	}
	disabled, otherwiseDisabled, by := l.disabledByOperator, l.disabledByFleet, "operator"
	if call.ByFleet {
		disabled, otherwiseDisabled, by = l.disabledByFleet, l.disabledByOperator, "fleet"
	}
	if call.Disabled {
		if len(disabled) < maxServerIDs {
			disabled[call.ServerID] = true
		}
		l.balancer.Disable(l.now(), id)
		l.cancelUnsentTo(id)
	} else {
		delete(disabled, call.ServerID)
		if !otherwiseDisabled[call.ServerID] {
			l.balancer.Enable(l.now(), id)
		}
	}
	l.publishEndpointCounts()
	slog.Info("cache server disabled or enabled", "by", by, "server", call.ServerID, "disabled", call.Disabled)
	return nil
}
