package router

// attemptIndex finds the attempts at a server that have not ended, and those whose value is being
// streamed. It has an entry for each such attempt; adding or removing one costs the same whatever the
// number of requests.
type attemptIndex map[uint32]map[*attempt]struct{}

func (x attemptIndex) add(a *attempt) {
	if x[a.server] == nil {
		x[a.server] = map[*attempt]struct{}{}
	}
	x[a.server][a] = struct{}{}
}

func (x attemptIndex) remove(a *attempt) {
	delete(x[a.server], a)
	if len(x[a.server]) == 0 {
		delete(x, a.server)
	}
}
