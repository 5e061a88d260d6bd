package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/lab/largefleet"
)

// largeFleetOptions are the flags of the large-fleet command.
type largeFleetOptions struct {
	commonFlags
	largefleet.Params

	change, event  string
	seeds          int
	first          uint64
	concurrentRuns int
	shortest       int
	longest        int
}

func largeFleetCommand() *cobra.Command {
	var o largeFleetOptions
	cmd := &cobra.Command{
		Use:   "large-fleet",
		Short: "Play a router before thousands of cache servers whose list changes",
		Args:  cobra.NoArgs,
		Long: "Plays one real router, on a processor that it shares with busy loops, before stand-ins for up to\n" +
			"thousands of cache servers, and changes their list. With --seeds, each run is drawn from a seed.",
		RunE: func(cmd *cobra.Command, _ []string) error { return playLargeFleets(cmd.Context(), o) },
	}
	f := cmd.Flags()
	f.StringVar(&o.router, "router", "", "command that starts one router")
	f.StringVar(&o.logs, "logs", "logs/large-fleet", "keep the logs of runs that fail in this directory")
	f.IntVar(&o.seeds, "seeds", 0, "number of seeds to draw runs from; 0 = one run as the other flags say")
	f.Uint64Var(&o.first, "first", 1, "the first seed")
	f.IntVar(&o.concurrentRuns, "side", 1, "runs at a time, each with a processor of its own")
	f.IntVar(&o.shortest, "min-servers", largefleet.MinServers, "with --seeds: the fewest servers")
	f.IntVar(&o.longest, "max-servers", largefleet.MaxServers, "with --seeds: the most servers")
	f.IntVar(&o.Servers, "servers", largefleet.MaxServers, "number of cache servers")
	f.IntVar(&o.BusyLoops, "busy", 3, "busy loops that share the router's processor; 0 = it has the whole machine")
	f.StringVar(&o.change, "change", string(largefleet.ReplaceAtOnce), "how the list changes: "+
		joinNames(largefleet.ListChanges))
	f.StringVar(&o.event, "event", string(largefleet.NoEvent), "what happens to the process: "+
		joinNames(largefleet.ProcessEvents))
	f.DurationVar(&o.Duration, "time", 13*time.Second, "how long requests are sent")
	f.DurationVar(&o.Outage, "outage", 0, "how long discovery is down before it tells the change")
	f.DurationVar(&o.Wait, "wait", 300*time.Millisecond, "how long a client waits")
	f.Float64Var(&o.PerSecond, "rate", 100, "requests a second")
	f.Float64Var(&o.LeaveShare, "leave", 0, "share of the clients that leave within 0.1 s")
	f.Float64Var(&o.HangShare, "hang", 0, "share of the servers that never answer")
	f.BoolVar(&o.SilencesWatches, "silent", false, "watches that are open when the list begins to change stay silent")
	f.BoolVar(&o.IsAgent, "agent", false, "discovery is an agent")
	f.IntVar(&o.MemoryMB, "memory", 192, "memory of the router, MB")
	f.IntVar(&o.Sockets, "sockets", 1024, "descriptors of the router")
	return cmd
}

// joinNames returns names with commas.
func joinNames[T ~string](names []T) string {
	texts := make([]string, 0, len(names))
	for _, name := range names {
		texts = append(texts, string(name))
	}
	return strings.Join(texts, ", ")
}

// playLargeFleets plays one run, or one for each seed. It returns errExpectationFailed if a rule was broken.
func playLargeFleets(ctx context.Context, o largeFleetOptions) error {
	command, err := routerCommandLine(ctx, o.router)
	if err != nil {
		return err
	}
	runs := make(chan largefleet.Params)
	var mu sync.Mutex
	failures := 0
	var playErrors []error
	var playing sync.WaitGroup
	for slot := range max(1, o.concurrentRuns) {
		playing.Go(func() {
			for params := range runs {
				params.Command = command
				params.Slot = slot
				result, err := playLargeFleet(ctx, o.logs, params)
				mu.Lock()
				if err != nil {
					playErrors = append(playErrors, fmt.Errorf("seed %d: %w", params.Seed, err))
				}
				if len(result.Breaches) > 0 {
					failures++
				}
				mu.Unlock()
			}
		})
	}
	for _, params := range o.draw() {
		runs <- params
	}
	close(runs)
	playing.Wait()
	if failures > 0 {
		playErrors = append(playErrors, errExpectationFailed)
	}
	return errors.Join(playErrors...)
}

// draw returns the runs to play.
func (o largeFleetOptions) draw() (runs []largefleet.Params) {
	if o.seeds == 0 {
		params := o.Params
		params.Seed = o.first
		params.Change = largefleet.ListChange(o.change)
		params.Event = largefleet.ProcessEvent(o.event)
		return []largefleet.Params{params}
	}
	for i := range uint64(o.seeds) {
		runs = append(runs, largefleet.Draw(o.first+i, o.shortest, o.longest))
	}
	return runs
}

// playLargeFleet plays and prints one run. The logs of a run that keeps the rules are removed.
func playLargeFleet(ctx context.Context, logs string, params largefleet.Params) (largefleet.Result, error) {
	dir := filepath.Join(logs, fmt.Sprintf("seed-%d-%d", params.Seed, os.Getpid()))
	result, err := largefleet.Play(ctx, params, dir)
	text := fmt.Sprintf("%s: %s\n", params, result)
	if len(result.Breaches) > 0 {
		text += result.Summary() + "\nlogs: " + dir + "\n"
	}
	fmt.Print(text)
	if err == nil && len(result.Breaches) == 0 {
		os.RemoveAll(dir)
	}
	return result, err
}
