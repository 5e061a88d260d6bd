package decide

const (
	// minServiceMillis is the least time that an attempt is thought to take for a unit of work.
	minServiceMillis = 5
	// minPatienceWork is the least work that an attempt is waited for: hints are rough, and what a
	// server needs besides is not in them.
	minPatienceWork = 0.5
	// patienceFactor is the multiple of the expected time that an attempt is waited for at least.
	patienceFactor = 1.2
	// maxPatienceFactor is the multiple that it is waited for at most, if another attempt can be in
	// time after that, which needs nextAttemptFactor of the expected time.
	maxPatienceFactor = 3
	nextAttemptFactor = 1.5
	// unknownServerShare is the share of the remaining time that a server gets that is probed or
	// not known: it answers over a new connection, perhaps from another zone, and ended early it
	// would stay out for good.
	unknownServerShare = 0.75
	// overtakenFactor is the part of the time waited by which an overtaken attempt is waited for
	// again.
	overtakenFactor = 0.5

	// lostWeight is the weight of an overtaken attempt in the lost share: over five.
	lostWeight = 0.2
	// mostlyLost is the lost share from which an overtaken attempt is cancelled at once.
	mostlyLost = 0.5
	// lostDecay lowers the share with each one cancelled at once, as that shows nothing: soon the
	// next one is waited for.
	lostDecay = 0.97
)

// patienceMillis is how long an attempt at a cache server is waited for before something is done.
func (b *Balancer) patienceMillis(r *request, s *server) float64 {
	service := max(s.load.latencyPerWork.floor, b.serviceTime.mean/2, minServiceMillis)
	expected := service*max(minPatienceWork, r.work) + b.expectedWaitMillis(s)
	remaining := r.objectiveAt - b.now
	patience := max(patienceFactor*expected, min(maxPatienceFactor*expected, remaining-nextAttemptFactor*expected))
	if s.health.isEjected || s.load.latencyPerWork.value == 0 {
		patience = max(patience, unknownServerShare*remaining)
	}
	return patience
}

// patienceEnded acts on an attempt that takes longer than its patience: it is hedged, or cancelled
// for another server. A server that has answered others since it was sent is not suspected.
func (b *Balancer) patienceEnded(r *request, number int) {
	if number >= len(r.attempts) || r.attempts[number].hasEnded {
		return
	}
	a := &r.attempts[number]
	isFetch := a.server == b.membership.origin
	if b.now >= r.objectiveAt && !isFetch {
		if r.class.LateWeight == 0 && b.mayCancel(r) {
			b.host.Cancel(r.ID, number) // its answer is worth nothing, and others' work goes first
		}
		return
	}
	if isFetch || a.server.health.lastReplyAt >= a.sentAt {
		b.overtakenPatienceEnded(r, number)
		return
	}
	if !r.isServerFetch {
		b.observeStall(r, a.server)
	}
	if b.retryBudget < 1 || r.inFlight > 1 {
		return
	}
	if b.cfg.HedgingAllowed {
		b.hedge(r)
	} else {
		b.cancelForAnother(r, number)
	}
}

// mayCancel says whether an attempt of a request may be cancelled and made again.
func (b *Balancer) mayCancel(r *request) bool {
	return b.cfg.CancelAllowed && r.class.Effect == Idempotent
}

// hedge sends a second attempt beside the first, if a server has capacity for it.
func (b *Balancer) hedge(r *request) {
	if s := b.pick(r); s != nil {
		b.retryBudget--
		b.send(r, s)
	}
}

// cancelForAnother cancels an attempt if another server would take the request in time; else that
// would cost a connection and gain nothing. Its end leads to a retry.
func (b *Balancer) cancelForAnother(r *request, number int) {
	r.inFlight-- // pick is asked as if the attempt had ended
	s := b.pick(r)
	r.inFlight++
	if s != nil && b.mayCancel(r) {
		b.host.Cancel(r.ID, number)
	} else if r.class.LateWeight == 0 && b.now < r.objectiveAt {
		b.host.SetTimer(r.objectiveAt-b.now, attemptToken(r.ID, number))
	}
}

// overtakenPatienceEnded acts on a fetch, or on an attempt whose server has answered others since:
// it is lost, or heavy, and waited for half as long again unless most such were lost.
func (b *Balancer) overtakenPatienceEnded(r *request, number int) {
	a := &r.attempts[number]
	mayRetry := !b.cfg.HedgingAllowed && b.mayCancel(r) && b.retryBudget >= 1
	if mayRetry && a.server.health.latestAnsweredSentAt > a.sentAt && b.recordOvertaken(a) {
		if a.server != b.membership.origin {
			r.askAgain = a.server
		}
		b.host.Cancel(r.ID, number)
		return
	}
	b.host.SetTimer(overtakenFactor*(b.now-a.sentAt), attemptToken(r.ID, number))
}

// recordOvertaken records an attempt past its patience that later ones have overtaken, and says
// whether it is taken for lost: the second time, or at once where most were.
func (b *Balancer) recordOvertaken(a *attempt) bool {
	isSecondTime := a.wasOvertaken
	areMostLost := b.lostShare > mostlyLost
	a.wasOvertaken = true
	if isSecondTime {
		b.lostShare += lostWeight * (1 - b.lostShare)
	} else if areMostLost {
		b.lostShare *= lostDecay
	}
	return isSecondTime || areMostLost
}

// overtakenAnswered takes that an overtaken attempt was answered after all.
func (b *Balancer) overtakenAnswered() { b.lostShare -= lostWeight * b.lostShare }

// observeStall takes that a server has let an attempt's patience end without a reply to any: a
// fault is known a second before the timeout. Where servers are rarely asked, the key that meets a
// long queue most likely makes it, and counts as hotter than it was seen.
func (b *Balancer) observeStall(r *request, s *server) {
	r.key.arrivals.add(b.now, b.keyTimeConstantMillis(), b.rarelyAskedShare())
	b.recordWait(s, r.class.LatencyObjectiveMillis)
	s.health.unanswered++
	s.health.acceptedShare *= stalledAcceptedFactor
	b.eject(s, true)
}
