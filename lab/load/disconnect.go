package load

// waitFor is how long a client reads for an answer after it has sent a request, in milliseconds, and whether it disconnects then
// before its time is up.
func (l *Load) waitFor(patience float64) (millis float64, disconnects bool) {
	if l.p.DisconnectShare <= 0 {
		return patience + slackMS, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rng.Float64() >= l.p.DisconnectShare {
		return patience + slackMS, false
	}
	earliest, latest := l.p.DisconnectMS[0], l.p.DisconnectMS[1]
	after := earliest + (latest-earliest)*l.rng.Float64()
	if after >= patience {
		return patience + slackMS, false
	}
	return after, true
}
