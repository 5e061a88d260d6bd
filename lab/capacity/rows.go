package capacity

// Mechanisms that rows depend on. These and all texts of the rows are printed in docs/CAPACITY.md.
const (
	mechanismSessions       = "sessions and keep-alives at the leader (internal/coord)"
	mechanismLongPoll       = "a long poll at the leader, and a barrier in its log for each answer (internal/coord/node)"
	mechanismReports        = "reports and acknowledgements, an entry of the log each (internal/rollout/follow)"
	mechanismLog            = "the coordinators' log (hashicorp/raft)"
	mechanismObservers      = "observers (internal/coord/observer), which routers do not use yet (#34)"
	mechanismConfiguration  = "agreed configuration over observers, which routers do not take yet (#34)"
	mechanismInvalidation   = "missing: invalidation (#21), which observers could carry"
	mechanismDiscovery      = "discovery's list (internal/router)"
	mechanismRegions        = "missing: regions as the unit of the list (#34; cells are #11)"
	mechanismSightingsTable = "one table of routers by servers (internal/rollout)"
	mechanismSharedProbes   = "one router probes for all, 16 leases (internal/healthcheck)"
)

const (
	secondsPerDay = 24 * 60 * 60
	bitsPerByte   = 8
)

// Tables returns all tables, one for each role.
func Tables() []Table {
	return []Table{routerTable(), leaderTable(), voterTable(), observerTable(), operatorsTable(),
		proberTable(), serverTable(), dataPlaneTable()}
}

// perRouter divides a figure of the whole fleet by its routers.
func (m *Model) perRouter(f Figure, unit string) Figure { return f.times(1/m.Routers, unit) }

// perSecond converts a number per day to one per second.
func perSecond(n float64) float64 { return n / secondsPerDay }

func routerBytesBudget(m *Model) float64 { return m.RouterBytesPerS }

func routerTable() Table {
	return Table{Role: "Router", Rows: []Row{
		{Event: "at rest", Quantity: "bytes in and out, headers included",
			Mechanism: mechanismSessions + "; " + mechanismLongPoll, Budget: routerBytesBudget,
			Figure: func(m *Model) Figure {
				return m.perRouter(m.at("rest.routers.in", m.Routers).plus(m.at("rest.routers.out", m.Routers)), "bytes/s")
			}},
		{Event: "at rest", Quantity: "processor time of the control client", Mechanism: mechanismSessions,
			Budget: func(m *Model) float64 { return m.RouterCoreShare },
			Figure: func(m *Model) Figure { return m.perRouter(m.at("rest.hollow.cores", m.Routers), "cores") }},
		{Event: "at rest", Quantity: "memory of the control client", Mechanism: mechanismSessions,
			Budget: func(m *Model) float64 { return m.RouterMemoryMB },
			Figure: func(m *Model) Figure { return m.perRouter(m.at("rest.hollow.memory", m.Routers), "MB") }},
		{Event: "at rest", Quantity: "connections to coordinators", Mechanism: mechanismSessions,
			Figure: func(m *Model) Figure { return m.perRouter(m.at("rest.routers.connections", m.Routers), "connections") }},
		{Event: "at the peak", Quantity: "control, while it serves its share of the requests",
			Mechanism: "nothing of control is on a request's way",
			Figure:    func(*Model) Figure { return notMeasured("bytes/s") }},
		{Event: "a restart", Quantity: "bytes in and out until it has reported all servers of its region",
			Mechanism: mechanismReports,
			Figure: func(m *Model) Figure {
				return m.perRouter(m.at("join.routers.in", m.Routers).plus(m.at("join.routers.out", m.Routers)), "bytes")
			}},
		{Event: "a start", Quantity: "first list of all servers, at the bytes a second that control may cost",
			Mechanism:  mechanismDiscovery,
			Budget:     func(m *Model) float64 { return m.ConfigurationWithinS },
			FirstLimit: "the first list: " + mechanismRegions,
			Figure:     func(m *Model) Figure { return bySizes(m.Servers*ListEntryBytes()/m.RouterBytesPerS, "s") }},
		{Event: "a start", Quantity: "first list of its region's servers, likewise", Mechanism: mechanismRegions,
			Budget: func(m *Model) float64 { return m.ConfigurationWithinS },
			Figure: func(m *Model) Figure { return bySizes(m.RegionServers*ListEntryBytes()/m.RouterBytesPerS, "s") }},
		{Event: "a change", Quantity: "bytes in for one drain and its end", Mechanism: mechanismLongPoll,
			Figure: func(m *Model) Figure { return m.perRouter(m.at("drain.routers.in", m.Routers), "bytes") }},
		{Event: "all changes of a day", Quantity: "bytes in, if each cost what a drain costs",
			Mechanism: mechanismConfiguration, Budget: routerBytesBudget,
			Figure: func(m *Model) Figure {
				return m.at("drain.routers.in", m.Routers).times(perSecond(m.ConfigurationChangesPerDay)/m.Routers, "bytes/s")
			}},
		{Event: "a burst of changes", Quantity: "bytes in, if each cost what a drain costs",
			Mechanism: mechanismConfiguration, Budget: routerBytesBudget,
			Figure: func(m *Model) Figure {
				return m.at("drain.routers.in", m.Routers).times(m.ChangeBurst/m.Routers, "bytes/s")
			}},
		{Event: "purges", Quantity: "bytes in without any framing", Mechanism: mechanismInvalidation,
			Budget: routerBytesBudget,
			Figure: func(m *Model) Figure { return bySizes(m.PurgesPerS*m.PurgeBytes, "bytes/s") }},
		{Event: "a burst of purges", Quantity: "bytes in without any framing, in one second",
			Mechanism: mechanismInvalidation, Budget: routerBytesBudget,
			Figure: func(m *Model) Figure { return bySizes(m.PurgeBurst*m.PurgeBytes, "bytes/s") }},
	}}
}

