package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/fakes"
	"dockhinge.example/dockhinge/lab/fleet"
	"dockhinge.example/dockhinge/lab/load"
	"dockhinge.example/dockhinge/lab/report"
	"dockhinge.example/dockhinge/lab/scenario"
)

type loadFlags struct {
	rate, seconds float64
	shape         string
	workers       int
}

// sendLoad sends load to routers that this program did not start. Only the rules that a client can
// observe are checked.
func sendLoad(ctx context.Context, addrs []string, o loadFlags) error {
	f, err := scenario.Load("calm")
	if err != nil {
		return err
	}
	clock := fakes.NewClock()
	front, journal := fakes.NewFront(clock), checker.NewJournal(1<<20)
	for _, a := range addrs {
		host, _, err := net.SplitHostPort(a)
		if err != nil {
			return fmt.Errorf("%q is not of the form host:port", a)
		}
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("%q is not a loopback address", a)
		}
		front.AddRouter(a, "", a)
	}
	f.Load.Rate, f.Load.Shape, f.Load.Workers, f.Load.Zones = o.rate, o.shape, o.workers, nil
	f.Load.Progress = func(n load.ProgressReport) {
		fmt.Printf("%6d s  asked %5d  served %5d  refused %4d  failed %4d  p50 %6.1f ms  p99 %6.1f ms  open %d\n",
			n.Second-1, n.Asked, n.Served, n.Refused, n.Failed, n.P50MS, n.P99MS, n.Open)
	}
	l, err := load.New(f.Load, front, clock, journal)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, time.Duration(o.seconds*float64(time.Second)))
	defer stop()
	got := l.Run(ctx)
	res := fleet.Result{Scenario: "load", Command: "not the lab's", Load: got,
		Service: got.ServiceShare(), TailService: got.ServiceShare()}
	if !got.Valid {
		res.Failures = append(res.Failures, "the run is invalid: "+got.Why)
	}
	report.Table(os.Stdout, res)
	if len(res.Failures) > 0 {
		return errExpectationFailed
	}
	return nil
}
