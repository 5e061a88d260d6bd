package capacity

// Mechanisms that rows depend on. These and all texts of the rows are printed in docs/CAPACITY.md.
const (
	bySession    = "sessions and keep-alives at the leader (internal/coord)"
	byWatch      = "a long poll at the leader, and a barrier in its log for each answer (internal/coord/node)"
	byFollow     = "reports and acknowledgements, an entry of the log each (internal/rollout/follow)"
	byLog        = "the coordinators' log (hashicorp/raft)"
	byObserver   = "observers (internal/coord/observer), which routers do not use yet (#34)"
	byConfig     = "agreed configuration over observers, which routers do not take yet (#34)"
	byPurge      = "missing: invalidation (#21), which observers could carry"
	byDiscovery  = "discovery's list (internal/router)"
	byRegions    = "missing: regions as the unit of the list (#34; cells are #11)"
	bySightings  = "one table of routers by servers (internal/rollout)"
	byProbeLease = "one router probes for all, 16 leases (internal/healthcheck)"
)

const (
	secondsPerDay = 24 * 60 * 60
	bitsPerByte   = 8
)

// Tables returns all tables, one for each role.
func Tables() []Table {
	return []Table{routerTable(), leaderTable(), voterTable(), observerTable(), operatorsTable(), proberTable(), serverTable(), dataPlaneTable()}
}

// perRouter divides a figure of the whole fleet by its routers.
func (m *Model) perRouter(f Figure, unit string) Figure { return f.times(1/m.Routers, unit) }

// perDay converts a number per day to one per second.
func perDay(n float64) float64 { return n / secondsPerDay }

func routerBytesBudget(m *Model) float64 { return m.RouterBytesPerS }

func routerTable() Table {
	return Table{Role: "Router", Rows: []Row{
		{Event: "at rest", What: "bytes in and out, headers included", CarriedBy: bySession + "; " + byWatch, Budget: routerBytesBudget,
			Figure: func(m *Model) Figure {
				return m.perRouter(m.at("rest.routers.in", m.Routers).plus(m.at("rest.routers.out", m.Routers)), "bytes/s")
			}},
		{Event: "at rest", What: "processor time of the control client", CarriedBy: bySession, Budget: func(m *Model) float64 { return m.RouterCoreShare },
			Figure: func(m *Model) Figure { return m.perRouter(m.at("rest.hollow.cores", m.Routers), "cores") }},
		{Event: "at rest", What: "memory of the control client", CarriedBy: bySession, Budget: func(m *Model) float64 { return m.RouterMemoryMB },
			Figure: func(m *Model) Figure { return m.perRouter(m.at("rest.hollow.memory", m.Routers), "MB") }},
		{Event: "at rest", What: "connections to coordinators", CarriedBy: bySession, Figure: func(m *Model) Figure { return m.perRouter(m.at("rest.routers.connections", m.Routers), "connections") }},
		{Event: "at the peak", What: "control, while it serves its share of the requests", CarriedBy: "nothing of control is on a request's way",
			Figure: func(*Model) Figure { return notMeasured("bytes/s") }},
		{Event: "a restart", What: "bytes in and out until it has reported all servers of its region", CarriedBy: byFollow,
			Figure: func(m *Model) Figure {
				return m.perRouter(m.at("join.routers.in", m.Routers).plus(m.at("join.routers.out", m.Routers)), "bytes")
			}},
		{Event: "a start", What: "first list of all servers, at the bytes a second that control may cost", CarriedBy: byDiscovery,
			Budget: func(m *Model) float64 { return m.ConfigurationWithinS }, Breaks: "the first list: " + byRegions,
			Figure: func(m *Model) Figure { return bySizes(m.Servers*ListEntryBytes()/m.RouterBytesPerS, "s") }},
		{Event: "a start", What: "first list of its region's servers, likewise", CarriedBy: byRegions,
			Budget: func(m *Model) float64 { return m.ConfigurationWithinS },
			Figure: func(m *Model) Figure { return bySizes(m.RegionServers*ListEntryBytes()/m.RouterBytesPerS, "s") }},
		{Event: "a change", What: "bytes in for one drain and its end", CarriedBy: byWatch, Figure: func(m *Model) Figure { return m.perRouter(m.at("drain.routers.in", m.Routers), "bytes") }},
		{Event: "all changes of a day", What: "bytes in, if each cost what a drain costs", CarriedBy: byConfig, Budget: routerBytesBudget,
			Figure: func(m *Model) Figure {
				return m.at("drain.routers.in", m.Routers).times(perDay(m.ConfigurationChangesPerDay)/m.Routers, "bytes/s")
			}},
		{Event: "a burst of changes", What: "bytes in, if each cost what a drain costs", CarriedBy: byConfig, Budget: routerBytesBudget,
			Figure: func(m *Model) Figure {
				return m.at("drain.routers.in", m.Routers).times(m.ChangeBurst/m.Routers, "bytes/s")
			}},
		{Event: "purges", What: "bytes in without any framing", CarriedBy: byPurge, Budget: routerBytesBudget,
			Figure: func(m *Model) Figure { return bySizes(m.PurgesPerS*m.PurgeBytes, "bytes/s") }},
		{Event: "a burst of purges", What: "bytes in without any framing, in one second", CarriedBy: byPurge, Budget: routerBytesBudget,
			Figure: func(m *Model) Figure { return bySizes(m.PurgeBurst*m.PurgeBytes, "bytes/s") }},
	}}
}

