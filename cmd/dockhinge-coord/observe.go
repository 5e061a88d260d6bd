package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/internal/coord/config"
	"dockhinge.example/dockhinge/internal/coord/node"
	"dockhinge.example/dockhinge/internal/coord/observer"
)

func newObserveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "observe FILE",
		Short: "Run an observer, which serves the agreed configuration to routers, until SIGTERM",
		Long: "An observer follows the coordinators without voting and serves watches to hundreds " +
			"of routers. " +
			"See docs/observers.md.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := config.LoadObserver(args[0])
			if err != nil {
				return err
			}
			log := startLogging(file.LogLevel, file.LogJSON)
			listener, err := net.Listen("tcp", file.API)
			if err != nil {
				return fmt.Errorf("api: %w", err)
			}
			return runObserver(cmd.Context(), file, listener, log)
		},
	}
}

// runObserver runs an observer until ctx ends. Its goroutine ends before runObserver returns.
func runObserver(ctx context.Context, file config.Observer, listener net.Listener, log *slog.Logger) error {
	o := observer.New(observer.Options{
		Name:                  file.Name,
		Coordinators:          file.Coordinators,
		MaxWatchers:           file.MaxWatchers,
		JoinsPerSecond:        file.JoinsPerSecond,
		WatcherBytesPerSecond: file.WatcherBytesPerSecond,
		Log:                   log,
	})
	log.Info("observing", "name", file.Name, "api", file.API)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { o.Run(ctx) })
	err := node.Serve(ctx, listener, o.Handler())
	cancel()
	wg.Wait()
	return err
}
