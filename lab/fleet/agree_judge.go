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

// Sessions and leases of the client that looks whether all leases can be had again.
const (
	healedSessionTTL = 3 * time.Second
	healedLeaseTTL   = 2 * time.Second
	healedMargin     = 500 * time.Millisecond
)

// healed waits until a fresh client has had each lease: nothing stays held by nobody.
func (a *agreement) healed(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(a.scenario.HealS*float64(time.Second)))
	defer cancel()
	for _, holder := range a.holders { // they would compete for ever
		holder.signal(syscall.SIGSTOP)
	}
	defer func() {
		for _, holder := range a.holders {
			holder.signal(syscall.SIGCONT)
		}
	}()
	for _, c := range a.coords {
		if up, err := c.running(); !up {
			return fmt.Errorf("%s has ended: %v\n%s", c.name, err, c.logTail(8))
		}
	}
	last, end := liveClient(ctx, a.addresses(), "last", healedSessionTTL)
	defer end()
	for number := range a.scenario.Leases {
		nothing := func(context.Context, *client.Lease) error { return nil }
		if err := last.RunWithLease(ctx, leaseName(number), "healed", healedLeaseTTL, healedMargin, nothing); err != nil {
			return fmt.Errorf("lease %s can't be had: %w", leaseName(number), err)
		}
	}
	return nil
}

// judge reads what all saw.
func (a *agreement) judge(res *AgreeResult) {
	claims, operations := a.readHolders()
	acts := a.readActs()
	res.Claims, res.Ops, res.Acts = len(claims), len(operations), len(acts)
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
	res.Broken, res.Undecided = checker.CheckLeases(claims, operations, acts, checker.LeaseRules{Patience: a.options.Patience})
	a.mu.Lock()
	defer a.mu.Unlock()
	res.Failures = a.problems
	if len(res.Broken) > 0 {
		res.Failures = append(res.Failures, fmt.Sprintf("%d breaches, the first: %s", len(res.Broken), res.Broken[0]))
	}
	if res.Grants == 0 || res.Claims == 0 {
		res.Failures = append(res.Failures, "nobody ever held a lease: nothing was tried")
	}
}

// readHolders reads what the holders claimed and asked for.
func (a *agreement) readHolders() (claims []checker.Claim, operations []checker.Op) {
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

// readActs reads what was done with the resource.
func (a *agreement) readActs() (acts []checker.Act) {
	if err := lines(a.actsFile(), func(text []byte) {
		var act checker.Act
		if json.Unmarshal(text, &act) == nil {
			acts = append(acts, act)
		}
	}); err != nil {
		a.fail("%v", err)
	}
	return acts
}
