// Package report presents the results of runs: as a text table, as JSON, and as one HTML page
// without external resources.
package report

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"dockhinge.example/dockhinge/lab/fleet"
)

// Table writes the result of a run as text.
func Table(w io.Writer, r fleet.Result) {
	fmt.Fprintf(w, "\n%s\n", r.Scenario)
	t := tabwriter.NewWriter(w, 2, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tasked\tserved\tin aim\trefused\tfailed\tp50 ms\tp90 ms\tp99 ms\tmax ms\t")
	for _, name := range sortedKeys(r.Load.Classes) {
		c := r.Load.Classes[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t\n", name,
			c.Asked, c.Served, c.InAim, c.Refused, c.Failed, c.P50MS, c.P90MS, c.P99MS, c.MaxMS)
	}
	t.Flush()
	if n := len(r.Load.Tenants); n > 0 {
		fmt.Fprintf(t, "\ntenant\tworth asked\tservice\t\n")
		for i, name := range sortedKeys(r.Load.Tenants) {
			if i == 20 {
				fmt.Fprintf(t, "and %d more\t\t\t\n", n-i)
				break
			}
			s := r.Load.Tenants[name]
			fmt.Fprintf(t, "%s\t%.0f\t%.3f\t\n", name, s.Worth, s.Gained/s.Worth)
		}
		t.Flush()
	}
	if len(r.Load.Tenants) > 1 {
		fmt.Fprintf(w, "\nJain's index of what the tenants gained after the warm-up: %.4f\n", r.Load.JainIndex())
	}
	if len(r.Admission) > 0 {
		fmt.Fprintln(t, "\nrouter\tlimit\twaiting\ttakes ms\tcame when told\tlet in\tshare free\tlet in"+
			"\ttold and real apart, p50 %\tp90 %\t")
		for _, name := range sortedKeys(r.Admission) {
			d := r.Admission[name]
			fmt.Fprintf(t, "%s\t%.0f\t%d\t%.0f\t%d\t%.3f\t%d\t%.3f\t%.0f\t%.0f\t\n",
				name, d.Limit, d.Waiting, d.LatencyMillis, d.Returned,
				float64(d.ReturnedAdmitted)/float64(max(1, d.Returned)),
				d.ReturnedWithinShare, float64(d.AdmittedWithinShare)/float64(max(1, d.ReturnedWithinShare)),
				100*d.RetryAfterErrorP50, 100*d.RetryAfterErrorP90)
		}
		t.Flush()
	}
	if len(r.Servers) > 0 {
		fmt.Fprintln(t, "\nserver\tkind\tzone\tserved\tmissed\tturned away\tfailed\tconnections\tprobes\t")
		for _, s := range r.Servers {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
				s.ID, s.Kind, s.Zone, s.Served, s.Missed, s.Turned, s.Failed, s.Conns, s.Probes)
		}
		t.Flush()
	}
	if peaks := peakUsage(r); len(peaks) > 0 {
		fmt.Fprintln(t, "\nrouter\tpeak MB\tpeak descriptors\tCPU ms\t")
		for _, name := range sortedKeys(peaks) {
			fmt.Fprintf(t, "%s\t%.1f\t%d\t%.0f\t\n", name, peaks[name].RSSMB, peaks[name].FDs, peaks[name].CPUMS)
		}
		t.Flush()
	}
	fmt.Fprintf(w, "\n%d probes at cache servers\n", r.Probes)
	fmt.Fprintf(w, "\nservice %.3f (worth answered within its aim over worth asked for), in the last fifth %.3f;"+
		" %.2f attempts a request; %d tries; %d calls to discovery\n",
		r.Service, r.TailService, r.AttemptsPerRequest, r.Load.Tries, r.DiscoveryCalls)
	if hints := r.TimeoutHints; hints.First+hints.Further > 0 {
		fmt.Fprintf(w, "attempts whose timeout hint exceeded the client's remaining time by over 150 ms:"+
			" %d of %d first ones, %d of %d further ones\n",
			hints.FirstOverstated, hints.First, hints.FurtherOverstated, hints.Further)
	}
	if r.LateMS > 100 {
		fmt.Fprintf(w, "the machine was late by up to %.0f ms: the figures are unreliable\n", r.LateMS)
	}
	if r.MisbehavingClients[1] > 0 {
		fmt.Fprintf(w, "misbehaving clients that got an error or were disconnected: %d of %d\n",
			r.MisbehavingClients[0], r.MisbehavingClients[1])
	}
	if r.Interrupted {
		fmt.Fprintln(w, "stopped before its end")
	}
	for i, b := range r.Breaches {
		if i == 10 {
			fmt.Fprintf(w, "  and %d more\n", len(r.Breaches)-i)
			break
		}
		fmt.Fprintf(w, "broken: %s\n", b)
	}
	for _, f := range r.Failures {
		fmt.Fprintf(w, "does not hold: %s\n", f)
	}
	if len(r.Failures) == 0 {
		fmt.Fprintln(w, "all rules kept, all expectations hold")
	}
}

// peakUsage returns the peak usage of each router by name.
func peakUsage(r fleet.Result) map[string]fleet.Usage {
	all := map[string]fleet.Usage{}
	for _, s := range r.Samples {
		for name, u := range s.Routers {
			p := all[name]
			all[name] = fleet.Usage{RSSMB: max(p.RSSMB, u.RSSMB), FDs: max(p.FDs, u.FDs), CPUMS: max(p.CPUMS, u.CPUMS)}
		}
	}
	return all
}

func sortedKeys[V any](m map[string]V) []string {
	var names []string
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
