package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/internal/handover"
	"dockhinge.example/dockhinge/internal/logging"
	"dockhinge.example/dockhinge/internal/metrics"
	"dockhinge.example/dockhinge/internal/operator"
	"dockhinge.example/dockhinge/internal/router"
	"dockhinge.example/dockhinge/internal/trace"
)

// configVariable is the environment variable with the path of the platform's configuration.
const configVariable = "GW_CONFIG"

// Share of a router's memory that the Go heap may use, in tenths. The rest is for stacks, socket
// buffers and memory that the kernel attributes to the process.
const (
	heapTenths  = 6
	wholeTenths = 10
)

// megabyteShift converts megabytes to bytes.
const megabyteShift = 20

// serve runs the router until a signal ends it.
//
// On SIGTERM the router's Run answers the requests in flight and returns. Then the admin address,
// the hand-over socket and the reloads are stopped, and serve returns after they have ended.
func serve(hup <-chan os.Signal, files configFiles) error {
	operatorFile, err := files.loadOperator()
	if err != nil {
		return err
	}
	slog.SetDefault(newLogger(operatorFile.Log))
	files.router = cmp.Or(files.router, os.Getenv(configVariable))
	if files.router == "" {
		return fmt.Errorf("%s: not set", configVariable)
	}
	cfg, err := files.loadRouter(operatorFile)
	if err != nil {
		return err
	}
	if operatorFile.Log.Trace {
		cfg.Trace = trace.New(os.Stderr)
	}
	runtime.GOMAXPROCS(1) // the router has one core, which it may have to share
	setMemoryLimit(cfg, 1)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var background sync.WaitGroup
	defer background.Wait()
	// The admin address and the hand-over socket stay available after the signal, while the router
	// drains.
	serviceCtx, stopServices := context.WithCancel(context.Background())
	defer stopServices()

	routerMetrics := metrics.New()
	adminRouter := &adminRouter{metrics: routerMetrics}
	if cfg.AdminAddr != "" {
		ln, err := net.Listen("tcp", cfg.AdminAddr)
		if err != nil {
			return fmt.Errorf("admin_addr: %w", err)
		}
		background.Go(func() { admin.Serve(serviceCtx, ln, adminRouter) })
	}
	r, ln, err := createRouter(ctx, cfg, routerMetrics)
	if err != nil {
		return err
	}
	adminRouter.router.Store(r)
	background.Go(func() {
		if err := handover.Serve(serviceCtx, os.TempDir(), cfg.Listen, ln.(*net.TCPListener), r); err != nil {
			slog.Warn("serving the hand-over socket failed; no process can take over from this one", "error", err)
		}
	})
	updates := make(chan *router.Config)
	background.Go(func() { files.reload(serviceCtx, hup, updates, routerMetrics) })
	return r.Run(ctx, updates)
}

// newLogger returns the logger that the operator file configures.
func newLogger(l operator.Log) *slog.Logger {
	return logging.New(os.Stderr, logging.Options{
		Level:          l.Level,
		JSON:           l.Format == "json",
		RepeatInterval: l.RepeatInterval(),
		RepeatBurst:    l.RepeatBurst,
	})
}

// setMemoryLimit sets the memory limit of this process to its part of the router's memory, given
// the number of processes that the router consists of.
func setMemoryLimit(cfg *router.Config, processes int) {
	debug.SetMemoryLimit(cfg.Limits.MemoryMB << megabyteShift * heapTenths / wholeTenths / int64(processes))
}

// createRouter creates the router with a listening socket. A process that already serves the
// address hands over its socket and its state; without such a process, or if the hand-over fails,
// createRouter binds the address.
func createRouter(
	ctx context.Context, cfg *router.Config, routerMetrics *metrics.Router,
) (*router.Router, net.Listener, error) {
	setMemoryLimit(cfg, 2) // until it is known whether there is another process
	link, ln, state, err := handover.Join(ctx, os.TempDir(), cfg.Listen)
	if err != nil {
		slog.Info("starting without a hand-over", "error", err)
		ln, err = bind(ctx, cfg.Listen)
		if err != nil {
			return nil, nil, fmt.Errorf("listen: %w", err)
		}
	}
	setMemoryLimit(cfg, 1)
	r, err := router.New(cfg, ln, routerMetrics)
	if err != nil {
		return nil, nil, err
	}
	r.OnProcessCount(func(processes int) { setMemoryLimit(cfg, processes) })
	if link != nil {
		if err := r.Inherit(state, link); err != nil {
			slog.Warn("restoring the state of the other process failed", "error", err)
		}
	}
	return r, ln, nil
}

const (
	// bindTimeout bounds the wait for an address held by a process that does not share it, such as
	// one of an older version, which keeps it until it ends.
	bindTimeout = 20 * time.Second
	// bindInterval is the time between two attempts to bind it.
	bindInterval = 50 * time.Millisecond
)

// bind listens at addr. While another process holds the address, it retries.
func bind(ctx context.Context, addr string) (net.Listener, error) {
	startedAt := time.Now()
	for {
		ln, err := handover.Listen(ctx, addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(startedAt) > bindTimeout {
			return ln, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(bindInterval):
		}
	}
}
