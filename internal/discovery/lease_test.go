package discovery

import (
	"testing"
	"time"
)

// A list may be acted on until the first change that it lacks may count as told.
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
		"nobody there":         {10 * time.Second, func(lease *leaseState) { lease.confirm(at(2)); lease.recordUnreachable(at(5)); lease.recordFailure() }, 11},
		"nobody there, then no time": {10 * time.Second, func(lease *leaseState) {
			lease.confirm(at(2))
			lease.recordUnreachable(at(5))
			lease.recordFailure()
			lease.recordFailure()
		}, 11},
		"half an answer": {10 * time.Second, func(lease *leaseState) { lease.confirm(at(2)); lease.recordPartialAnswer(at(4)) }, 4},
		"half an answer, twice": {10 * time.Second, func(lease *leaseState) {
			lease.confirm(at(2))
			lease.recordPartialAnswer(at(4))
			lease.recordFailure()
			lease.recordPartialAnswer(at(6))
		}, 4},
		"half an answer, then a whole one": {10 * time.Second, func(lease *leaseState) { lease.recordPartialAnswer(at(4)); lease.recordFailure(); lease.confirm(at(5)) }, 11},
		"a move":                           {10 * time.Second, func(lease *leaseState) { lease.confirm(at(2)); lease.recordMove(at(3)) }, 7},
		"moves in a row":                   {10 * time.Second, func(lease *leaseState) { lease.confirm(at(2)); lease.recordMove(at(3)); lease.recordMove(at(5)) }, 7},
		"a move late in the list's time":   {10 * time.Second, func(lease *leaseState) { lease.confirm(at(2)); lease.recordFailure(); lease.recordMove(at(7)) }, 8},
		"nobody at the address of a move": {10 * time.Second, func(lease *leaseState) {
			lease.confirm(at(2))
			lease.recordMove(at(3))
			lease.recordUnreachable(at(6))
			lease.recordFailure()
		}, 7},
		"an older answer confirms no younger": {10 * time.Second, func(lease *leaseState) { lease.confirm(at(5)); lease.confirm(at(4)) }, 11},
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
		"as the process before held it":        {Lease{Confirmed: at(-5), Expires: at(5), Failures: 0}, func(*leaseState) {}, 1},
		"and its call fails here":              {Lease{Confirmed: at(-5), Expires: at(5), Failures: 0}, func(lease *leaseState) { lease.recordFailure() }, 1},
		"its calls failed there":               {Lease{Confirmed: at(-5), Expires: at(1), Failures: 2}, func(*leaseState) {}, 1},
		"it had run out there":                 {Lease{Confirmed: at(-15), Expires: at(-5), Failures: 0}, func(*leaseState) {}, -9},
		"a part of an answer was written then": {Lease{Confirmed: at(-5), Expires: at(-1), Failures: 1}, func(lease *leaseState) { lease.recordUnreachable(at(2)) }, -1},
		"it is heard of here":                  {Lease{Confirmed: at(-15), Expires: at(-5), Failures: 3}, func(lease *leaseState) { lease.confirm(at(1)) }, 7},
	} {
		lease := newLeaseState(start, &test.before)
		test.events(&lease)
		if got := lease.snapshot(Fleet{30, 10 * time.Second}.leaseDuration()).Expires.Sub(start).Seconds(); got != test.want {
			t.Errorf("%s: it ends after %.1f s, want %.1f", name, got, test.want)
		}
	}
}
