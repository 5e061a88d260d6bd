package fleet

import (
	"fmt"
)

// routerConfig returns the configuration that the platform would give a router. It contains the
// last endpoint list that the router received.
func (fl *Fleet) routerConfig(r *router) map[string]any {
	f := fl.File
	known, isKnown := fl.discovery.LastSentList(r.name)
	if !isKnown {
		fl.discovery.RecordConfiguredList(r.name)
		known, _ = fl.discovery.LastSentList(r.name)
	}
	kinds := []string{}
	for i := range known.Servers {
		known.Servers[i].Addr = fl.serverAddr(r, known.Servers[i])
	}
	for _, k := range f.Kinds {
		kinds = append(kinds, k.Name)
	}
	kinds = append(kinds, "origin")
	var classes []map[string]any
	for _, c := range f.Classes {
		scope := c.Scope
		if scope == "" {
			scope = "all"
		}
		classes = append(classes, map[string]any{"name": c.Name, "effect": c.Effect,
			"keyScope": scope, "window": c.WindowMS, "target": c.AimMS, "hardLimit": c.LimitMS,
			"gain": c.Worth, "lateWorth": 0, "stream": false})
	}
	overloadFactor, overloadMS := 3.0, 2000.0
	coldMS, coldFrom := 1.0, 1.0
	for _, k := range f.Kinds { // one set of rules for all kinds: take the weakest one's
		if k.Model.FallMultiple > 0 {
			overloadFactor, overloadMS = min(overloadFactor, k.Model.FallMultiple), k.Model.FallForMS
		}
		if k.Model.ColdFrom > 0 {
			coldMS, coldFrom = max(coldMS, k.Model.ColdMS), min(coldFrom, k.Model.ColdFrom)
		}
	}
	discovery := "push"
	if f.Fleet.AskList {
		discovery = "ask"
	}
	how := "none"
	if f.Fleet.Probes {
		how = "probe"
	}
	return map[string]any{
		"name": r.name, "listen": r.listen, "discovery": r.discoveryAddr(),
		"seed":   fmt.Sprintf("%016x", f.Seed*1000+uint64(r.number)+fl.drawSeedOffset()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": f.Fleet.MemoryMB, "sockets": f.Fleet.Sockets},
		"known":  known,
		"settings": map[string]any{"balancers": f.Fleet.Routers, "myNumber": r.number,
			"zone": r.zone, "zones": f.Fleet.Zones,
			"categories": classes, "kinds": kinds, "family": "cache",
			"familyInfo": map[string]any{"mode": "aside", "originKind": len(kinds) - 1},
			"discovery":  discovery, "weights": "rough", "projects": []any{},
			"loadInfo": map[string]any{"columns": []string{"rps", "cpu", "x0"}, "how": how},
			"caps": map[string]any{"cancel": f.Fleet.Cancel, "connIdle": connIdleMS,
				"connectTimeout": 250, "cpuUsPerS": 500000, "maxAttempts": f.Fleet.MaxAttempts,
				"maxRetryAfter": f.Load.MaxAfterMS, "mayProbe": f.Fleet.Probes,
				"retryAfter": f.Fleet.RetryAfter, "peers": false, "secondCopies": false},
			"rules": map[string]any{"cold": coldMS, "coldFrom": coldFrom, "drainGrace": f.Fleet.DrainGrace * 1000,
				"graceToAnswer": 20, "mustAskIn": 10000, "overloadFactor": overloadFactor, "overloadFor": overloadMS}},
	}
}

// drawSeedOffset returns a random number to add to a router's seed, so that a restarted router does
// not repeat its random draws.
func (fl *Fleet) drawSeedOffset() uint64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.rng.Uint64() >> 32 << 16
}
