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
	// maxDataBytes limits a coordinator's memory. Normally a coordinator uses a small part of it.
	maxDataBytes = 1 << 30
	// gcPercent keeps the process small. With a soft memory limit instead, the garbage collector
	// would run all the time when there are many clients.
	gcPercent = 50
	// logRepeatInterval and logRepeatBurst limit how often the same log line is repeated.
	logRepeatInterval = 10 * time.Second
	logRepeatBurst    = 20
)

// startLogging creates the process's logger, which writes to standard error, and makes it the
// default logger.
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

// limitProcess limits the process's memory. It also ignores SIGXFSZ, so that a write beyond the
// file size limit returns an error, as a full disk does, instead of killing the process.
func limitProcess() error {
	signal.Ignore(syscall.SIGXFSZ)
	debug.SetGCPercent(gcPercent)
	// A damaged page that refers to itself makes the log's library allocate without end. The limit
	// ends this process before the whole machine runs out of memory.
	limit := &unix.Rlimit{Cur: maxDataBytes, Max: maxDataBytes}
	if err := unix.Setrlimit(unix.RLIMIT_DATA, limit); err != nil {
		return fmt.Errorf("limiting the memory: %w", err)
	}
	return nil
}

// serve runs a coordinator until ctx ends.
func serve(ctx context.Context, file config.Coordinator, log *slog.Logger) error {
	if err := node.MakeDirectory(file.Dir); err != nil {
		return err
	}
	clientListener, err := net.Listen("tcp", file.API)
	if err != nil {
		return fmt.Errorf("api: %w", err)
	}
	var metricsListener net.Listener
	if file.MetricsAddress != "" {
		metricsListener, err = net.Listen("tcp", file.MetricsAddress)
		if err != nil {
			return errors.Join(fmt.Errorf("figures: %w", err), clientListener.Close())
		}
		defer metricsListener.Close()
	}
	coordinator, err := node.Start(nodeOptions(file, log))
	if err != nil {
		return errors.Join(err, clientListener.Close())
	}
	identity := coordinator.Status().Identity
	log.Info("serving", "name", file.Name, "identity", identity, "listen", file.Listen, "api", file.API)

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	if metricsListener != nil {
		wg.Go(func() {
			if err := node.Serve(ctx, metricsListener, coordinator.MetricsHandler()); err != nil {
				log.Error("failed to serve metrics", "error", err)
			}
		})
	}
	err = node.Serve(ctx, clientListener, coordinator.Handler())
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
			fmt.Fprintln(os.Stderr, "dockhinge-coord: fatal:", err)
			os.Exit(exitFatal)
		},
	}
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a coordinator's configuration file",
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
		Short: "DANGEROUS: form a new group from one coordinator's directory, " +
			"after a majority was lost permanently",
		Long: "For use after a majority of the coordinators has been lost permanently. Decisions of " +
			"the lost coordinators that this\n" +
			"one had not received are lost. All tokens are raised. Before you run it, stop every " +
			"remaining coordinator, choose the\n" +
			"directory with the longest log ('last' in status), and wait until the longest time to " +
			"live has passed, because lease\n" +
			"holders that this coordinator does not have on record may still act.",
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
		"confirms that all other coordinators have ended and that the longest time to live has passed since")
	return cmd
}
