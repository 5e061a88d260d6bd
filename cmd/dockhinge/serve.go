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
	"sync/atomic"
	"syscall"
	"time"

	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/internal/handover"
	"dockhinge.example/dockhinge/internal/healthcheck"
	"dockhinge.example/dockhinge/internal/logging"
	"dockhinge.example/dockhinge/internal/metrics"
	"dockhinge.example/dockhinge/internal/operator"
	"dockhinge.example/dockhinge/internal/router"
	"dockhinge.example/dockhinge/internal/trace"
)

// options are the flags of serve.
type options struct{ config, operator string }

// serve is the router's life, until a signal ends it.
func serve(hup <-chan os.Signal, o options) error {
	extra := operator.Default()
	if o.operator != "" {
		var err error
		if extra, err = operator.Load(o.operator); err != nil {
			return err
		}
	}
	slog.SetDefault(logging.New(os.Stderr, logging.Options{Level: extra.Log.Level, JSON: extra.Log.Format == "json",
		RepeatInterval: extra.Log.RepeatInterval(), RepeatBurst: extra.Log.RepeatBurst}))
	path := cmp.Or(o.config, os.Getenv("GW_CONFIG"))
	if path == "" {
		return fmt.Errorf("GW_CONFIG: not set")
	}
	cfg, err := load(path, extra)
	if err != nil {
		return err
	}
	if extra.Log.Trace {
		cfg.Trace = trace.New(os.Stderr)
	}
	runtime.GOMAXPROCS(1) // the router has one core, which it may share
	share := func(processes int) { debug.SetMemoryLimit(cfg.Limits.MemoryMB << 20 * 6 / 10 / int64(processes)) }
	share(1)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	alive, end := context.WithCancel(context.Background()) // the second address answers as long as the router works
	defer end()
	m := metrics.New()
	front := &front{metrics: m}
	if cfg.AdminAddr != "" {
		second, err := net.Listen("tcp", cfg.AdminAddr)
		if err != nil {
			return fmt.Errorf("admin_addr: %w", err)
		}
		wg.Go(func() { admin.Serve(alive, second, front) })
	}

	// The process that serves already hands its socket over; where there is none, or it does not, the address is bound.
	dir := os.TempDir()
	share(2) // until it is known that there is no other process
	link, ln, state, err := handover.Join(ctx, dir, cfg.Listen)
	if err != nil {
		slog.Info("starting alone", "error", err)
		if ln, err = bind(ctx, cfg.Listen); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
	}
	share(1)
	r, err := router.New(cfg, ln, m)
	if err != nil {
		return err
	}
	r.OnProcessCount(share)
	if link != nil {
		if err := r.Inherit(state, link); err != nil {
			slog.Warn("handover", "error", err)
		}
	}
	front.router.Store(r)
	wg.Go(func() {
		if err := handover.Serve(alive, dir, cfg.Listen, ln.(*net.TCPListener), r); err != nil {
			slog.Warn("no process can take over from this one", "error", err)
		}
	})
	updates := make(chan *router.Config)
	wg.Go(func() { reload(alive, path, o.operator, hup, updates, m) })
	return r.Run(ctx, updates)
}

// bindTime is how long an address may be held by a process that shares it with nobody, as one of an older version
// does until it has ended.
const bindTime = 20 * time.Second

// bind listens at addr, waiting for a process that holds it.
func bind(ctx context.Context, addr string) (ln net.Listener, err error) {
	for began := time.Now(); ; {
		if ln, err = handover.Listen(ctx, addr); !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) > bindTime {
			return ln, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// front answers the second address from the start on: until the router is there, it is not ready.
type front struct {
	metrics *metrics.Router
	router  atomic.Pointer[router.Router]
}

func (f *front) Ready() bool {
	r := f.router.Load()
	return r != nil && r.Ready()
}

func (f *front) Metrics() ([]byte, error) {
	if r := f.router.Load(); r != nil {
		return r.Metrics()
	}
	return f.metrics.JSON(nil)
}

func (f *front) SetDisabled(ctx context.Context, id string, disabled bool) error {
	if r := f.router.Load(); r != nil {
		return r.SetDisabled(ctx, id, disabled)
	}
	return errors.New("not ready")
}

func (f *front) AdmissionState(ctx context.Context) ([]byte, error) {
	if r := f.router.Load(); r != nil {
		return r.AdmissionState(ctx)
	}
	return nil, errors.New("not ready")
}

// load reads the configuration at path, with what an operator file adds.
func load(path string, extra operator.File) (*router.Config, error) {
	cfg, err := router.LoadConfig(path, os.Getenv)
	if err != nil {
		return cfg, err
	}
	if a := extra.Agreement; len(a.Coordinators) > 0 {
		cfg.Agreement = &router.Agreement{Coordinators: healthcheck.Coordinators(a.Coordinators), TTL: operator.Duration(a.TTL), Probes: a.Probes,
			ProbeEvery: operator.Duration(a.ProbeEvery), ProbeStale: operator.Duration(a.ProbeStale), Drains: a.Drains, Label: cmp.Or(a.Label, revision())}
	}
	if !extra.Admission.Enabled {
		return cfg, nil
	}
	rules, who, err := extra.Admission.Config()
	cfg.Admission = &router.AdmissionConfig{Rules: rules, Tenants: who}
	return cfg, err
}

// reload hands on the configuration at path, and what the operator file adds, as they are at each SIGHUP, until ctx ends.
// A bad one is logged and changes nothing; nor does the other then.
func reload(ctx context.Context, path, more string, hup <-chan os.Signal, updates chan<- *router.Config, m *metrics.Router) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		extra, err := operator.Default(), error(nil)
		if more != "" {
			extra, err = operator.Load(more)
		}
		var cfg *router.Config
		if err == nil {
			cfg, err = load(path, extra)
		}
		if err != nil {
			m.ReloadFailures.Add(1)
			slog.Warn("SIGHUP: the configuration is kept", "error", err)
			continue
		}
		select {
		case updates <- cfg:
		case <-ctx.Done():
			return
		}
	}
}
