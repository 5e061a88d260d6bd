package rollout

import "time"

// Limits of the state's tables and of the texts in them.
const (
	// MaxBudgets is how many budgets may be in force.
	MaxBudgets = 64
	// MaxRouters is the largest planned fleet, 5,100 routers, plus more than half of it.
	MaxRouters = 8192
	// MaxServers is the 2,500 cache servers of the largest planned fleet, plus more than half of
	// them.
	MaxServers = 4096
	// MaxPermits is how many permits there may be, whatever their stage.
	MaxPermits = 256
	// MaxReportedServers is how many servers one report of a router may contain.
	MaxReportedServers = 512
	// MaxObservations limits the observations of all servers by all routers. It is twice what 13
	// regions need, each with 392 routers that observe 192 servers. If all routers observed all
	// servers there would be six times as many.
	MaxObservations = 2 << 20
	// MaxNameBytes is the maximum length of a name, zone, version or incarnation in bytes.
	MaxNameBytes = 128
	// MaxTextBytes is the maximum length of a purpose or reason in bytes.
	MaxTextBytes = 256
	// MaxDuration limits the grace period, slow start, step timeout and learning time.
	MaxDuration = time.Hour
	// MaxPermitWait limits how long a permit request may wait, and the bake time of a release.
	MaxPermitWait = 24 * time.Hour
	// MinGracePeriod is the shortest grace period.
	MinGracePeriod = time.Second
	// RemoveAfterGracePeriods is for how many grace periods a server must be missing from every
	// endpoint list before it is removed.
	RemoveAfterGracePeriods = 10
)

// Limits of coordinators that run an earlier program version. While one of them may vote, all
// replicas must reject commands by its limits, so that all reach the same state.
const (
	LegacyMaxRouters         = 1024
	LegacyMaxServers         = 1024
	LegacyMaxReportedServers = 128
)

// tableLimits are the effective limits of the tables whose limit differs between program versions.
type tableLimits struct {
	routers int
	servers int
}

// limits returns the limits that apply to a command of the sender.
func (s Sender) limits() tableLimits {
	if s.UsesLegacyLimits {
		return tableLimits{routers: LegacyMaxRouters, servers: LegacyMaxServers}
	}
	return tableLimits{routers: MaxRouters, servers: MaxServers}
}

// ExceedsLegacyLimits reports whether a coordinator that runs an earlier program version would
// reject the command because of its size.
func (c *Command) ExceedsLegacyLimits() bool {
	if c.ExpectedRouters > LegacyMaxRouters {
		return true
	}
	if c.Report != nil && len(c.Report.Servers) > LegacyMaxReportedServers {
		return true
	}
	if c.Plan != nil && c.Plan.FirstWave > LegacyMaxRouters {
		return true
	}
	for i := range c.Budgets {
		if c.Budgets[i].MaxOut > LegacyMaxRouters {
			return true
		}
	}
	return false
}
