package decide

import (
	"math"
	"slices"
)

const (
	// capacityWeight is the EWMA weight of a report in a server's capacity: about five reports, as
	// they are noisy.
	capacityWeight = 0.2
	// minReportedUtilization is the utilization up to which a report is not used for capacity.
	minReportedUtilization = 0.03
	// maxReportedUtilization bounds implausible reports.
	maxReportedUtilization = 1.5
	// kindPriorReports is the number of reports of the mean server that are added to those of a
	// kind, so that one noisy report moves few keys.
	kindPriorReports = 3
	// defaultChannels is the number of channels of a server if nothing was reported. Without it, a
	// new router would overload all servers in its first second.
	defaultChannels = 4
	// allKinds is the entry for all servers in a map by kind.
	allKinds = ""
	// warmRiseMillis is the time constant with which the known capacity of warm servers rises. Reports
	// of a server whose restart is not listed yet must not raise it much.
	warmRiseMillis = 30000
)

// capacityModel holds the capacities that follow from load reports.
type capacityModel struct {
	// typicalByKind is the capacity (requests per second) per unit of size by kind, and of all
	// servers under allKinds.
	typicalByKind map[string]float64
	// warmByKind is the same from servers that were warm when they reported. It is kept while none is.
	warmByKind map[string]float64
	// warmUpdatedAt is when warmByKind was last updated, ms.
	warmUpdatedAt float64
	// reportingServers is the number of servers that have reported.
	reportingServers float64
	// hasSizes says that the endpoint list gives the size of each server.
	hasSizes bool
}

// recordLoadReport applies a load report. Absent or implausible figures and repeated reports are
// ignored.
func (b *Balancer) recordLoadReport(s *server, l LoadReport) {
	if !isPlausible(l.RequestsPerSecond) || !isPlausible(l.Utilization) || l == s.load.lastReport {
		return
	}
	s.load.lastReport = l
	s.load.reportedPerSecond = l.RequestsPerSecond
	s.load.reportedAt = b.now
	if l.Utilization <= minReportedUtilization || l.RequestsPerSecond <= 0 {
		return
	}
	capacity := l.RequestsPerSecond / min(l.Utilization, maxReportedUtilization) / b.warmShare(s)
	s.load.capacityPerSecond.update(b.now, capacity, capacityWeight)
}

// capacitySum adds up the reports of several servers.
type capacitySum struct {
	perSecond   float64 // sum of rates per unit of size
	utilization float64 // sum of the shares of capacity in use
	reports     float64 // number of servers
}

func (c capacitySum) plus(perSecond, utilization float64) capacitySum {
	return capacitySum{c.perSecond + perSecond, c.utilization + utilization, c.reports + 1}
}

// updateTypicalCapacities updates the capacities per unit of size by kind, and returns the mean rate
// of the servers that reported one, 0 if none did. If any size is missing, all servers count as
// equal.
func (b *Balancer) updateTypicalCapacities() (meanPerSecond float64) {
	model := &b.capacities
	hasNoSize := func(s *server) bool { return !isPlausible(s.Size) || s.Size == 0 }
	model.hasSizes = !slices.ContainsFunc(b.membership.caches, hasNoSize)
	var reporting, warm []*server
	for _, s := range b.membership.caches {
		if s.load.reportedPerSecond <= 0 || s.load.capacityPerSecond.value <= 0 {
			continue
		}
		reporting = append(reporting, s)
		meanPerSecond += s.load.reportedPerSecond
		if !b.isInSlowStart(s) {
			warm = append(warm, s)
		}
	}
	model.reportingServers = float64(len(reporting))
	model.typicalByKind = model.typicalOf(reporting)
	model.updateWarm(b.now, model.typicalOf(warm))
	return meanPerSecond / max(1, model.reportingServers)
}

