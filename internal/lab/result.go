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

// result judges the run.
func (w *world) result(late Lateness) *Result {
	r := &Result{Scenario: w.scenario, Draw: w.draw, Report: w.checker.Close(), Faults: w.spans, Lateness: late, Trouble: w.trouble}
	if w.options.Keep {
		r.Folder = w.dir
	}
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) == nil {
		r.LabCPU = float64(use.Utime.Nano()+use.Stime.Nano()) / 1e9
	}
	if behind := w.clients.MaxLag(); behind > tooFarBehind {
		r.Void = fmt.Sprintf("the machine is too busy for this load: messages were handed in up to %.1f s late", behind.Seconds())
	}
	if late.P99 > float64(tooLate.Milliseconds()) {
		r.Void = fmt.Sprintf("the machine is too busy for this load: one in a hundred of the lab's own timers came %.0f ms late or more, of %d at most", late.P99, tooLate.Milliseconds())
	}
	if err := w.net.Trouble(); err != nil {
		r.Void = fmt.Sprintf("the lab itself could not go on: %v", err)
	}
	for _, rule := range rules.All {
		if n := r.Report.Broken[rule]; n > 0 {
			r.Failures = append(r.Failures, Failure{"rule " + string(rule), fmt.Sprintf("broken %d times", n)})
		}
	}
	if want := w.scenario.Expect.Served; want != nil && r.Report.Served < *want {
		r.Failures = append(r.Failures, Failure{"served", fmt.Sprintf("%.3f of the worth asked for, at least %.3f expected", r.Report.Served, *want)})
	}
	if want := w.scenario.Expect.Contradiction; want != nil {
		switch a := r.Report.Agreed; {
		case a == nil || len(a.Seen) < 2:
			r.Failures = append(r.Failures, Failure{"contradiction", "no two generations were acted by, so nothing is shown"})
		case max(a.Contradiction, a.Three) > time.Duration(*want).Seconds():
			r.Failures = append(r.Failures, Failure{"contradiction", fmt.Sprintf("%s; at most %s expected", a, *want)})
		}
	}
	if want := w.scenario.Expect.Promised; want != nil && r.Report.Lost > *want {
		r.Failures = append(r.Failures, Failure{"promised", fmt.Sprintf("%d messages that were taken on got no end, at most %d expected", r.Report.Lost, *want)})
	}
	if want := w.scenario.Expect.TakenOver; want != nil {
		switch t := r.Report.TakenOver; {
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
	if n := len(w.trouble); n > 0 {
		r.Failures = append(r.Failures, Failure{"the scenario was carried out", strings.Join(w.trouble, "; ")})
	}
	return r
}

// watchLateness measures how late the lab's own timers come, until it is asked.
func watchLateness(ctx context.Context) func() Lateness {
	const every = 5 * time.Millisecond
	var mu sync.Mutex
	var counts [2001]int // by tenths of a millisecond, the last for all above
	n, most := 0, time.Duration(0)
	go func() {
		for ctx.Err() == nil {
			begin := time.Now()
			time.Sleep(every)
			late := time.Since(begin) - every
			mu.Lock()
			n++
			most = max(most, late)
			counts[min(len(counts)-1, max(0, int(late/(100*time.Microsecond))))]++
			mu.Unlock()
		}
	}()
	return func() Lateness {
		mu.Lock()
		defer mu.Unlock()
		at := func(q float64) float64 {
			for i, sum := 0, 0; i < len(counts); i++ {
				if sum += counts[i]; float64(sum) >= q*float64(n) {
					return float64(i) / 10
				}
			}
			return 0
		}
		return Lateness{at(0.5), at(0.99), float64(most.Microseconds()) / 1000}
	}
}

// FindRoot finds the folder with the deploy file, from a folder upwards.
func FindRoot(from string) (string, error) {
	for dir := from; ; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "balancer.toml")); err == nil {
			return dir, nil
		}
		if dir == filepath.Dir(dir) {
			return "", errors.New("no deploy/balancer.toml here or above: start the lab within the repository")
		}
	}
}
