package rollout

import "time"

// Limits of the state's tables and of the texts in them.
const (
	// MaxBudgets is how many budgets may be in force.
	MaxBudgets = 64
	// MaxRouters is 5,100, the largest fleet planned for, and over half as many again.
	MaxRouters = 8192
	// MaxServers is 2,500, the cache servers of the largest fleet, and over half as many again.
	MaxServers = 4096
	// MaxPermits is how many permits may wait or be granted.
	MaxPermits = 256
	// MaxReportedServers is how many servers one report of a router may have.
	MaxReportedServers = 512
	// MaxObservations limits observations of a server by a router. It is 13 regions of 392 routers
	// that observe 192 servers each, twice. All routers that observe all servers would be six times
	// as many.
	MaxObservations = 2 << 20
	// MaxName is the length of a name, zone, version or incarnation in bytes.
	MaxName = 128
	// MaxText is the length of a purpose or reason in bytes.
	MaxText = 256
	// MaxDuration bounds the grace, slow start, step timeout and learning time.
	MaxDuration = time.Hour
	// MaxPermitWait bounds how long a permit may be waited for, and the bake time of a release.
	MaxPermitWait = 24 * time.Hour
	// MinGrace is the shortest grace.
	MinGrace = time.Second
	// ForgetAfterGraces is how many graces a server must be off every endpoint list before it is
	// removed.
	ForgetAfterGraces = 10
)

// Limits of coordinators that run an earlier program. While one of them may vote, all replicas must
// reject by its limits.
const (
	EarlierMaxRouters         = 1024
	EarlierMaxServers         = 1024
	EarlierMaxReportedServers = 128
)

// tableLimits are the limits in force of the tables whose limit has changed between programs.
type tableLimits struct {
	routers int
	servers int
}

// limits returns the limits that hold for a command of the sender.
func (f Sender) limits() tableLimits {
	if f.HasEarlierLimits {
		return tableLimits{routers: EarlierMaxRouters, servers: EarlierMaxServers}
	}
	return tableLimits{routers: MaxRouters, servers: MaxServers}
}

// ExceedsEarlierLimits reports whether a coordinator that runs an earlier program would reject the
// command for its size.
func (c *Command) ExceedsEarlierLimits() bool {
	if c.ExpectedRouters > EarlierMaxRouters {
		return true
	}
	if c.Report != nil && len(c.Report.Servers) > EarlierMaxReportedServers {
		return true
	}
	if c.Plan != nil && c.Plan.FirstWave > EarlierMaxRouters {
		return true
	}
	for i := range c.Budgets {
		if c.Budgets[i].MaxOut > EarlierMaxRouters {
			return true
		}
	}
	return false
}
