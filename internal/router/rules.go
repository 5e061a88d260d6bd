package router

import (
	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/metrics"
)

// rules are what the settings say of requests. A reload replaces them all at once; they are never
// changed.
type rules struct {
	classes map[string]*rule
	// maxAttempts bounds the attempts of a request, all together.
	maxAttempts int
	// allowsHedges is set where two attempts of a request may be out at once.
	allowsHedges bool
	// tellsRetryAfter is set where clients get a Retry-After.
	tellsRetryAfter bool
	// retryAfterMillis is the Retry-After of a request that there is no capacity for.
	retryAfterMillis float64
}

// rule is what the settings say of a class, and its metrics.
type rule struct {
	decide.Class
	count *metrics.ClassCounters
}

func newRules(s decide.Config, m *metrics.Router) *rules {
	r := &rules{
		classes:          map[string]*rule{},
		maxAttempts:      s.MaxAttempts,
		allowsHedges:     s.HedgingAllowed,
		tellsRetryAfter:  s.SendRetryAfter,
		retryAfterMillis: s.MinRetryAfterMillis(),
	}
	for _, class := range s.Classes {
		r.classes[class.Name] = &rule{class, m.Class(class.Name)}
	}
	return r
}

// checkCommand returns what is wrong with a command for this deployment. Any goroutine may call it.
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
