package main

import "errors"

var (
	errNoCoordinators  = errors.New("--coordinators: no coordinator given")
	errNoObservers     = errors.New("--observers: no observer given")
	errNoLeaderAnswers = errors.New("no leader answers")
	errLeaderTimeout   = errors.New(
		"no answer in time: the command may have been carried out; check 'members' and 'status'")
	errNotConfirmed = errors.New(
		"--i-have-waited: confirm that all other coordinators have ended and the longest time to live has passed since")
	errNoHaltReason     = errors.New("--why: a reason is required; 'fleet' shows it to others")
	errNoReleaseStarted = errors.New("no release has been started")

	// errNoLeader is returned by the status command if no coordinator is the leader.
	errNoLeader = errors.New(
		"no leader: no new decisions are possible (leases expire at the end of their time; routers continue to serve)")

	// errSessionLost is returned if the session that holds a begun permit has ended.
	errSessionLost = errors.New(
		"the session was lost: the permit stays in use until the target is restarted, or until 'permit clear'")
)
