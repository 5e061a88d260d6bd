package router

// What the settings say of requests, replaced as a whole at a reload.

import (
	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/metrics"
)

// rules are what the settings say of requests. They are replaced as a whole.
type rules struct {
	classes          map[string]*rule
	maxAttempts      int
	allowsHedges     bool
	tellsRetryAfter  bool    // clients are told how long to stay away
	retryAfterMillis float64 // how long one stays away that there is no room for
}

// rule is what the settings say of a class, and its counts.
type rule struct {
	decide.Class
	count *metrics.Class
}

func newRules(s decide.Config, m *metrics.Router) *rules {
	r := &rules{classes: map[string]*rule{}, maxAttempts: s.MaxAttempts, allowsHedges: s.HedgingAllowed, tellsRetryAfter: s.SendRetryAfter, retryAfterMillis: s.MinRetryAfterMillis()}
	for _, c := range s.Classes {
		r.classes[c.Name] = &rule{c, m.Class(c.Name)}
	}
	return r
}

// reconfigure takes the settings of a new configuration, or tells why not.
func (l *loop) reconfigure(cfg *Config) error {
	if err := l.admission.check(cfg); err != nil {
		return err
	}
	if err := l.balancer.Reconfigure(l.now(), cfg.settings.Config); err != nil {
		return err
	}
	l.admission.reconfigure(cfg)
	l.rules.Store(newRules(cfg.settings.Config, l.metrics))
	l.upstreams.setTimeouts(ms(cfg.settings.Config.IdleTimeoutMillis), ms(cfg.settings.ConnectTimeoutMillis))
	return nil
}

// checkCommand tells what is wrong with a command for this deployment. It may be called from any goroutine.
func (l *loop) checkCommand(cmd *command) error {
	if cmd.verb != "mg" && cmd.verb != "ms" {
		return nil
	}
	c := l.rules.Load().classes[cmd.class]
	switch {
	case c == nil:
		return malformed("class %.40q", cmd.class)
	case c.Effect == decide.IdempotentByKey && cmd.idempotencyKey == "":
		return malformed("class %s takes k", cmd.class)
	}
	return nil
}
