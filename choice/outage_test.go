package choice

import (
	"testing"
	"time"
)

// Guards against a destination that is shut while it still warms up from the outage before: relays that took that for its
// limit sent it all of their budget as it came back cold, and it fell over.
func TestOutageWhileRecovering(t *testing.T) {
	for wait, want := range map[time.Duration]bool{1500 * time.Millisecond: false, 2500 * time.Millisecond: true} {
		c, err := New(settings(), 7)
		if err != nil {
			t.Fatal(err)
		}
		c.Step(time.Hour, []Event{Listing{Whole: true, Hosts: []Host{ready("a", 1, 0, 0)}}, Unwell{Host: "a", Base: 5}})
		u := c.hosts["a"].unit
		u.state, u.since = recovering, time.Hour // one of its trials was served
		var sent Send
		for _, a := range c.Step(time.Hour+time.Second, []Event{Arrival{ID: "m", Dest: 1, Left: 9 * time.Second}}) {
			if s, ok := a.(Send); ok {
				sent = s
			}
		}
		if sent.Host != "a" {
			t.Fatal("nothing is sent while it recovers")
		}
		unwell := false
		for _, a := range c.Step(time.Hour+1100*time.Millisecond, []Event{Result{ID: "m", Host: "a", Outcome: Refused, Took: time.Millisecond, Wait: wait}}) {
			if h, ok := a.(Health); ok {
				unwell = h.Unwell
			}
		}
		if unwell != want || (u.state == suspect) != want {
			t.Errorf("told to wait %v, within a rule's window of 2 s: an outage %v in state %d, want %v", wait, unwell, u.state, want)
		}
	}
}
