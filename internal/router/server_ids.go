package router

import "maps"

// maxNames bounds the ids that are remembered. In service servers are replaced by new ones for months.
const maxNames = 4096

// names are the ids that discovery has listed so far, with what the module calls them. When there are too many, the one
// listed for the last time longest ago is forgotten.
type names struct {
	IDs  map[string]uint32 `json:"IDs"`
	Seen map[string]int64  `json:"Seen"` // when it was last listed, by count
	Tick int64             `json:"Tick"`
}

func (n *names) add(name string, id uint32) {
	if n.IDs == nil {
		n.IDs, n.Seen = map[string]uint32{}, map[string]int64{}
	}
	n.Tick++
	n.IDs[name], n.Seen[name] = id, n.Tick
	if len(n.IDs) <= maxNames {
		return
	}
	oldest := name
	for k, at := range n.Seen {
		if at < n.Seen[oldest] {
			oldest = k
		}
	}
	delete(n.IDs, oldest)
	delete(n.Seen, oldest)
}

// copied is a copy that another goroutine may read.
func (n *names) copied() names { return names{maps.Clone(n.IDs), maps.Clone(n.Seen), n.Tick} }
