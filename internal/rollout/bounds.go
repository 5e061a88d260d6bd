package rollout

// The bounds that coordinators of an older program have.
const (
	EarlierMaxRouters = 1024
	EarlierMaxServers = 1024
	EarlierMaxSeen    = 128
)

// bounds are those in force.
type bounds struct{ routers, servers int }

func (f From) bounds() bounds {
	if f.EarlierBounds {
		return bounds{EarlierMaxRouters, EarlierMaxServers}
	}
	return bounds{MaxRouters, MaxServers}
}

// PassesEarlierBounds tells whether a coordinator of an older program would refuse the command for its size.
func (c *Command) PassesEarlierBounds() bool {
	if c.Expect > EarlierMaxRouters || c.View != nil && len(c.View.Servers) > EarlierMaxSeen || c.Plan != nil && c.Plan.First > EarlierMaxRouters {
		return true
	}
	for i := range c.Budgets {
		if c.Budgets[i].Most > EarlierMaxRouters {
			return true
		}
	}
	return false
}