func leaderTable() Table {
	cores := func(m *Model) float64 { return m.LeaderCores }
	return Table{Role: "Coordinator that leads", Rows: []Row{
		{Event: "at rest", What: "processor time", CarriedBy: bySession + "; " + byWatch, Budget: cores, Breaks: "the one loop that applies commands",
			Figure: func(m *Model) Figure { return m.at("rest.leader.cores", m.Routers) }},
		{Event: "at rest", What: "memory", CarriedBy: bySession, Figure: func(m *Model) Figure { return m.at("rest.leader.memory", m.Routers) }},
		{Event: "at rest", What: "descriptors", CarriedBy: bySession, Budget: func(m *Model) float64 { return m.ConnectionsMax },
			Figure: func(m *Model) Figure { return m.at("rest.leader.descriptors", m.Routers) }},
		{Event: "at rest", What: "bytes read", CarriedBy: bySession, Figure: func(m *Model) Figure { return m.at("rest.leader.read", m.Routers) }},
		{Event: "at rest", What: "bytes written to routers", CarriedBy: byWatch, Figure: func(m *Model) Figure {
			return m.at("rest.routers.in", m.Routers)
		}},
		{Event: "at rest", What: "entries of the log", CarriedBy: byLog, Figure: func(m *Model) Figure { return m.at("rest.entries", m.Routers) }},
		{Event: "at rest", What: "sessions", CarriedBy: bySession, Budget: func(m *Model) float64 { return m.SessionsMax }, Breaks: "the table's bound",
			Figure: func(m *Model) Figure { return bySizes(m.Routers, "sessions") }},
		{Event: "at rest", What: "watchers", CarriedBy: byWatch, Budget: func(m *Model) float64 { return m.WatchersMax },
			Figure: func(m *Model) Figure { return bySizes(m.Routers, "watchers") }},
		{Event: "at rest", What: "sightings, if all routers see all servers", CarriedBy: bySightings, Budget: func(m *Model) float64 { return m.SightingsMax },
			Figure: func(m *Model) Figure { return bySizes(m.Routers*m.Servers, "sightings") }, Breaks: "it is the product of both"},
		{Event: "at rest", What: "sightings, by region", CarriedBy: byRegions, Budget: func(m *Model) float64 { return m.SightingsMax },
			Figure: func(m *Model) Figure { return bySizes(m.Regions*m.RegionRouters*m.RegionServers, "sightings") }},
		{Event: "at the peak", What: "what control costs more than at rest", CarriedBy: "nothing of control is on a request's way",
			Figure: func(*Model) Figure { return notMeasured("cores") }},
		{Event: "restarts of a day", What: "processor time, evenly over the day", CarriedBy: byFollow, Budget: cores,
			Figure: func(m *Model) Figure {
				return m.share("join.leader.cpu", 1).times(perDay(m.RestartsPerDay), "cores")
			}},
		{Event: "release of all", What: "processor time in all, all at once", CarriedBy: byFollow, Figure: func(m *Model) Figure { return m.at("join.leader.cpu", m.Routers) }},
		{Event: "release of all", What: "until all have a session, what is drained, and have reported, all at once", CarriedBy: byFollow,
			Budget: func(m *Model) float64 { return m.ConfigurationWithinS }, Breaks: "the one loop that applies commands",
			Figure: func(m *Model) Figure { return m.at("join.reported", m.Routers) }},
		{Event: "a rack lost and back", What: "processor time (its size is not given)", CarriedBy: byFollow, Figure: func(*Model) Figure { return notMeasured("CPU s") }},
		{Event: "a zone lost and back", What: "processor time for its routers' joins", CarriedBy: byFollow,
			Figure: func(m *Model) Figure { return m.share("join.leader.cpu", m.ZoneRouters) }},
		{Event: "a region cut off and back", What: "processor time for its routers' joins, as their sessions end meanwhile", CarriedBy: byFollow,
			Figure: func(m *Model) Figure { return m.share("join.leader.cpu", m.RegionRouters) }},
		{Event: "all coordinators restarted", What: "until the last router has a change made at once after it", CarriedBy: bySession + "; " + byWatch,
			Figure: func(m *Model) Figure { return m.at("restart.last", m.Routers) }, Budget: func(m *Model) float64 { return m.ConfigurationWithinS }},
		{Event: "a change", What: "until the slowest router of all has it", CarriedBy: byWatch, Budget: func(m *Model) float64 { return m.ConfigurationWithinS },
			Figure: func(m *Model) Figure { return m.at("drain.last", m.Routers).times(1.0/1000, "s") }},
		{Event: "a change", What: "until 99% of routers have it, against the time for a purge", CarriedBy: byWatch, Budget: func(m *Model) float64 { return m.PurgeWithinS },
			Figure: func(m *Model) Figure { return m.at("drain.p99", m.Routers).times(1.0/1000, "s") }},
		{Event: "a change", What: "until all have acknowledged it", CarriedBy: byFollow, Budget: func(m *Model) float64 { return m.ConfigurationWithinS },
			Figure: func(m *Model) Figure { return m.at("drain.acknowledged", m.Routers).times(1.0/1000, "s") }},
		{Event: "a change", What: "processor time of a drain, its end, and all acknowledgements", CarriedBy: byWatch, Figure: func(m *Model) Figure { return m.at("drain.leader.cpu", m.Routers) }},
		{Event: "a burst of changes", What: "processor time for each second of it, if each cost what a drain costs", CarriedBy: byObserver, Budget: cores,
			Breaks: "a barrier and an answer for each router and change",
			Figure: func(m *Model) Figure { return m.at("drain.leader.cpu", m.Routers).times(m.ChangeBurst, "cores") }},
		{Event: "purges", What: "processor time, if each cost what a drain costs", CarriedBy: byPurge, Budget: cores,
			Figure: func(m *Model) Figure { return m.at("drain.leader.cpu", m.Routers).times(m.PurgesPerS, "cores") }},
	}}
}

