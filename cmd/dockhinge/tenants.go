package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"text/tabwriter"

	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/internal/admission"
)

// tenants prints how fair admission stands at each router, by its second address: who asks, and what each was told.
func tenants(addrs []string, stdout io.Writer) error {
	var bad []error
	for _, addr := range addrs {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			bad = append(bad, fmt.Errorf("tenants: %q is no host:port of a second address", addr))
			continue
		}
		s, err := askDoor(addr)
		if err != nil {
			bad = append(bad, fmt.Errorf("tenants: %s: %w", addr, err))
			continue
		}
		if err := printDoor(stdout, addr, s); err != nil {
			return err
		}
	}
	return errors.Join(bad...)
}

func askDoor(addr string) (s admission.State, err error) {
	text, err := admin.Call(context.Background(), addr, http.MethodGet, "/-/admission")
	var no *admin.StatusError
	switch {
	case errors.As(err, &no) && no.Code == http.StatusNotFound:
		return s, errors.New("fair admission is not switched on there")
	case err != nil:
		return s, err
	}
	return s, json.Unmarshal(text, &s)
}

// printDoor prints a table, who has taken most work first.
func printDoor(out io.Writer, addr string, s admission.State) error {
	fmt.Fprintf(out, "%s: limit %.0f, in use %.0f, waiting %d; a request takes %.0f ms; the fleet refuses %.1f%% of what is let in; tables of %.1f MB\n",
		addr, s.Limit, s.InUse, s.Waiting, s.LatencyMillis, 100*s.RejectShare, float64(s.TableBytes)/1e6)
	all := 0.0
	for _, t := range s.Tenants {
		all += t.WorkMillis
	}
	slices.SortStableFunc(s.Tenants, func(x, y admission.TenantStats) int { return cmp.Compare(y.WorkMillis, x.WorkMillis) })
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "tenant\tweight\twork %\tshare now %\tasked\tlet in\tserved\tturned\trefused\tretries\tearly\twaiting\ttold ms\t")
	for _, t := range s.Tenants {
		name := fmt.Sprintf("%q", t.Tenant)
		if t.Tenant == "" {
			name = "(others)"
		}
		fmt.Fprintf(w, "%s\t%g\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t\n", name, t.Weight, 100*t.WorkMillis/max(all, 1), 100*t.Share,
			t.Requests, t.Admitted, t.Served, t.RejectedDownstream, t.Rejected, t.RejectedRetries, t.RejectedEarly, t.Waiting, t.RetryAfterMillis)
	}
	return w.Flush()
}
