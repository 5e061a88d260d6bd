package router

import (
	"hash/fnv"
	"io"
	"maps"
	"strconv"
	"strings"
)

// maxServerIDs limits the number of remembered server names, as servers are replaced by new ones
// over time.
const maxServerIDs = 4096

// serverIDs holds the names of servers that discovery has listed so far and the Balancer's ids for
// them. Beyond maxServerIDs it drops the name that was listed least recently. The JSON tags are
// part of the hand-over format.
type serverIDs struct {
	// IDs holds the Balancer's id of each name.
	IDs map[string]uint32 `json:"IDs"`
	// LastListed holds the value of ListCount when each name was last listed.
	LastListed map[string]int64 `json:"Seen"`
	// ListCount counts all listings of names.
	ListCount int64 `json:"Tick"`
}

// add records that a name is listed.
func (s *serverIDs) add(name string, id uint32) {
	if s.IDs == nil {
		s.IDs = map[string]uint32{}
		s.LastListed = map[string]int64{}
	}
	s.ListCount++
	s.IDs[name] = id
	s.LastListed[name] = s.ListCount
	if len(s.IDs) <= maxServerIDs {
		return
	}
	oldest := name
	for other, listed := range s.LastListed {
		if listed < s.LastListed[oldest] {
			oldest = other
		}
	}
	delete(s.IDs, oldest)
	delete(s.LastListed, oldest)
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