func voterTable() Table {
	return Table{Role: "Other coordinator that votes", Rows: []Row{
		{Event: "at rest", What: "processor time", CarriedBy: byLog, Budget: func(m *Model) float64 { return m.LeaderCores },
			Figure: func(m *Model) Figure { return m.at("rest.voter.cores", m.Routers) }},
		{Event: "at rest", What: "memory", CarriedBy: byLog, Figure: func(m *Model) Figure { return m.at("rest.voter.memory", m.Routers) }},
		{Event: "at rest", What: "descriptors", CarriedBy: byLog, Budget: func(m *Model) float64 { return m.ConnectionsMax },
			Figure: func(m *Model) Figure { return m.at("rest.voter.descriptors", m.Routers) }},
		{Event: "at rest", What: "bytes read", CarriedBy: byLog, Figure: func(m *Model) Figure { return m.at("rest.voter.read", m.Routers) }},
		{Event: "release of all", What: "processor time in all", CarriedBy: byLog, Figure: func(m *Model) Figure { return m.at("join.voter.cpu", m.Routers) }},
		{Event: "a zone lost and back", What: "processor time for its routers' joins", CarriedBy: byLog,
			Figure: func(m *Model) Figure { return m.share("join.voter.cpu", m.ZoneRouters) }},
		{Event: "a region cut off and back", What: "processor time for its routers' joins", CarriedBy: byLog,
			Figure: func(m *Model) Figure { return m.share("join.voter.cpu", m.RegionRouters) }},
	}}
}

