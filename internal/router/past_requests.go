package router

import "slices"

// pastRequests remembers requests that have ended and may have run, and must not run twice, by their
// client-assigned ids. A client never uses an id again, but a request may come again: a bad client
// leaves and sends it once more. It belongs to the loop.
type pastRequests struct {
	// expiry is until when a request is remembered, in milliseconds on the loop's clock, by id.
	expiry map[string]float64
	// order holds the ids in the order in which they were added.
	order []string
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
		p.expiry = map[string]float64{}
	}
	if _, isKnown := p.expiry[id]; !isKnown {
		p.order = append(p.order, id)
	}
	p.expiry[id] = now + pastRequestMillis
	for len(p.order) > maxPastRequests || len(p.order) > 0 && p.expiry[p.order[0]] <= now {
		delete(p.expiry, p.order[0])
		p.order = p.order[1:]
	}
}

// contains reports whether a request is remembered.
func (p *pastRequests) contains(id string, now float64) bool { return p.expiry[id] > now }

// remove forgets a request.
func (p *pastRequests) remove(id string) {
	if _, isKnown := p.expiry[id]; !isKnown {
		return
	}
	delete(p.expiry, id)
	i := slices.Index(p.order, id)
	p.order = slices.Delete(p.order, i, i+1)
}

// ids returns the ids of the remembered requests.
func (p *pastRequests) ids(now float64) (ids []string) {
	for _, id := range p.order {
		if p.contains(id, now) {
			ids = append(ids, id)
		}
	}
	return ids
}
