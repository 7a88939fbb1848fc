package relay

import "time"

// errorLogInterval is the least time between two log lines of an error that clients can cause at any rate.
const errorLogInterval = time.Second

// errorThrottle limits how often an error is logged. It belongs to the loop.
type errorThrottle struct {
	last       time.Time
	suppressed int // errors that were not logged since then
}

// allow reports whether the error may be logged now, and how many were not since the last one that was.
func (e *errorThrottle) allow(now time.Time) (suppressed int, ok bool) {
	if !e.last.IsZero() && now.Sub(e.last) < errorLogInterval {
		e.suppressed++
		return 0, false
	}
	suppressed = e.suppressed
	e.last, e.suppressed = now, 0
	return suppressed, true
}
