package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
)

// observerStatus is what one observer told, or why it told nothing.
type observerStatus struct {
	Status protocol.Status `json:"status"`
	Error  string          `json:"error,omitempty"`
}

// configTotals are the observers' figures added up.
type configTotals struct {
	Revision     uint64 `json:"revision"`     // the newest that any observer has
	Watchers     int    `json:"watchers"`     // of the observers that answered
	Acknowledged int    `json:"acknowledged"` // watchers that have it in force
	Silent       int    `json:"silent"`       // observers that didn't answer
}

// addUp adds observers up. The watchers of an observer that hasn't the newest revision can't have it.
func addUp(observers map[string]observerStatus) (totals configTotals) {
	for _, one := range observers {
		if one.Error == "" {
			totals.Revision = max(totals.Revision, one.Status.Revision)
		}
	}
	for _, one := range observers {
		if one.Error != "" {
			totals.Silent++
			continue
		}
		totals.Watchers += one.Status.Watchers
		if one.Status.Revision == totals.Revision {
			totals.Acknowledged += one.Status.Acknowledged
		}
	}
	return totals
}

// askObservers asks all side by side.
func askObservers(ctx context.Context, addresses map[string]string) map[string]observerStatus {
	got := map[string]observerStatus{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for name, address := range addresses {
		wg.Go(func() {
			var one observerStatus
			if err := client.Call(ctx, http.MethodGet, address, protocol.StatusPath, nil, &one.Status); err != nil {
				one.Error = err.Error()
			}
			mu.Lock()
			defer mu.Unlock()
			got[name] = one
		})
	}
	wg.Wait()
	return got
}

func configStatus() *cobra.Command {
	var observers []string
	var asJSON bool
	cmd := &cobra.Command{Use: "status", Short: "Which routers have the newest revision in force, as their observers count them", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			addresses, err := parseNames(observers)
			if err == nil && len(addresses) == 0 {
				err = errors.New("--observers: none named")
			}
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), 3*time.Second)
			defer cancel()
			got := askObservers(ctx, addresses)
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(struct {
					Totals    configTotals              `json:"totals"`
					Observers map[string]observerStatus `json:"observers"`
				}{addUp(got), got})
			}
			return printConfigStatus(cmd.OutOrStdout(), got)
		}}
	var given []string
	if env := os.Getenv("DOCKHINGE_OBSERVERS"); env != "" {
		given = strings.Split(env, ",")
	}
	cmd.Flags().StringSliceVar(&observers, "observers", given, "NAME=HOST:PORT of each (or DOCKHINGE_OBSERVERS)")
	cmd.Flags().BoolVar(&asJSON, "json", false, "all figures as JSON")
	return cmd
}

func printConfigStatus(out io.Writer, observers map[string]observerStatus) error {
	names := slices.Sorted(maps.Keys(observers))
	w := tabwriter.NewWriter(out, 4, 4, 2, ' ', 0)
	fmt.Fprintln(w, "observer\trevision\tage\tfollows\twatchers\thave it\trefused\tlies")
	for _, name := range names {
		one := observers[name]
		if one.Error != "" {
			fmt.Fprintf(w, "%s\tno answer: %s\n", name, one.Error)
			continue
		}
		s := one.Status
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\n", name, s.Revision, ageText(s.AgeMillis), s.Upstream, s.Watchers, s.Acknowledged, s.RejectedJoins, s.InvalidAcknowledgements)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	totals := addUp(observers)
	fmt.Fprintf(out, "revision %d is in force at %d of %d routers that watch\n", totals.Revision, totals.Acknowledged, totals.Watchers)
	if totals.Silent > 0 {
		fmt.Fprintf(out, "%d observers don't answer: nothing is known of their routers\n", totals.Silent)
	}
	printLagging(out, names, observers)
	return nil
}

func printLagging(out io.Writer, names []string, observers map[string]observerStatus) {
	w := tabwriter.NewWriter(out, 4, 4, 2, ' ', 0)
	isFirst := true
	for _, name := range names {
		for _, one := range observers[name].Status.Lagging {
			if isFirst {
				fmt.Fprintln(w, "router\tobserver\tin force\tlags for")
				isFirst = false
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", one.Watcher, name, one.Revision, ageText(one.SinceMillis))
		}
	}
	_ = w.Flush() // as the lines before it
}

// ageText is a span in words; one below 0 isn't known.
func ageText(millis int64) string {
	if millis < 0 {
		return "no state"
	}
	return (time.Duration(millis) * time.Millisecond).Round(100 * time.Millisecond).String()
}
