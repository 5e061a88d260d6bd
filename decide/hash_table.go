package decide

import "slices"

const (
	// hashTableBits gives the memento-hash table 8192 buckets, so that servers rarely claim the
	// same one.
	hashTableBits = 13
	// bucketClaims is the number of buckets that a server claims.
	bucketClaims = 64
	// candidateLimit is the length of a key's list. The hottest key needs more than the six largest
	// servers of a large fleet.
	candidateLimit = 20
	// maxDraws bounds the draws over the table for one list if there are few servers.
	maxDraws = 4 << hashTableBits
)

// hashTable is a memento-hash table. A bucket that no listed server claims counts as removed. The
// table depends only on the IDs, not on the order of changes, so all routers have the same one, and
// few keys move with a change.
//
// It holds bucketClaims claims of each listed server. Adding or removing a server touches only the
// buckets that it claims. Each has n/128 claims in the mean with n servers.
type hashTable struct {
	// holders has the server of each bucket; nil = removed bucket.
	holders []*server
	// claims has the IDs of all listed servers that claim each bucket, that of the holder first.
	claims [][]uint32
	// epoch is the version of the table; lists made from an earlier version are recomputed.
	epoch int
}

func newHashTable() hashTable {
	return hashTable{
		holders: make([]*server, 1<<hashTableBits),
		claims:  make([][]uint32, 1<<hashTableBits),
	}
}

// claimedBucket returns the bucket of a server's claim.
func claimedBucket(id uint32, claim int) uint64 {
	return splitMix64(uint64(id)<<8|uint64(claim)) >> (64 - hashTableBits)
}

// claimRank orders the servers that claim the same bucket; the lowest gets it.
func claimRank(bucket uint64, id uint32) uint64 { return splitMix64(bucket ^ uint64(id)<<16) }

// add adds a server that is not in the table.
func (t *hashTable) add(s *server) {
	for claim := range bucketClaims {
		bucket := claimedBucket(s.ID, claim)
		claims := append(t.claims[bucket], s.ID)
		t.claims[bucket] = claims
		holder := t.holders[bucket]
		if holder == nil || claimRank(bucket, s.ID) < claimRank(bucket, holder.ID) {
			claims[0], claims[len(claims)-1] = claims[len(claims)-1], claims[0]
			t.holders[bucket] = s
		}
	}
}

// remove removes a server of the table. byID has the records of all servers of the table.
func (t *hashTable) remove(s *server, byID map[uint32]*server) {
	for claim := range bucketClaims {
		bucket := claimedBucket(s.ID, claim)
		claims := t.claims[bucket]
		at := slices.Index(claims, s.ID)
		last := len(claims) - 1
		claims[at] = claims[last]
		t.claims[bucket] = claims[:last]
		if at == 0 {
			t.holders[bucket] = t.chooseHolder(bucket, byID)
		}
	}
}

// chooseHolder puts the claim of the lowest rank first and returns its server, or nil.
func (t *hashTable) chooseHolder(bucket uint64, byID map[uint32]*server) *server {
	claims := t.claims[bucket]
	if len(claims) == 0 {
		return nil
	}
	lowest := 0
	for i, id := range claims {
		if claimRank(bucket, id) < claimRank(bucket, claims[lowest]) {
			lowest = i
		}
	}
	claims[0], claims[lowest] = claims[lowest], claims[0]
	return byID[claims[0]]
}

// list returns the first distinct servers of a key, at most length. A draw of a removed bucket is
// repeated over the whole table.
func (t *hashTable) list(key uint64, length int) (servers []*server) {
	hash := splitMix64(key)
	for draw := 0; len(servers) < length && draw < maxDraws; draw++ {
		s := t.holders[hash>>(64-hashTableBits)]
		if s != nil && !slices.Contains(servers, s) {
			servers = append(servers, s)
		}
		hash = splitMix64(hash)
	}
	return servers
}
