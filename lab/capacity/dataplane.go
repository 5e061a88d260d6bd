package capacity

import (
	"encoding/json"
	"fmt"

	"dockhinge.example/dockhinge/lab/model"
)

func serverTable() Table {
	return Table{Role: "Cache server, as routers load it", Rows: []Row{
		{Event: "at the peak", Quantity: "requests", Mechanism: "the routers' choice of servers (decide)",
			Figure: func(m *Model) Figure { return bySizes(m.RequestsPerS/m.Servers, "requests/s") }},
		{Event: "at the peak", Quantity: "bits out", Mechanism: "the routers' choice of servers (decide)",
			Figure: func(m *Model) Figure { return bySizes(m.BitsPerS/m.Servers, "bits/s") }},
		{Event: "at rest", Quantity: "connections, if all routers connect to all servers", Mechanism: mechanismRegions,
			Figure: func(m *Model) Figure { return bySizes(m.Routers, "connections") }},
		{Event: "at rest", Quantity: "connections, by region", Mechanism: mechanismRegions,
			Figure: func(m *Model) Figure { return bySizes(m.RegionRouters, "connections") }},
		{Event: "at rest", Quantity: "probes", Mechanism: mechanismSharedProbes,
			Figure: func(*Model) Figure { return notMeasured("probes/s") }},
		{Event: "a start, cold", Quantity: "what all routers may send it at first (cold budgets)",
			Mechanism: "a budget of each router (decide)",
			Figure:    func(*Model) Figure { return notMeasured("requests/s") }},
	}}
}

func dataPlaneTable() Table {
	return Table{Role: "Data plane", Rows: []Row{
		{Event: "at rest", Quantity: "connections, all routers to all servers", Mechanism: mechanismRegions,
			Figure: func(m *Model) Figure { return bySizes(m.Routers*m.Servers, "connections") }},
		{Event: "at rest", Quantity: "connections, by region", Mechanism: mechanismRegions,
			Figure: func(m *Model) Figure { return bySizes(m.Regions*m.RegionRouters*m.RegionServers, "connections") }},
		{Event: "at rest", Quantity: "connections of a router, by region", Mechanism: mechanismRegions,
			Figure: func(m *Model) Figure { return bySizes(m.RegionServers, "connections") }},
		{Event: "a zone lost and back", Quantity: "handshakes of its routers, by region", Mechanism: mechanismRegions,
			Figure: func(m *Model) Figure { return bySizes(m.ZoneRouters*m.RegionServers, "handshakes") }},
		{Event: "a region lost its servers", Quantity: "servers left to its routers", Mechanism: mechanismRegions,
			Figure: func(*Model) Figure { return notMeasured("servers") }},
		{Event: "at the peak", Quantity: "requests of a router", Mechanism: "the router's one loop (internal/router)",
			Figure: func(m *Model) Figure { return bySizes(m.RequestsPerS/m.Routers, "requests/s") }},
		{Event: "at the peak", Quantity: "a mean answer, against the largest value: a question to the operators",
			Mechanism: "values of at most 64 KiB (the protocol)",
			Budget:    func(m *Model) float64 { return m.ValueBytesMax },
			Figure:    func(m *Model) Figure { return bySizes(m.BitsPerS/bitsPerByte/m.RequestsPerS, "bytes") }},
		{Event: "at the peak", Quantity: "retries over the fleet", Mechanism: "a budget of each router (decide)",
			Figure: func(*Model) Figure { return notMeasured("requests/s") }},
		{Event: "at rest", Quantity: "key statistics of a router", Mechanism: "bounded tables of each router (decide)",
			Figure: func(*Model) Figure { return notMeasured("MB") }},
	}}
}

// listEntries is the number of entries over which ListEntryBytes averages.
const listEntries = 1000

// ListEntryBytes returns the mean size in bytes of a server's entry in the endpoint list of discovery, as
// uncompressed JSON. It encodes a generated list to measure it.
func ListEntryBytes() float64 {
	list := model.List{Version: 1, Full: true}
	for i := range listEntries {
		list.Servers = append(list.Servers, model.Entry{ID: fmt.Sprintf("s-%08d", i),
			Addr: fmt.Sprintf("10.1.%d.%d:11211", i/200, i%200), Zone: "region-01-a",
			Kind: "box", Cell: i % 8, State: "active", Weight: 1, Started: 1764651600000})
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // impossible: the list has only strings and finite numbers
	}
	return float64(len(text)) / listEntries
}
