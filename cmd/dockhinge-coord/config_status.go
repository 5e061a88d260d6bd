package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
)

// observerStatus is the status of one observer, or the error of the call.
type observerStatus struct {
	// Status is the observer's answer.
	Status protocol.Status `json:"status"`
	// Error is why the observer did not answer; "" if it did.
	Error string `json:"error,omitempty"`
}

// configTotals are the totals over all observers.
type configTotals struct {
	// Revision is the newest revision that any observer has.
	Revision uint64 `json:"revision"`
	// Watchers is how many watchers the observers that answered have.
	Watchers int `json:"watchers"`
	// Acknowledged is how many of the watchers have applied Revision.
	Acknowledged int `json:"acknowledged"`
	// Silent is how many observers did not answer.
	Silent int `json:"silent"`
}

// sumStatuses returns the totals over all observers. The watchers of an observer that does not have
// the newest revision can't have applied it, so they don't count as acknowledged.
func sumStatuses(observers map[string]observerStatus) (totals configTotals) {
	for _, o := range observers {
		if o.Error == "" {
			totals.Revision = max(totals.Revision, o.Status.Revision)
		}
	}
	for _, o := range observers {
		if o.Error != "" {
			totals.Silent++
			continue
		}
		totals.Watchers += o.Status.Watchers
		if o.Status.Revision == totals.Revision {
			totals.Acknowledged += o.Status.Acknowledged
		}
	}
	return totals
}

// observerStatuses calls all observers concurrently, and returns their statuses by name.
func observerStatuses(ctx context.Context, addresses map[string]string) map[string]observerStatus {
	statuses := map[string]observerStatus{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for name, address := range addresses {
		wg.Go(func() {
			var status observerStatus
			err := client.Call(ctx, http.MethodGet, address, protocol.StatusPath, nil, &status.Status)
			if err != nil {
				status.Error = err.Error()
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[name] = status
		})
	}
	wg.Wait()
	return statuses
}

func newConfigStatusCommand() *cobra.Command {
	var entries []string
	var isJSON bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show which routers have applied the newest revision, as counted by the observers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			addresses, err := parseAddresses(entries)
			if err != nil {
				return err
			}
			if len(addresses) == 0 {
				return errNoObservers
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), statusTimeout)
			defer cancel()
			statuses := observerStatuses(ctx, addresses)
			if isJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(struct {
					Totals    configTotals              `json:"totals"`
					Observers map[string]observerStatus `json:"observers"`
				}{sumStatuses(statuses), statuses})
			}
			return printConfigStatus(cmd.OutOrStdout(), statuses)
		},
	}
	cmd.Flags().StringSliceVar(&entries, "observers", splitEnvironment("DOCKHINGE_OBSERVERS"),
		"NAME=HOST:PORT of each observer (or DOCKHINGE_OBSERVERS)")
	cmd.Flags().BoolVar(&isJSON, "json", false, "print all values as JSON")
	return cmd
}

// printConfigStatus prints the observers, the totals, and the routers that lag behind.
func printConfigStatus(out io.Writer, observers map[string]observerStatus) error {
	names := slices.Sorted(maps.Keys(observers))
	w := tabwriter.NewWriter(out, 4, 4, 2, ' ', 0)
	fmt.Fprintln(w, "observer\trevision\tage\tfollows\twatchers\thave it\trefused\tlies")
	for _, name := range names {
		o := observers[name]
		if o.Error != "" {
			fmt.Fprintf(w, "%s\tno answer: %s\n", name, o.Error)
			continue
		}
		s := o.Status
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\n",
			name, s.Revision, ageText(s.AgeMillis), s.Upstream, s.Watchers, s.Acknowledged,
			s.RejectedJoins, s.InvalidAcknowledgements)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	totals := sumStatuses(observers)
	fmt.Fprintf(out, "revision %d is in force at %d of %d routers that watch\n",
		totals.Revision, totals.Acknowledged, totals.Watchers)
	if totals.Silent > 0 {
		fmt.Fprintf(out, "%d observers don't answer: the status of their routers is unknown\n", totals.Silent)
	}
	printLagging(out, names, observers)
	return nil
}

// printLagging prints the routers that have not applied the newest revision, if there are any.
func printLagging(out io.Writer, names []string, observers map[string]observerStatus) {
	w := tabwriter.NewWriter(out, 4, 4, 2, ' ', 0)
	isFirst := true
	for _, name := range names {
		for _, lagging := range observers[name].Status.Lagging {
			if isFirst {
				fmt.Fprintln(w, "router\tobserver\tin force\tlags for")
				isFirst = false
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", lagging.Watcher, name, lagging.Revision, ageText(lagging.SinceMillis))
		}
	}
	_ = w.Flush() // a persistent output error was already returned for the previous table
}

// ageText formats a duration for operators; a negative one means that the observer has no state.
func ageText(millis int64) string {
	if millis < 0 {
		return "no state"
	}
	return (time.Duration(millis) * time.Millisecond).Round(100 * time.Millisecond).String()
}
