package router

import "github.com/hashicorp/golang-lru/v2/simplelru"

// pastRequests remembers requests that have ended and may have run, and must not run twice, by their
// client-assigned ids. A client never uses an id again, but a request may come again: a bad client
// leaves and sends it once more. It belongs to the loop. It holds at most maxPastRequests; every
// operation on one request costs the same whatever their number.
type pastRequests struct {
	// expiry is until when a request is remembered, in milliseconds on the loop's clock, by id, the one
	// added first being the oldest; nil before the first.
	expiry *simplelru.LRU[string, float64]
}

const (
	// maxPastRequests limits the remembered requests; the oldest ones are dropped.
	maxPastRequests = 4096
	// pastRequestMillis is how long a request is remembered. It is longer than any deadline: by then
	// its client has given it up, wherever it sent it.
	pastRequestMillis = 5000
)

// add remembers a request from now on.
func (p *pastRequests) add(id string, now float64) {
	if p.expiry == nil {
		p.expiry, _ = simplelru.NewLRU[string, float64](maxPastRequests, nil) // the size is valid
	}
	p.expiry.Add(id, now+pastRequestMillis)
	for {
		oldest, expiry, isFound := p.expiry.GetOldest()
		if !isFound || expiry > now {
			return
		}
		p.expiry.Remove(oldest)
	}
}

// contains reports whether a request is remembered.
func (p *pastRequests) contains(id string, now float64) bool {
	if p.expiry == nil {
		return false
	}
	expiry, _ := p.expiry.Peek(id)
	return expiry > now
}

// remove forgets a request.
func (p *pastRequests) remove(id string) {
	if p.expiry != nil {
		p.expiry.Remove(id)
	}
}

// ids returns the ids of the remembered requests.
func (p *pastRequests) ids(now float64) (ids []string) {
	if p.expiry == nil {
		return nil
	}
	for _, id := range p.expiry.Keys() {
		if p.contains(id, now) {
			ids = append(ids, id)
		}
	}
	return ids
}
