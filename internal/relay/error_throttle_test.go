package relay

import (
	"testing"
	"time"
)

// Guards against a line of the log for each message of a client that is refused for a full journal.
func TestErrorThrottle(t *testing.T) {
	var throttle errorThrottle
	now := time.Unix(100, 0)
	for i, test := range []struct {
		after      time.Duration
		ok         bool
		suppressed int
	}{{0, true, 0}, {0, false, 0}, {errorLogInterval - 1, false, 0}, {1, true, 2}, {errorLogInterval, true, 0}} {
		now = now.Add(test.after)
		suppressed, ok := throttle.allow(now)
		if ok != test.ok || suppressed != test.suppressed {
			t.Errorf("error %d: allowed %v after %d, want %v after %d", i, ok, suppressed, test.ok, test.suppressed)
		}
	}
}
