package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"dockhinge.example/dockhinge/internal/coord/config"
	"dockhinge.example/dockhinge/internal/coord/node"
	"dockhinge.example/dockhinge/internal/logging"
)

const (
	// maxDataBytes bounds a coordinator's memory; it uses a small part of it.
	maxDataBytes = 1 << 30
	// gcPercent makes a smaller process. A limit on memory instead would have it collect all the
	// time with many clients.
	gcPercent = 50
	// logRepeatInterval and logRepeatBurst bound how often the same log line is repeated.
	logRepeatInterval = 10 * time.Second
	logRepeatBurst    = 20
)

// startLogging makes the process's logger, to the standard error.
func startLogging(level string, isJSON bool) *slog.Logger {
	log := logging.New(os.Stderr, logging.Options{
		Level:          level,
		JSON:           isJSON,
		RepeatInterval: logRepeatInterval,
		RepeatBurst:    logRepeatBurst,
	})
	slog.SetDefault(log)
	return log
}

func newServeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "serve FILE",
		Short: "Run a coordinator until SIGTERM",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := config.LoadCoordinator(args[0])
			if err != nil {
				return err
			}
			if err := limitProcess(); err != nil {
				return err
			}
			return serve(cmd.Context(), file, startLogging(file.LogLevel, file.LogJSON))
		},
	}
}

// limitProcess bounds the process's memory, and has a full disk return an error from the write.
func limitProcess() error {
	signal.Ignore(syscall.SIGXFSZ)
	debug.SetGCPercent(gcPercent)
	// A damaged page that leads back to itself has the log's library allocate without end: the
	// bound ends this process and not the machine.
	limit := &unix.Rlimit{Cur: maxDataBytes, Max: maxDataBytes}
	if err := unix.Setrlimit(unix.RLIMIT_DATA, limit); err != nil {
		return fmt.Errorf("bounding the memory: %w", err)
	}
	return nil
}

// serve runs a coordinator until ctx ends.
func serve(ctx context.Context, file config.Coordinator, log *slog.Logger) error {
	if err := node.MakeDirectory(file.Dir); err != nil {
		return err
	}
	clients, err := net.Listen("tcp", file.API)
	if err != nil {
		return fmt.Errorf("api: %w", err)
	}
	var metrics net.Listener
	if file.MetricsAddress != "" {
		metrics, err = net.Listen("tcp", file.MetricsAddress)
		if err != nil {
			return errors.Join(fmt.Errorf("figures: %w", err), clients.Close())
		}
		defer metrics.Close()
	}
	coordinator, err := node.Start(nodeOptions(file, log))
	if err != nil {
		return errors.Join(err, clients.Close())
	}
	identity := coordinator.Status().Identity
	log.Info("serving", "name", file.Name, "identity", identity, "listen", file.Listen, "api", file.API)

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	if metrics != nil {
		wg.Go(func() {
			if err := node.Serve(ctx, metrics, coordinator.MetricsHandler()); err != nil {
				log.Error("metrics can't be served", "error", err)
			}
		})
	}
	err = node.Serve(ctx, clients, coordinator.Handler())
	cancel()
	wg.Wait()
	return errors.Join(err, coordinator.Close())
}

func nodeOptions(file config.Coordinator, log *slog.Logger) node.Options {
	return node.Options{
		Name:             file.Name,
		Directory:        file.Dir,
		ListenAddress:    file.Listen,
		ClientAddress:    file.API,
		PeerAddresses:    file.Peers,
		ClockRateBound:   file.ClockRate,
		SnapshotEntries:  file.SnapshotEvery,
		HeartbeatTimeout: file.HeartbeatTimeout(),
		Log:              log,
		OnFatal: func(err error) {
			fmt.Fprintln(os.Stderr, "dockhinge-coord: it can't go on:", err)
			os.Exit(exitFatal)
		},
	}
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a coordinator's file",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := config.LoadCoordinator(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		},
	}
}

func newRecoverCommand() *cobra.Command {
	var isConfirmed bool
	cmd := &cobra.Command{
		Use: "recover FILE",
		Short: "DANGEROUS: make a coordinator's directory a group of its own, " +
			"after a majority was lost for good",
		Long: "For the day on which a majority of the coordinators is lost for good. What the lost " +
			"ones had agreed on and this one had\n" +
			"not heard of is gone. All tokens are raised. Before it: end every coordinator that " +
			"is left, take the directory whose\n" +
			"log reaches furthest ('last' in status), and wait until the longest time to live has " +
			"passed, as holders that this\n" +
			"one doesn't know of may still act.",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if !isConfirmed {
				return errNotConfirmed
			}
			file, err := config.LoadCoordinator(args[0])
			if err != nil {
				return err
			}
			return node.Recover(nodeOptions(file, slog.Default()))
		},
	}
	cmd.Flags().BoolVar(&isConfirmed, "i-have-waited", false,
		"all other coordinators are ended, and the longest time to live has passed since")
	return cmd
}
