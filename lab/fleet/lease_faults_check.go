package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/lab/checker"
)

// Times of the client that checks whether each lease can be acquired again.
const (
	healedSessionTTL = 3 * time.Second
	healedLeaseTTL   = 2 * time.Second
	healedMargin     = 500 * time.Millisecond
)

// awaitAllLeasesFree waits until a new client has acquired each lease: none may stay held after its
// holder is lost.
func (a *coordinatorGroup) awaitAllLeasesFree(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(a.scenario.HealS*float64(time.Second)))
	defer cancel()
	for _, holder := range a.holders { // they would go on competing for the leases
		holder.signal(syscall.SIGSTOP)
	}
	defer func() {
		for _, holder := range a.holders {
			holder.signal(syscall.SIGCONT)
		}
	}()
	for _, c := range a.nodes {
		if up, err := c.running(); !up {
			return fmt.Errorf("%s has ended: %v\n%s", c.name, err, c.logTail(8))
		}
	}
	newClient, end := liveClient(ctx, a.addresses(), "last", healedSessionTTL)
	defer end()
	for number := range a.scenario.Leases {
		noWork := func(context.Context, *client.Lease) error { return nil }
		if err := newClient.RunWithLease(ctx, leaseName(number), "healed", healedLeaseTTL,
			healedMargin, noWork); err != nil {
			return fmt.Errorf("lease %s can't be acquired: %w", leaseName(number), err)
		}
	}
	return nil
}

// checkHistory reads the logs of the holders and of the resource and checks them.
func (a *coordinatorGroup) checkHistory(res *LeaseFaultsResult) {
	claims, operations := a.readHolders()
	acts := a.readActs()
	res.Claims, res.Operations, res.Acts = len(claims), len(operations), len(acts)
	for _, act := range acts {
		if act.Refused {
			res.Refused++
		}
	}
	for _, operation := range operations {
		if operation.Kind == "acquire" && operation.Code == "ok" {
			res.Grants++
		}
	}
	res.Breaches, res.Undecided = checker.CheckLeases(claims, operations, acts,
		checker.LeaseRules{Patience: a.options.CheckTimeout})
	a.mu.Lock()
	defer a.mu.Unlock()
	res.Failures = a.problems
	if len(res.Breaches) > 0 {
		res.Failures = append(res.Failures,
			fmt.Sprintf("%d breaches, the first: %s", len(res.Breaches), res.Breaches[0]))
	}
	if res.Grants == 0 || res.Claims == 0 {
		res.Failures = append(res.Failures, "no lease was ever held: the run tested nothing")
	}
}

// readHolders reads the claims and calls of all holders.
func (a *coordinatorGroup) readHolders() (claims []checker.Claim, operations []checker.Op) {
	for _, holder := range a.holders {
		claimed, asked, err := readHolder(a.holderLog(holder.name))
		if err != nil {
			a.fail("%v", err)
		}
		claims = append(claims, claimed...)
		operations = append(operations, asked...)
	}
	return claims, operations
}

// readActs reads the acts on the resource.
func (a *coordinatorGroup) readActs() (acts []checker.Act) {
	if err := forEachLine(a.actsFile(), func(text []byte) {
		var act checker.Act
		if json.Unmarshal(text, &act) == nil {
			acts = append(acts, act)
		}
	}); err != nil {
		a.fail("%v", err)
	}
	return acts
}
