package router

import (
	"cmp"
	"hash/fnv"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxServerIDs limits the number of remembered server names, as servers are replaced by new ones
// over time.
const maxServerIDs = 4096

// serverIDs holds the names of servers that discovery has listed so far and the Balancer's ids for
// them. Beyond maxServerIDs it drops the name that was listed least recently, but none that is in use:
// it holds at most maxServerIDs names, or those in use if they are more. Adding a name costs the same
// whatever their number. The JSON tags are part of the hand-over format.
type serverIDs struct {
	// IDs holds the Balancer's id of each name.
	IDs map[string]uint32 `json:"IDs"`
	// LastListed holds the value of ListCount when each name was last listed.
	LastListed map[string]int64 `json:"Seen"`
	// ListCount counts all listings of names.
	ListCount int64 `json:"Tick"`
	// order holds the names in the order of LastListed.
	order *simplelru.LRU[string, struct{}]
}

// add records that a name is listed. isInUse reports whether a name must not be dropped; nil = none.
func (s *serverIDs) add(name string, id uint32, isInUse func(name string) bool) {
	if s.IDs == nil {
		s.IDs = map[string]uint32{}
		s.LastListed = map[string]int64{}
	}
	s.restoreOrder()
	s.IDs[name] = id
	s.touch(name)
	for range min(len(s.IDs), maxNamesSkipped) {
		if len(s.IDs) <= maxServerIDs {
			return
		}
		oldest, _, _ := s.order.GetOldest()
		if isInUse == nil || !isInUse(oldest) {
			s.forget(oldest)
		} else {
			s.touch(oldest)
		}
	}
}

// maxNamesSkipped is the number of names in use that one call of add looks at. They come last then,
// so the next call looks at others.
const maxNamesSkipped = 8

// touch makes a name the one listed last.
func (s *serverIDs) touch(name string) {
	s.ListCount++
	s.LastListed[name] = s.ListCount
	s.order.Add(name, struct{}{})
}

func (s *serverIDs) forget(name string) {
	delete(s.IDs, name)
	delete(s.LastListed, name)
	s.order.Remove(name)
}

// restoreOrder works out the order of names that a previous process has handed over.
func (s *serverIDs) restoreOrder() {
	if s.order != nil {
		return
	}
	s.order, _ = simplelru.NewLRU[string, struct{}](math.MaxInt, nil) // add limits it
	names := slices.SortedFunc(maps.Keys(s.IDs),
		func(p, q string) int { return cmp.Compare(s.LastListed[p], s.LastListed[q]) })
	for _, name := range names {
		s.order.Add(name, struct{}{})
	}
}

// clone returns a copy that another goroutine may read.
func (s *serverIDs) clone() serverIDs {
	return serverIDs{IDs: maps.Clone(s.IDs), LastListed: maps.Clone(s.LastListed), ListCount: s.ListCount}
}

// serverID maps a server's name to the Balancer's id. The mapping must be the same in all routers,
// because the Balancer hashes the id. Hexadecimal digits at the end of the name are the id, as in
// the simulator's protocol.
func serverID(name string) uint32 {
	if id, err := strconv.ParseUint(name[strings.LastIndexByte(name, '-')+1:], 16, 32); err == nil {
		return uint32(id)
	}
	h := fnv.New32a()
	io.WriteString(h, name)
	return h.Sum32()
}

// keyID maps a key to the Balancer's number for it, in the same way.
func keyID(key string) uint64 {
	const digits = 16
	if id, err := strconv.ParseUint(key, 16, 64); err == nil && len(key) == digits {
		return id
	}
	h := fnv.New64a()
	io.WriteString(h, key)
	return h.Sum64()
}
