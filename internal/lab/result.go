package lab

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"larchrouter/internal/lab/rules"
)

// result compares the run with the scenario's expectations and returns its result.
func (run *labRun) result(lateness Lateness) *Result {
	r := &Result{Scenario: run.scenario, Draw: run.draw, Report: run.checker.Close(), Faults: run.spans, Lateness: lateness, Problems: run.problems}
	if run.options.KeepRunDir {
		r.RunDir = run.dir
	}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		r.LabCPUSeconds = float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
	}
	if behind := run.clients.MaxLag(); behind > maxLoadLag {
		r.VoidReason = fmt.Sprintf("the machine is too busy for this load: messages were handed in up to %.1f s late", behind.Seconds())
	}
	if lateness.P99 > float64(maxLateness.Milliseconds()) {
		r.VoidReason = fmt.Sprintf("the machine is too busy for this load: one in a hundred of the lab's own timers came %.0f ms late or more, of %d at most", lateness.P99, maxLateness.Milliseconds())
	}
	if err := run.network.Failure(); err != nil {
		r.VoidReason = fmt.Sprintf("the lab itself could not go on: %v", err)
	}
	for _, rule := range rules.All {
		if n := r.Report.Broken[rule]; n > 0 {
			r.Failures = append(r.Failures, Failure{"rule " + string(rule), fmt.Sprintf("broken %d times", n)})
		}
	}
	if want := run.scenario.Expect.Served; want != nil && r.Report.Served < *want {
		r.Failures = append(r.Failures, Failure{"served", fmt.Sprintf("%.3f of the worth asked for, at least %.3f expected", r.Report.Served, *want)})
	}
	if want := run.scenario.Expect.Contradiction; want != nil {
		switch a := r.Report.Generations; {
		case a == nil || len(a.Generations) < 2:
			r.Failures = append(r.Failures, Failure{"contradiction", "no two generations were acted by, so nothing is shown"})
		case max(a.Contradiction, a.ThreeInUse) > time.Duration(*want).Seconds():
			r.Failures = append(r.Failures, Failure{"contradiction", fmt.Sprintf("%s; at most %s expected", a, *want)})
		}
	}
	if want := run.scenario.Expect.Promised; want != nil && r.Report.Lost > *want {
		r.Failures = append(r.Failures, Failure{"promised", fmt.Sprintf("%d messages that were taken on got no end, at most %d expected", r.Report.Lost, *want)})
	}
	if want := run.scenario.Expect.TakenOver; want != nil {
		switch t := r.Report.Takeovers; {
		case len(t) == 0:
			r.Failures = append(r.Failures, Failure{"taken-over", "no machine was lost, so nothing is shown"})
		default:
			for _, o := range t {
				if o.After < 0 || o.After > time.Duration(*want).Seconds() {
					r.Failures = append(r.Failures, Failure{"taken-over", fmt.Sprintf("%s; at most %s expected", o, *want)})
				}
			}
		}
	}
	if n := len(run.problems); n > 0 {
		r.Failures = append(r.Failures, Failure{"the scenario was carried out", strings.Join(run.problems, "; ")})
	}
	return r
}

// watchLateness measures how late the lab's own timers are until ctx ends. The returned function returns the lateness so far.
func watchLateness(ctx context.Context) func() Lateness {
	const interval = 5 * time.Millisecond
	var mu sync.Mutex
	var counts [2001]int // by lateness in tenths of a millisecond; the last counts everything above
	n, longest := 0, time.Duration(0)
	go func() {
		for ctx.Err() == nil {
			begin := time.Now()
			time.Sleep(interval)
			late := time.Since(begin) - interval
			mu.Lock()
			n++
			longest = max(longest, late)
			counts[min(len(counts)-1, max(0, int(late/(100*time.Microsecond))))]++
			mu.Unlock()
		}
	}()
	return func() Lateness {
		mu.Lock()
		defer mu.Unlock()
		quantile := func(q float64) float64 {
			for i, sum := 0, 0; i < len(counts); i++ {
				if sum += counts[i]; float64(sum) >= q*float64(n) {
					return float64(i) / 10
				}
			}
			return 0
		}
		return Lateness{quantile(0.5), quantile(0.99), float64(longest.Microseconds()) / 1000}
	}
}

// FindRoot returns the nearest directory, from the given one upwards, that contains deploy/balancer.toml.
func FindRoot(from string) (string, error) {
	for dir := from; ; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "balancer.toml")); err == nil {
			return dir, nil
		}
		if dir == filepath.Dir(dir) {
			return "", errors.New("no deploy/balancer.toml in this directory or above: start the lab within the repository")
		}
	}
}
