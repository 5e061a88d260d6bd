package main

import (
	"cmp"
	"context"
	"log/slog"
	"os"

	"dockhinge.example/dockhinge/internal/metrics"
	"dockhinge.example/dockhinge/internal/operator"
	"dockhinge.example/dockhinge/internal/router"
)

// configFiles are the paths of the files that configure a router.
type configFiles struct {
	// router is the path of the platform's configuration.
	router string
	// operator is the path of the operator file; "" = none.
	operator string
}

// loadOperator reads the operator file, or returns the defaults if there is none.
func (f configFiles) loadOperator() (operator.File, error) {
	if f.operator == "" {
		return operator.Default(), nil
	}
	return operator.Load(f.operator)
}

// loadRouter reads the platform's configuration, and adds the settings of the operator file.
func (f configFiles) loadRouter(file operator.File) (*router.Config, error) {
	cfg, err := router.LoadConfig(f.router, os.Getenv)
	if err != nil {
		return cfg, err
	}
	if a := file.Agreement; len(a.Coordinators) > 0 {
		cfg.Coordination = &router.CoordinationConfig{
			Coordinators:        a.CoordinatorAddrs(),
			SessionTTL:          operator.Duration(a.TTL),
			SharesHealthChecks:  a.Probes,
			HealthCheckInterval: operator.Duration(a.ProbeEvery),
			MaxHealthReportAge:  operator.Duration(a.ProbeStale),
			FollowsDrains:       a.Drains,
			VersionLabel:        cmp.Or(a.Label, revision()),
		}
	}
	if !file.Admission.Enabled {
		return cfg, nil
	}
	rules, tenants, err := file.Admission.Config()
	cfg.Admission = &router.AdmissionConfig{Rules: rules, Tenants: tenants}
	return cfg, err
}

// load reads both files.
func (f configFiles) load() (*router.Config, error) {
	file, err := f.loadOperator()
	if err != nil {
		return nil, err
	}
	return f.loadRouter(file)
}

// reload reads the files at each SIGHUP and sends the configuration to updates, until ctx ends. If
// either file has a mistake, neither is applied: the router keeps its configuration, and the
// mistake is logged and counted.
func (f configFiles) reload(
	ctx context.Context, hup <-chan os.Signal, updates chan<- *router.Config, m *metrics.Router,
) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		cfg, err := f.load()
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