func leaderTable() Table {
	cores := func(m *Model) float64 { return m.LeaderCores }
	return Table{Role: "Coordinator that leads", Rows: []Row{
		{Event: "at rest", Quantity: "processor time", Mechanism: mechanismSessions + "; " + mechanismLongPoll, Budget: cores, FirstLimit: "the one loop that applies commands",
			Figure: func(m *Model) Figure { return m.at("rest.leader.cores", m.Routers) }},
		{Event: "at rest", Quantity: "memory", Mechanism: mechanismSessions,
			Figure: func(m *Model) Figure { return m.at("rest.leader.memory", m.Routers) }},
		{Event: "at rest", Quantity: "descriptors", Mechanism: mechanismSessions, Budget: func(m *Model) float64 { return m.ConnectionsMax },
			Figure: func(m *Model) Figure { return m.at("rest.leader.descriptors", m.Routers) }},
		{Event: "at rest", Quantity: "bytes read", Mechanism: mechanismSessions,
			Figure: func(m *Model) Figure { return m.at("rest.leader.read", m.Routers) }},
		{Event: "at rest", Quantity: "bytes written to routers", Mechanism: mechanismLongPoll,
			Figure: func(m *Model) Figure {
				return m.at("rest.routers.in", m.Routers)
			}},
		{Event: "at rest", Quantity: "entries of the log", Mechanism: mechanismLog,
			Figure: func(m *Model) Figure { return m.at("rest.entries", m.Routers) }},
		{Event: "at rest", Quantity: "sessions", Mechanism: mechanismSessions, Budget: func(m *Model) float64 { return m.SessionsMax }, FirstLimit: "the table's bound",
			Figure: func(m *Model) Figure { return bySizes(m.Routers, "sessions") }},
		{Event: "at rest", Quantity: "watchers", Mechanism: mechanismLongPoll, Budget: func(m *Model) float64 { return m.WatchersMax },
			Figure: func(m *Model) Figure { return bySizes(m.Routers, "watchers") }},
		{Event: "at rest", Quantity: "sightings, if all routers see all servers", Mechanism: mechanismSightingsTable, Budget: func(m *Model) float64 { return m.SightingsMax },
			Figure: func(m *Model) Figure { return bySizes(m.Routers*m.Servers, "sightings") }, FirstLimit: "it is the product of both"},
		{Event: "at rest", Quantity: "sightings, by region", Mechanism: mechanismRegions, Budget: func(m *Model) float64 { return m.SightingsMax },
			Figure: func(m *Model) Figure { return bySizes(m.Regions*m.RegionRouters*m.RegionServers, "sightings") }},
		{Event: "at the peak", Quantity: "what control costs more than at rest", Mechanism: "nothing of control is on a request's way",
			Figure: func(*Model) Figure { return notMeasured("cores") }},
		{Event: "restarts of a day", Quantity: "processor time, evenly over the day", Mechanism: mechanismReports, Budget: cores,
			Figure: func(m *Model) Figure {
				return m.share("join.leader.cpu", 1).times(perSecond(m.RestartsPerDay), "cores")
			}},
		{Event: "release of all", Quantity: "processor time in all, all at once", Mechanism: mechanismReports,
			Figure: func(m *Model) Figure { return m.at("join.leader.cpu", m.Routers) }},
		{Event: "release of all", Quantity: "until all have a session, what is drained, and have reported, all at once", Mechanism: mechanismReports, Budget: func(m *Model) float64 { return m.ConfigurationWithinS }, FirstLimit: "the one loop that applies commands",
			Figure: func(m *Model) Figure { return m.at("join.reported", m.Routers) }},
		{Event: "a rack lost and back", Quantity: "processor time (its size is not given)", Mechanism: mechanismReports,
			Figure: func(*Model) Figure { return notMeasured("CPU s") }},
		{Event: "a zone lost and back", Quantity: "processor time for its routers' joins", Mechanism: mechanismReports,
			Figure: func(m *Model) Figure { return m.share("join.leader.cpu", m.ZoneRouters) }},
		{Event: "a region cut off and back", Quantity: "processor time for its routers' joins, as their sessions end meanwhile", Mechanism: mechanismReports,
			Figure: func(m *Model) Figure { return m.share("join.leader.cpu", m.RegionRouters) }},
		{Event: "all coordinators restarted", Quantity: "until the last router has a change made at once after it", Mechanism: mechanismSessions + "; " + mechanismLongPoll,
			Figure: func(m *Model) Figure { return m.at("restart.last", m.Routers) }, Budget: func(m *Model) float64 { return m.ConfigurationWithinS }},
		{Event: "a change", Quantity: "until the slowest router of all has it", Mechanism: mechanismLongPoll, Budget: func(m *Model) float64 { return m.ConfigurationWithinS },
			Figure: func(m *Model) Figure { return m.at("drain.last", m.Routers).times(1.0/1000, "s") }},
		{Event: "a change", Quantity: "until 99% of routers have it, against the time for a purge", Mechanism: mechanismLongPoll, Budget: func(m *Model) float64 { return m.PurgeWithinS },
			Figure: func(m *Model) Figure { return m.at("drain.p99", m.Routers).times(1.0/1000, "s") }},
		{Event: "a change", Quantity: "until all have acknowledged it", Mechanism: mechanismReports, Budget: func(m *Model) float64 { return m.ConfigurationWithinS },
			Figure: func(m *Model) Figure { return m.at("drain.acknowledged", m.Routers).times(1.0/1000, "s") }},
		{Event: "a change", Quantity: "processor time of a drain, its end, and all acknowledgements", Mechanism: mechanismLongPoll, Figure: func(m *Model) Figure { return m.at("drain.leader.cpu", m.Routers) }},
		{Event: "a burst of changes", Quantity: "processor time for each second of it, if each cost what a drain costs", Mechanism: mechanismObservers, Budget: cores, FirstLimit: "a barrier and an answer for each router and change",
			Figure: func(m *Model) Figure { return m.at("drain.leader.cpu", m.Routers).times(m.ChangeBurst, "cores") }},
		{Event: "purges", Quantity: "processor time, if each cost what a drain costs", Mechanism: mechanismInvalidation, Budget: cores,
			Figure: func(m *Model) Figure { return m.at("drain.leader.cpu", m.Routers).times(m.PurgesPerS, "cores") }},
	}}
}

