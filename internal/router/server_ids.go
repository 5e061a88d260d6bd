package router

import "maps"

// maxServerIDs bounds the ids that are remembered. In service servers are replaced by new ones for months.
const maxServerIDs = 4096

// serverIDs are the ids that discovery has listed so far, with what the module calls them. When there are too many, the one
// listed for the last time longest ago is forgotten.
type serverIDs struct {
	IDs        map[string]uint32 `json:"IDs"`
	LastListed map[string]int64  `json:"Seen"` // when it was last listed, by count
	ListCount  int64             `json:"Tick"`
}

func (n *serverIDs) add(name string, id uint32) {
	if n.IDs == nil {
		n.IDs, n.LastListed = map[string]uint32{}, map[string]int64{}
	}
	n.ListCount++
	n.IDs[name], n.LastListed[name] = id, n.ListCount
	if len(n.IDs) <= maxServerIDs {
		return
	}
	oldest := name
	for k, at := range n.LastListed {
		if at < n.LastListed[oldest] {
			oldest = k
		}
	}
	delete(n.IDs, oldest)
	delete(n.LastListed, oldest)
}

// clone is a copy that another goroutine may read.
func (n *serverIDs) clone() serverIDs {
	return serverIDs{maps.Clone(n.IDs), maps.Clone(n.LastListed), n.ListCount}
}
