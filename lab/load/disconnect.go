package load

// waitFor returns how long a client waits for an answer after it has sent a request, and whether it
// disconnects then, before its deadline.
func (l *Load) waitFor(timeoutMillis float64) (millis float64, disconnects bool) {
	if l.p.DisconnectShare <= 0 {
		return timeoutMillis + readSlackMillis, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rng.Float64() >= l.p.DisconnectShare {
		return timeoutMillis + readSlackMillis, false
	}
	earliest, latest := l.p.DisconnectMS[0], l.p.DisconnectMS[1]
	after := earliest + (latest-earliest)*l.rng.Float64()
	if after >= timeoutMillis {
		return timeoutMillis + readSlackMillis, false
	}
	return after, true
}
