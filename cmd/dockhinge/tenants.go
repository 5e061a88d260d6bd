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

// errAdmissionOff reports that a router does not have fair admission enabled.
var errAdmissionOff = errors.New("fair admission is not enabled at this router")

// printTenants prints the state of fair admission at each of the routers, given their admin
// addresses.
func printTenants(addrs []string, stdout io.Writer) error {
	var failed []error
	for _, addr := range addrs {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			failed = append(failed, fmt.Errorf("tenants: %q is not the host:port of an admin address", addr))
			continue
		}
		state, err := fetchAdmissionState(context.Background(), addr)
		if err != nil {
			failed = append(failed, fmt.Errorf("tenants: %s: %w", addr, err))
			continue
		}
		if err := printAdmissionState(stdout, addr, state); err != nil {
			return err
		}
	}
	return errors.Join(failed...)
}

// fetchAdmissionState requests the state of admission at an admin address. The error is
// errAdmissionOff if the router does not have fair admission enabled.
func fetchAdmissionState(ctx context.Context, addr string) (state admission.State, err error) {
	text, err := admin.Call(ctx, addr, http.MethodGet, admin.AdmissionPath)
	var statusError *admin.StatusError
	switch {
	case errors.As(err, &statusError) && statusError.Code == http.StatusNotFound:
		return state, errAdmissionOff
	case err != nil:
		return state, err
	}
	return state, json.Unmarshal(text, &state)
}

// printAdmissionState prints a table of the tenants, in descending order of their work.
// docs/admission.md describes its columns.
func printAdmissionState(out io.Writer, addr string, s admission.State) error {
	const bytesPerMB = 1e6
	fmt.Fprintf(out, "%s: limit %.0f, in use %.0f, waiting %d; ", addr, s.Limit, s.InUse, s.Waiting)
	fmt.Fprintf(out, "a request takes %.0f ms; the fleet refuses %.1f%% of what is let in; tables of %.1f MB\n",
		s.LatencyMillis, 100*s.RejectShare, float64(s.TableBytes)/bytesPerMB)
	totalWork := 0.0
	for _, tenant := range s.Tenants {
		totalWork += tenant.WorkMillis
	}
	slices.SortStableFunc(s.Tenants, func(x, y admission.TenantStats) int {
		return cmp.Compare(y.WorkMillis, x.WorkMillis)
	})
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "tenant\tweight\twork %\tshare now %\t"+
		"asked\tlet in\tserved\tturned\trefused\tretries\tearly\twaiting\ttold ms\t")
	for _, tenant := range s.Tenants {
		printTenant(w, tenant, totalWork)
	}
	return w.Flush()
}

// printTenant prints one row of the table.
func printTenant(w io.Writer, tenant admission.TenantStats, totalWork float64) {
	name := fmt.Sprintf("%q", tenant.Tenant)
	if tenant.Tenant == "" {
		name = "(others)"
	}
	fmt.Fprintf(w, "%s\t%g\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t\n",
		name,
		tenant.Weight,
		100*tenant.WorkMillis/max(totalWork, 1),
		100*tenant.Share,
		tenant.Requests,
		tenant.Admitted,
		tenant.Served,
		tenant.RejectedDownstream,
		tenant.Rejected,
		tenant.RejectedRetries,
		tenant.RejectedEarly,
		tenant.Waiting,
		tenant.RetryAfterMillis)
}