func voterTable() Table {
	return Table{Role: "Other coordinator that votes", Rows: []Row{
		{Event: "at rest", Quantity: "processor time", Mechanism: mechanismLog,
			Budget: func(m *Model) float64 { return m.LeaderCores },
			Figure: func(m *Model) Figure { return m.at("rest.voter.cores", m.Routers) }},
		{Event: "at rest", Quantity: "memory", Mechanism: mechanismLog,
			Figure: func(m *Model) Figure { return m.at("rest.voter.memory", m.Routers) }},
		{Event: "at rest", Quantity: "descriptors", Mechanism: mechanismLog,
			Budget: func(m *Model) float64 { return m.ConnectionsMax },
			Figure: func(m *Model) Figure { return m.at("rest.voter.descriptors", m.Routers) }},
		{Event: "at rest", Quantity: "bytes read", Mechanism: mechanismLog,
			Figure: func(m *Model) Figure { return m.at("rest.voter.read", m.Routers) }},
		{Event: "release of all", Quantity: "processor time in all", Mechanism: mechanismLog,
			Figure: func(m *Model) Figure { return m.at("join.voter.cpu", m.Routers) }},
		{Event: "a zone lost and back", Quantity: "processor time for its routers' joins", Mechanism: mechanismLog,
			Figure: func(m *Model) Figure { return m.share("join.voter.cpu", m.ZoneRouters) }},
		{Event: "a region cut off and back", Quantity: "processor time for its routers' joins", Mechanism: mechanismLog,
			Figure: func(m *Model) Figure { return m.share("join.voter.cpu", m.RegionRouters) }},
	}}
}

