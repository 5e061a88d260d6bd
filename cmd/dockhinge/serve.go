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

// configVariable names the platform's configuration in the environment.
const configVariable = "GW_CONFIG"

// Share of a router's memory that the Go heap may take, in tenths. The rest is for stacks, socket
// buffers and what the kernel counts.
const (
	heapTenths  = 6
	wholeTenths = 10
)

// megabyteShift turns megabytes into bytes.
const megabyteShift = 20

// serve is the router's life, until a signal ends it.
//
// On SIGTERM the router's Run answers the requests that it has and returns. Then the admin address,
// the hand-over socket and the reloads end, and serve returns once they have.
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
	runtime.GOMAXPROCS(1) // the router has one core, which it may share
	setMemoryLimit(cfg, 1)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var background sync.WaitGroup
	defer background.Wait()
	// The admin address and the hand-over socket outlive the signal: they answer while the router
	// drains.
	alive, end := context.WithCancel(context.Background())
	defer end()

	figures := metrics.New()
	adminRouter := &adminRouter{metrics: figures}
	if cfg.AdminAddr != "" {
		ln, err := net.Listen("tcp", cfg.AdminAddr)
		if err != nil {
			return fmt.Errorf("admin_addr: %w", err)
		}
		background.Go(func() { admin.Serve(alive, ln, adminRouter) })
	}
	r, ln, err := start(ctx, cfg, figures)
	if err != nil {
		return err
	}
	adminRouter.router.Store(r)
	background.Go(func() {
		if err := handover.Serve(alive, os.TempDir(), cfg.Listen, ln.(*net.TCPListener), r); err != nil {
			slog.Warn("no process can take over from this one", "error", err)
		}
	})
	updates := make(chan *router.Config)
	background.Go(func() { files.reload(alive, hup, updates, figures) })
	return r.Run(ctx, updates)
}

// newLogger is the logger that the operator file asks for.
func newLogger(l operator.Log) *slog.Logger {
	return logging.New(os.Stderr, logging.Options{
		Level:          l.Level,
		JSON:           l.Format == "json",
		RepeatInterval: l.RepeatInterval(),
		RepeatBurst:    l.RepeatBurst,
	})
}

// setMemoryLimit leaves this process its part of the router's memory, while so many processes are the
// router.
func setMemoryLimit(cfg *router.Config, processes int) {
	debug.SetMemoryLimit(cfg.Limits.MemoryMB << megabyteShift * heapTenths / wholeTenths / int64(processes))
}

// start builds the router on a listening socket. The process that serves the address already hands
// over its socket and its state; where there is none, or it does not, the address is bound.
func start(ctx context.Context, cfg *router.Config, figures *metrics.Router) (*router.Router, net.Listener, error) {
	setMemoryLimit(cfg, 2) // until it is known that there is no other process
	link, ln, state, err := handover.Join(ctx, os.TempDir(), cfg.Listen)
	if err != nil {
		slog.Info("starting alone", "error", err)
		ln, err = bind(ctx, cfg.Listen)
		if err != nil {
			return nil, nil, fmt.Errorf("listen: %w", err)
		}
	}
	setMemoryLimit(cfg, 1)
	r, err := router.New(cfg, ln, figures)
	if err != nil {
		return nil, nil, err
	}
	r.OnProcessCount(func(processes int) { setMemoryLimit(cfg, processes) })
	if link != nil {
		if err := r.Inherit(state, link); err != nil {
			slog.Warn("handover", "error", err)
		}
	}
	return r, ln, nil
}

const (
	// bindTimeout is how long an address may be held by a process that shares it with no other, as
	// one of an older version does until it has ended.
	bindTimeout = 20 * time.Second
	// bindInterval is the time between two attempts to bind it.
	bindInterval = 50 * time.Millisecond
)

// bind listens at addr, and waits for a process that holds it.
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
