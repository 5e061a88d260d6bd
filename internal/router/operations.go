package router

// The calls of operators, as the second address offers them. They may come from any goroutine until
// Run returns.

import (
	"context"
	"log/slog"

	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/internal/metrics"
)

// Ready reports whether the router can serve.
func (r *Router) Ready() bool {
	return r.isServing.Load() && r.loop.hasEndpoints.Load() && !r.clients.isDraining.Load()
}

// Metrics is the report of the metrics, in JSON.
func (r *Router) Metrics() ([]byte, error) {
	if r.loop.healthReports == nil {
		return r.metrics.JSON(nil)
	}
	hits, misses := r.loop.healthReports.Counts()
	return r.metrics.JSON(&metrics.ProbeReports{Hits: hits, Misses: misses})
}

// SetDisabled disables a cache server, or enables it again, in all processes of this router.
// admin.ErrUnknownServer is the error for a name that no list has had; any other error leaves open
// whether the call holds.
func (r *Router) SetDisabled(ctx context.Context, name string, disabled bool) error {
	return r.disable(ctx, disableCall{ServerID: name, Disabled: disabled}, nil)
}

// setDisabled carries a call out in this process. A server that both operators and the fleet have
// disabled is enabled once both have enabled it.
func (l *loop) setDisabled(call disableCall) error {
	id, isKnown := l.serverIDs.IDs[call.ServerID]
	if !isKnown && !call.IsListed {
		return admin.ErrUnknownServer
	}
	if !isKnown {
		id = serverID(call.ServerID)
		l.serverIDs.add(call.ServerID, id)
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
