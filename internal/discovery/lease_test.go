package discovery

import (
	"testing"
	"time"
)

// Guards against a lease that outlasts the first time at which a change that the list lacks may count as notified, after each
// sequence of answers, failures and moves.
func TestLeaseEndsWhenChangeCountsAsNotified(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for name, test := range map[string]struct {
		askWithin time.Duration
		events    func(*leaseState)
		want      float64 // seconds after the start
	}{
		"a new process":                        {10 * time.Second, func(*leaseState) {}, 6},
		"a new process, its first call failed": {10 * time.Second, func(lease *leaseState) { lease.recordFailure() }, 6},
		"a new process, shorter settings":      {4 * time.Second, func(*leaseState) {}, 4},
		"an answer":                            {10 * time.Second, func(lease *leaseState) { lease.confirm(at(2)) }, 8},
		"an answer, without settings":          {0, func(lease *leaseState) { lease.confirm(at(2)) }, 8},
		"a failed call":                        {10 * time.Second, func(lease *leaseState) { lease.confirm(at(2)); lease.recordFailure() }, 8},
		"an answer, and the next one":          {10 * time.Second, func(lease *leaseState) { lease.confirm(at(2)); lease.confirm(at(5)) }, 11},
		"an answer, longer settings":           {time.Minute, func(lease *leaseState) { lease.confirm(at(2)) }, 8},
		"several failed calls": {10 * time.Second, func(lease *leaseState) {
			lease.confirm(at(2))
			lease.recordFailure()
			lease.recordFailure()
			lease.recordFailure()
		}, 8},
		"an answer after them": {10 * time.Second, func(lease *leaseState) { lease.recordFailure(); lease.recordFailure(); lease.confirm(at(7)) }, 13},
		"a refused connection": {10 * time.Second, func(lease *leaseState) { lease.confirm(at(2)); lease.recordUnreachable(at(5)); lease.recordFailure() }, 11},
		"a refused connection, then a failure": {10 * time.Second, func(lease *leaseState) {
			lease.confirm(at(2))
			lease.recordUnreachable(at(5))
			lease.recordFailure()
			lease.recordFailure()
		}, 11},
		"a partial answer": {10 * time.Second, func(lease *leaseState) { lease.confirm(at(2)); lease.recordPartialAnswer(at(4)) }, 4},
		"two partial answers": {10 * time.Second, func(lease *leaseState) {
			lease.confirm(at(2))
			lease.recordPartialAnswer(at(4))
			lease.recordFailure()
			lease.recordPartialAnswer(at(6))
		}, 4},
		"a partial answer, then a complete one": {10 * time.Second, func(lease *leaseState) { lease.recordPartialAnswer(at(4)); lease.recordFailure(); lease.confirm(at(5)) }, 11},
		"a move":                                {10 * time.Second, func(lease *leaseState) { lease.confirm(at(2)); lease.recordMove(at(3)) }, 7},
		"moves in a row":                        {10 * time.Second, func(lease *leaseState) { lease.confirm(at(2)); lease.recordMove(at(3)); lease.recordMove(at(5)) }, 7},
		"a move late in the lease":              {10 * time.Second, func(lease *leaseState) { lease.confirm(at(2)); lease.recordFailure(); lease.recordMove(at(7)) }, 8},
		"a refused connection after a move": {10 * time.Second, func(lease *leaseState) {
			lease.confirm(at(2))
			lease.recordMove(at(3))
			lease.recordUnreachable(at(6))
			lease.recordFailure()
		}, 7},
		"an earlier time confirms nothing": {10 * time.Second, func(lease *leaseState) { lease.confirm(at(5)); lease.confirm(at(4)) }, 11},
	} {
		lease := newLeaseState(start, nil)
		test.events(&lease)
		if got := lease.snapshot(Fleet{30, test.askWithin}.leaseDuration()).Expires.Sub(start).Seconds(); got != test.want {
			t.Errorf("%s: it ends after %.1f s, want %.1f", name, got, test.want)
		}
	}
	for name, test := range map[string]struct {
		before Lease
		events func(*leaseState)
		want   float64
	}{
		"the previous process's lease":              {Lease{Confirmed: at(-5), Expires: at(5), Failures: 0}, func(*leaseState) {}, 1},
		"that lease, and a failure in this process": {Lease{Confirmed: at(-5), Expires: at(5), Failures: 0}, func(lease *leaseState) { lease.recordFailure() }, 1},
		"failures in the previous process":          {Lease{Confirmed: at(-5), Expires: at(1), Failures: 2}, func(*leaseState) {}, 1},
		"expired in the previous process":           {Lease{Confirmed: at(-15), Expires: at(-5), Failures: 0}, func(*leaseState) {}, -9},
		"a partial answer in the previous process":  {Lease{Confirmed: at(-5), Expires: at(-1), Failures: 1}, func(lease *leaseState) { lease.recordUnreachable(at(2)) }, -1},
		"an answer in this process":                 {Lease{Confirmed: at(-15), Expires: at(-5), Failures: 3}, func(lease *leaseState) { lease.confirm(at(1)) }, 7},
	} {
		lease := newLeaseState(start, &test.before)
		test.events(&lease)
		if got := lease.snapshot(Fleet{30, 10 * time.Second}.leaseDuration()).Expires.Sub(start).Seconds(); got != test.want {
			t.Errorf("%s: it ends after %.1f s, want %.1f", name, got, test.want)
		}
	}
}
