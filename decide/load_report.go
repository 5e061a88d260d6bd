package decide

import "slices"

const (
	// capacityWeight is the weight of a report in a server's capacity: over five reports, as they
	// are noisy.
	capacityWeight = 0.2
	// minReportedUtilization is the utilisation below which a report tells nothing of capacity.
	minReportedUtilization = 0.03
	// maxReportedUtilization bounds absurd reports.
	maxReportedUtilization = 1.5
	// kindPriorReports is the number of reports of the mean server that are added to those of a
	// kind, so that one noisy report moves few keys.
	kindPriorReports = 3
	// defaultChannels is the number of channels of a server where nothing was reported; without it
	// the first second of a router would overload all servers.
	defaultChannels = 4
	// allKinds is the entry of all servers in typicalByKind.
	allKinds = ""
)

// capacityModel is what load reports tell of capacities.
type capacityModel struct {
	// typicalByKind is the capacity (requests a second) for a unit of size by kind, and of all
	// servers under allKinds.
	typicalByKind map[string]float64
	// reporting is the number of servers that have reported.
	reporting float64
	// hasSizes says that the list gives the size of each server.
	hasSizes bool
}

// learnLoad takes a load report; absent and absurd figures, and a repeated report, are ignored.
func (b *Balancer) learnLoad(s *server, l LoadReport) {
	if !isUsable(l.RequestsPerSecond) || !isUsable(l.Utilization) || l == s.load.lastReport {
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

// capacitySum adds up the reports of servers.
type capacitySum struct {
	perSecond float64 // rates for a unit of size
	busy      float64 // shares of capacity in use
	reports   float64 // number of servers
}

func (c capacitySum) plus(perSecond, busy float64) capacitySum {
	return capacitySum{c.perSecond + perSecond, c.busy + busy, c.reports + 1}
}

// surveyCapacities brings the capacities for a unit of size by kind up to date, and returns the
// mean rate of the servers that reported one, 0 where none did. Where sizes are missing all servers
// count alike. A kind's capacity is all that its servers served over all that they were busy.
func (b *Balancer) surveyCapacities() (meanPerSecond float64) {
	model := &b.capacities
	hasNoSize := func(s *server) bool { return !isUsable(s.Size) || s.Size == 0 }
	model.hasSizes = !slices.ContainsFunc(b.membership.caches, hasNoSize)
	kinds := map[string]capacitySum{}
	all := capacitySum{}
	for _, s := range b.membership.caches {
		reported := s.load.reportedPerSecond
		if reported <= 0 || s.load.capacityPerSecond.value <= 0 {
			continue
		}
		rate := reported / s.sizeUnits(model.hasSizes)
		busy := reported / s.load.capacityPerSecond.value
		kinds[s.Kind] = kinds[s.Kind].plus(rate, busy)
		all = all.plus(rate, busy)
		meanPerSecond += reported
	}
	model.reporting = all.reports
	model.typicalByKind = map[string]float64{}
	if all.reports == 0 {
		return 0
	}
	model.typicalByKind[allKinds] = all.perSecond / all.busy
	for kind, k := range kinds {
		rate := k.perSecond + kindPriorReports*all.perSecond/all.reports
		busy := k.busy + kindPriorReports*all.busy/all.reports
		model.typicalByKind[kind] = rate / busy
	}
	return meanPerSecond / all.reports
}

// typicalPerSecond is the capacity, in requests a second, that its kind gives a server of the size
// of s; otherwise where nothing was reported.
func (c *capacityModel) typicalPerSecond(s *server, otherwise float64) float64 {
	typical := c.typicalByKind[s.Kind]
	if typical == 0 {
		typical = c.typicalByKind[allKinds]
	}
	if typical == 0 {
		return otherwise
	}
	return typical * s.sizeUnits(c.hasSizes)
}

// capacityPerSecond is the capacity of a warm server, in requests of mean work a second.
func (b *Balancer) capacityPerSecond(s *server) float64 {
	if s.load.capacityPerSecond.value > 0 {
		return s.load.capacityPerSecond.value
	}
	ofChannels := defaultChannels * millisPerSecond / max(1, b.serviceTime.mean)
	return b.capacities.typicalPerSecond(s, ofChannels)
}

// sizeUnits is what a server's capacity is compared by.
func (s *server) sizeUnits(hasSizes bool) float64 {
	if hasSizes && s.Size > 0 {
		return s.Size
	}
	return 1
}
