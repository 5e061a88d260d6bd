package router

// maxNames bounds the ids that are remembered. In service servers are replaced by new ones for months.
const maxNames = 4096

// names are the ids that discovery has listed so far, with what the module calls them. When there are too many, the one
// listed for the last time longest ago is forgotten.
type names struct {
	ids  map[string]uint32
	seen map[string]int64 // when it was last listed, by count
	tick int64
}

func (n *names) add(name string, id uint32) {
	if n.ids == nil {
		n.ids, n.seen = map[string]uint32{}, map[string]int64{}
	}
	n.tick++
	n.ids[name], n.seen[name] = id, n.tick
	if len(n.ids) <= maxNames {
		return
	}
	oldest := name
	for k, at := range n.seen {
		if at < n.seen[oldest] {
			oldest = k
		}
	}
	delete(n.ids, oldest)
	delete(n.seen, oldest)
}
