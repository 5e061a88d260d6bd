package rollout

// The bounds that coordinators of an older program have.
const (
	EarlierMaxRouters         = 1024
	EarlierMaxServers         = 1024
	EarlierMaxReportedServers = 128
)

// tableLimits are those in force.
type tableLimits struct{ routers, servers int }

func (f Sender) limits() tableLimits {
	if f.HasEarlierLimits {
		return tableLimits{EarlierMaxRouters, EarlierMaxServers}
	}
	return tableLimits{MaxRouters, MaxServers}
}

// ExceedsEarlierLimits tells whether a coordinator of an older program would refuse the command for its size.
func (c *Command) ExceedsEarlierLimits() bool {
	if c.ExpectedRouters > EarlierMaxRouters || c.Report != nil && len(c.Report.Servers) > EarlierMaxReportedServers || c.Plan != nil && c.Plan.FirstWave > EarlierMaxRouters {
		return true
	}
	for i := range c.Budgets {
		if c.Budgets[i].MaxOut > EarlierMaxRouters {
			return true
		}
	}
	return false
}