// typicalOf returns the capacity per unit of size by kind, and of all servers under allKinds. A kind's
// capacity is the total rate of its servers divided by their total utilization.
func (c *capacityModel) typicalOf(servers []*server) (byKind map[string]float64) {
	byKind = map[string]float64{}
	kinds := map[string]capacitySum{}
	all := capacitySum{}
	for _, s := range servers {
		rate := s.load.reportedPerSecond / s.sizeUnits(c.hasSizes)
		utilization := s.load.reportedPerSecond / s.load.capacityPerSecond.value
		kinds[s.Kind] = kinds[s.Kind].plus(rate, utilization)
		all = all.plus(rate, utilization)
	}
	if all.reports == 0 {
		return byKind
	}
	byKind[allKinds] = all.perSecond / all.utilization
	for kind, k := range kinds {
		rate := k.perSecond + kindPriorReports*all.perSecond/all.reports
		utilization := k.utilization + kindPriorReports*all.utilization/all.reports
		byKind[kind] = rate / utilization
	}
	return byKind
}

// updateWarm updates the capacities of warm servers. A known one falls at once and rises slowly.
func (c *capacityModel) updateWarm(now float64, measured map[string]float64) {
	elapsedMillis := min(now-c.warmUpdatedAt, maxSolveIntervalMillis)
	weight := 1 - math.Exp(-elapsedMillis/warmRiseMillis)
	c.warmUpdatedAt = now
	if c.warmByKind == nil {
		c.warmByKind = map[string]float64{}
	}
	for kind, perSecond := range measured {
		if known, isKnown := c.warmByKind[kind]; isKnown && perSecond > known {
			perSecond = known + weight*(perSecond-known)
		}
		c.warmByKind[kind] = perSecond
	}
}

// typicalPerSecond returns the typical capacity, in requests per second, of a server of the kind
// and size of s, or fallback if nothing was reported.
func (c *capacityModel) typicalPerSecond(s *server, fallback float64) float64 {
	typical := c.typicalByKind[s.Kind]
	if typical == 0 {
		typical = c.typicalByKind[allKinds]
	}
	if typical == 0 {
		return fallback
	}
	return typical * s.sizeUnits(c.hasSizes)
}

// restoreWarm restores the capacities of warm servers that the previous process knew, and ignores
// implausible ones.
func (c *capacityModel) restoreWarm(now float64, byKind map[string]float64) {
	plausible := map[string]float64{}
	for kind, perSecond := range byKind {
		if isPlausible(perSecond) && perSecond > 0 {
			plausible[kind] = perSecond
		}
	}
	c.updateWarm(now, plausible)
}

// slowStartPerSecond returns the capacity, in requests of mean work per second, that the slow-start
// budget of a cold server is worked out from: what warm servers of its kind and size carry. Cold
// servers answer misses at a fraction of a request's work, so they report many times their capacity;
// if no warm one has ever reported, it is at most what the time of an answer allows.
func (b *Balancer) slowStartPerSecond(s *server) float64 {
	model := &b.capacities
	warm, isKnown := model.warmByKind[s.Kind]
	if !isKnown {
		warm, isKnown = model.warmByKind[allKinds]
	}
	if isKnown {
		return warm * s.sizeUnits(model.hasSizes)
	}
	if b.serviceTime.samples == 0 {
		return coldCapacityPerSecond
	}
	byServiceTime := defaultChannels * millisPerSecond / max(1, b.serviceTime.mean)
	return min(model.typicalPerSecond(s, coldCapacityPerSecond), byServiceTime)
}

// capacityPerSecond returns the capacity of a warm server, in requests of mean work per second.
func (b *Balancer) capacityPerSecond(s *server) float64 {
	if s.load.capacityPerSecond.value > 0 {
		return s.load.capacityPerSecond.value
	}
	defaultPerSecond := defaultChannels * millisPerSecond / max(1, b.serviceTime.mean)
	return b.capacities.typicalPerSecond(s, defaultPerSecond)
}

// sizeUnits returns the size that a server's capacity is divided by for comparison.
func (s *server) sizeUnits(hasSizes bool) float64 {
	if hasSizes && s.Size > 0 {
		return s.Size
	}
	return 1
}
