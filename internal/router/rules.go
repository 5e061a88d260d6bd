package router

import (
	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/metrics"
)

// rules are the settings that apply to requests. They are immutable; a reload replaces them
// atomically.
type rules struct {
	classes map[string]*rule
	// maxAttempts limits the total number of attempts of a request.
	maxAttempts int
	// allowsHedges is set if two attempts of a request may be in flight at once.
	allowsHedges bool
	// sendsRetryAfter is set if clients receive a Retry-After.
	sendsRetryAfter bool
	// retryAfterMillis is the Retry-After of a request rejected for lack of capacity.
	retryAfterMillis float64
}

// rule holds the settings of a class and its metrics.
type rule struct {
	decide.Class
	count *metrics.ClassCounters
}

func newRules(s decide.Config, m *metrics.Router) *rules {
	r := &rules{
		classes:          map[string]*rule{},
		maxAttempts:      s.MaxAttempts,
		allowsHedges:     s.HedgingAllowed,
		sendsRetryAfter:  s.SendRetryAfter,
		retryAfterMillis: s.MinRetryAfterMillis(),
	}
	for _, class := range s.Classes {
		r.classes[class.Name] = &rule{class, m.Class(class.Name)}
	}
	return r
}

// checkCommand returns an error if a command does not fit the settings. Any goroutine may call it.
func (l *loop) checkCommand(cmd *command) error {
	if !cmd.isRequest() {
		return nil
	}
	rule := l.rules.Load().classes[cmd.class]
	switch {
	case rule == nil:
		return malformed("class %.40q", cmd.class)
	case rule.Effect == decide.IdempotentByKey && cmd.idempotencyKey == "":
		return malformed("class %s takes k", cmd.class)
	}
	return nil
}

// clientWaitMillis returns how long the client of a request waits for its answer. Its time is limited
// to the deadline of its class. Any goroutine may call it.
func (l *loop) clientWaitMillis(cmd *command) float64 {
	if rule := l.rules.Load().classes[cmd.class]; rule != nil {
		return min(cmd.remainingMillis, rule.DeadlineMillis)
	}
	return cmd.remainingMillis
}
