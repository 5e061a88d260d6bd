package healthcheck

import (
	"sync"

	"dockhinge.example/dockhinge/decide"
)

// maxReports bounds the number of cached reports; the number of listed servers is well below it.
const maxReports = 4096

// ReportCache holds the load reports of servers that other routers have probed. It reads no clock
// and does no I/O. Its methods may be called concurrently.
type ReportCache struct {
	staleMillis float64

	mu      sync.Mutex
	reports map[uint32]cachedReport // by server
	hits    int
	misses  int
}

type cachedReport struct {
	load decide.LoadReport
	// measuredAtMillis is the earliest time at which the server may have measured the report.
	measuredAtMillis float64
}

// isStale reports whether a cached report is too old at the given time.
func (c *ReportCache) isStale(report cachedReport, nowMillis float64) bool {
	return report.measuredAtMillis+c.staleMillis < nowMillis
}

// NewReportCache returns a cache in which reports are stale once they are older than staleMillis.
func NewReportCache(staleMillis float64) *ReportCache {
	return &ReportCache{staleMillis: staleMillis, reports: map[uint32]cachedReport{}}
}

// Add stores a report that is at most ageMillis old. It ignores a stale report, and one that is not
// newer than the cached report of the server.
func (c *ReportCache) Add(nowMillis, ageMillis float64, r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := cachedReport{load: r.Load, measuredAtMillis: nowMillis - ageMillis}
	cached, isCached := c.reports[r.ServerID]
	if isCached && cached.measuredAtMillis >= report.measuredAtMillis || c.isStale(report, nowMillis) {
		return
	}
	if !isCached && len(c.reports) >= maxReports {
		c.evictStale(nowMillis)
		if len(c.reports) >= maxReports {
			return
		}
	}
	c.reports[r.ServerID] = report
}

// evictStale removes the stale reports.
func (c *ReportCache) evictStale(nowMillis float64) {
	for server, report := range c.reports {
		if c.isStale(report, nowMillis) {
			delete(c.reports, server)
		}
	}
}

// Lookup returns a server's load, or false if there is no report or it is stale.
func (c *ReportCache) Lookup(nowMillis float64, server uint32) (decide.LoadReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report, isCached := c.reports[server]
	if !isCached || c.isStale(report, nowMillis) {
		c.misses++
		return decide.NoLoadReport, false
	}
	c.hits++
	return report.load, true
}

// Counts returns how often Lookup found a report that replaces a probe, and how often it did not.
func (c *ReportCache) Counts() (hits, misses int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hits, c.misses
}
