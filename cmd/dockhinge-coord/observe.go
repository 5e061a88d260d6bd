package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"dockhinge.example/dockhinge/internal/coord/config"
	"dockhinge.example/dockhinge/internal/coord/node"
	"dockhinge.example/dockhinge/internal/coord/observer"
	"dockhinge.example/dockhinge/internal/logging"
)

func observe() *cobra.Command {
	cmd := &cobra.Command{Use: "observe FILE", Short: "Run an observer, which serves the agreed configuration to routers, until SIGTERM", Args: cobra.ExactArgs(1),
		Long: "An observer follows the coordinators without a vote and serves watches to hundreds of routers. docs/observers.md tells more.",
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := config.LoadObserver(args[0])
			if err != nil {
				return err
			}
			log := logging.New(os.Stderr, logging.Options{Level: file.LogLevel, JSON: file.LogJSON, RepeatInterval: 10 * time.Second, RepeatBurst: 20})
			slog.SetDefault(log)
			listener, err := net.Listen("tcp", file.API)
			if err != nil {
				return fmt.Errorf("api: %w", err)
			}
			return runObserver(cmd.Context(), file, listener, log)
		}}
	return cmd
}

// runObserver runs an observer until ctx ends.
func runObserver(ctx context.Context, file config.Observer, listener net.Listener, log *slog.Logger) error {
	o := observer.New(observer.Options{Name: file.Name, Coordinators: file.Coordinators, MaxWatchers: file.MaxWatchers,
		JoinsPerSecond: file.JoinsPerSecond, WatcherBytes: file.WatcherBytes, Log: log})
	log.Info("observing", "name", file.Name, "api", file.API)
	ctx, end := context.WithCancel(ctx)
	defer end()
	var wg sync.WaitGroup
	wg.Go(func() { o.Run(ctx) })
	err := node.Serve(ctx, listener, o.Handler())
	end()
	wg.Wait()
	return err
}
