package main

import (
	"context"
	"errors"
	"sync/atomic"

	"dockhinge.example/dockhinge/internal/metrics"
	"dockhinge.example/dockhinge/internal/router"
)

// errNotReady reports that the router has not been built yet.
var errNotReady = errors.New("not ready")

// adminRouter is the admin.Router of the process. It answers calls from startup on; before the
// router has been built, it is not ready.
type adminRouter struct {
	metrics *metrics.Router
	router  atomic.Pointer[router.Router]
}

func (a *adminRouter) Ready() bool {
	r := a.router.Load()
	return r != nil && r.Ready()
}

func (a *adminRouter) Metrics() ([]byte, error) {
	if r := a.router.Load(); r != nil {
		return r.Metrics()
	}
	return a.metrics.JSON(nil)
}

func (a *adminRouter) SetDisabled(ctx context.Context, id string, disabled bool) error {
	if r := a.router.Load(); r != nil {
		return r.SetDisabled(ctx, id, disabled)
	}
	return errNotReady
}

func (a *adminRouter) AdmissionState(ctx context.Context) ([]byte, error) {
	if r := a.router.Load(); r != nil {
		return r.AdmissionState(ctx)
	}
	return nil, errNotReady
}