func observerTable() Table {
	return Table{Role: "Observer", Rows: []Row{
		{Event: "at rest", What: "machines, voters included", CarriedBy: byObserver, Budget: func(m *Model) float64 { return m.ControlMachines },
			Figure: func(m *Model) Figure { return bySizes(m.Voters+m.Observers, "machines") }},
		{Event: "at rest", What: "routers on each", CarriedBy: byObserver, Figure: func(m *Model) Figure { return bySizes(m.Routers/m.Observers, "routers") }},
		{Event: "one lost", What: "routers on each other one", CarriedBy: byObserver, Figure: func(m *Model) Figure { return bySizes(m.Routers/(m.Observers-1), "routers") }},
		{Event: "at rest", What: "processor time, memory, bytes", CarriedBy: byObserver, Figure: func(*Model) Figure { return notMeasured("cores") }},
		{Event: "purges", What: "bytes out without any framing", CarriedBy: byPurge, Figure: func(m *Model) Figure {
			return bySizes(m.Routers/m.Observers*m.PurgesPerS*m.PurgeBytes, "bytes/s")
		}},
		{Event: "a region back", What: "its routers that ask for everything at once", CarriedBy: byObserver, Figure: func(m *Model) Figure { return bySizes(m.RegionRouters, "routers") }},
		{Event: "a zone back", What: "its routers that ask for everything at once", CarriedBy: byObserver, Figure: func(m *Model) Figure { return bySizes(m.ZoneRouters, "routers") }},
	}}
}

func operatorsTable() Table {
	return Table{Role: "Operators' tool", Rows: []Row{
		{Event: "at rest", What: "bytes of 'fleet'", CarriedBy: "one call at the leader, which copies the whole state (internal/rollout)",
			Figure: func(m *Model) Figure { return m.at("rest.report", m.Routers) }, Budget: func(*Model) float64 { return maxAnswerBytes }},
		{Event: "release of all", What: "permits at once, at 1% of the routers", CarriedBy: "budgets and permits (internal/rollout)", Budget: func(m *Model) float64 { return m.PermitsMax },
			Figure: func(m *Model) Figure { return bySizes(m.Routers/100, "permits") }},
		{Event: "a change", What: "who has not got it, and since when", CarriedBy: byConfig, Figure: func(*Model) Figure { return notMeasured("s") }},
	}}
}

// maxAnswerBytes is the largest answer that internal/coord/client reads.
const maxAnswerBytes = 8 << 20

func proberTable() Table {
	return Table{Role: "Prober", Rows: []Row{
		{Event: "at rest", What: "servers that one lease's holder probes, if all servers are one list", CarriedBy: byProbeLease,
			Figure: func(m *Model) Figure { return bySizes(m.Servers/probeLeases, "servers") }},
		{Event: "at rest", What: "servers that one lease's holder probes, by region", CarriedBy: byRegions,
			Figure: func(m *Model) Figure { return bySizes(m.RegionServers/probeLeases, "servers") }},
		{Event: "at rest", What: "processor time, bytes", CarriedBy: byProbeLease, Figure: func(*Model) Figure { return notMeasured("cores") }},
	}}
}

// probeLeases is the number of leases over which the servers are spread (internal/healthcheck).
const probeLeases = 16