func observerTable() Table {
	return Table{Role: "Observer", Rows: []Row{
		{Event: "at rest", Quantity: "machines, voters included", Mechanism: mechanismObservers,
			Budget: func(m *Model) float64 { return m.ControlMachines },
			Figure: func(m *Model) Figure { return bySizes(m.Voters+m.Observers, "machines") }},
		{Event: "at rest", Quantity: "routers on each", Mechanism: mechanismObservers,
			Figure: func(m *Model) Figure { return bySizes(m.Routers/m.Observers, "routers") }},
		{Event: "one lost", Quantity: "routers on each other one", Mechanism: mechanismObservers,
			Figure: func(m *Model) Figure { return bySizes(m.Routers/(m.Observers-1), "routers") }},
		{Event: "at rest", Quantity: "processor time, memory, bytes", Mechanism: mechanismObservers,
			Figure: func(*Model) Figure { return notMeasured("cores") }},
		{Event: "purges", Quantity: "bytes out without any framing", Mechanism: mechanismInvalidation,
			Figure: func(m *Model) Figure {
				return bySizes(m.Routers/m.Observers*m.PurgesPerS*m.PurgeBytes, "bytes/s")
			}},
		{Event: "a region back", Quantity: "its routers that ask for everything at once", Mechanism: mechanismObservers,
			Figure: func(m *Model) Figure { return bySizes(m.RegionRouters, "routers") }},
		{Event: "a zone back", Quantity: "its routers that ask for everything at once", Mechanism: mechanismObservers,
			Figure: func(m *Model) Figure { return bySizes(m.ZoneRouters, "routers") }},
	}}
}

func operatorsTable() Table {
	return Table{Role: "Operators' tool", Rows: []Row{
		{Event: "at rest", Quantity: "bytes of 'fleet'",
			Mechanism: "one call at the leader, which copies the whole state (internal/rollout)",
			Figure:    func(m *Model) Figure { return m.at("rest.report", m.Routers) },
			Budget:    func(*Model) float64 { return maxAnswerBytes }},
		{Event: "release of all", Quantity: "permits at once, at 1% of the routers",
			Mechanism: "budgets and permits (internal/rollout)", Budget: func(m *Model) float64 { return m.PermitsMax },
			Figure: func(m *Model) Figure { return bySizes(m.Routers/100, "permits") }},
		{Event: "a change", Quantity: "who has not got it, and since when", Mechanism: mechanismConfiguration,
			Figure: func(*Model) Figure { return notMeasured("s") }},
	}}
}

// maxAnswerBytes is the largest answer that internal/coord/client reads.
const maxAnswerBytes = 8 << 20

func proberTable() Table {
	return Table{Role: "Prober", Rows: []Row{
		{Event: "at rest", Quantity: "servers that one lease's holder probes, if all servers are one list",
			Mechanism: mechanismSharedProbes,
			Figure:    func(m *Model) Figure { return bySizes(m.Servers/probeLeases, "servers") }},
		{Event: "at rest", Quantity: "servers that one lease's holder probes, by region", Mechanism: mechanismRegions,
			Figure: func(m *Model) Figure { return bySizes(m.RegionServers/probeLeases, "servers") }},
		{Event: "at rest", Quantity: "processor time, bytes", Mechanism: mechanismSharedProbes,
			Figure: func(*Model) Figure { return notMeasured("cores") }},
	}}
}

// probeLeases is the number of leases over which the servers are spread (internal/healthcheck).
const probeLeases = 16
