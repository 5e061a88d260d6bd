package main

import "errors"

var (
	errNoCoordinators  = errors.New("--coordinators: none named")
	errNoObservers     = errors.New("--observers: none named")
	errNoLeaderAnswers = errors.New("no leader answers")
	errLeaderTimeout   = errors.New(
		"no answer in time: whether it was carried out is not known, look at members and status")
	errNotConfirmed = errors.New(
		"--i-have-waited: say that all others are ended and the longest time to live has passed")
	errNoHaltReason     = errors.New("--why: say why; others will read it")
	errNoReleaseStarted = errors.New("there has been no release")

	// errNoLeader is that of status where no coordinator leads.
	errNoLeader = errors.New(
		"no leader: nothing new can be agreed on (what is held ends by its time; routers serve on)")

	// errSessionLost tells that a begun permit has no holder any more.
	errSessionLost = errors.New(
		"the session was lost: the permit stays used until it is seen started anew, or cleared")
)
