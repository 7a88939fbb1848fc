package choice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestStateIsBounded guards against state that outlives what it belongs to. It plays many thousands
// of messages, some of them in flight when their endpoint is removed, some withdrawn and some never
// answered in time, over hundreds of lists that replace endpoints and whole destinations, while
// operators disable and enable endpoints.
func TestStateIsBounded(t *testing.T) {
	const versions, kept = 400, 12
	s := settings()
	s.Workers, s.MaxPending, s.ReportLeftIndex, s.ReportLimitIndex = 8, 40, 0, 1
	s.Tenants = []Tenant{{Quota: 20}, {Quota: 5}}
	c, err := New(s, 3)
	if err != nil {
		t.Fatal(err)
	}
	chance := rand.New(rand.NewPCG(5, 5))
	now := time.Hour
	type out struct {
		at time.Duration
		Result
	}
	var due []out
	tries := map[string]int{}
	open := map[string]bool{}
	step := func(events ...Event) {
		now += 20 * ms
		for i := 0; i < len(due); i++ {
			if due[i].at <= now {
				events = append(events, due[i].Result)
				if due[i].Done {
					delete(open, due[i].ID)
				}
				due[i] = due[len(due)-1]
				due = due[:len(due)-1]
				i--
			}
		}
		excluded, told := c.Excluded(), slices.ContainsFunc(events, func(e Event) bool {
			switch e.(type) {
			case ListUpdate, ManualChange:
				return true
			}
			return false
		})
		acts := c.Step(now, append(events, Woken{}))
		told = told || slices.ContainsFunc(acts, func(a Action) bool {
			switch a.(type) {
			case Health, Log:
				return true
			}
			return false
		})
		if n := c.Excluded(); n != excluded && !told {
			t.Fatalf("%d endpoints are excluded after %d, and no event or action says why", n, excluded)
		}
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				outcome := []Outcome{Served, Served, Served, Error, Refused, Reset, NoConnection, Timeout}[chance.IntN(8)]
				r := Result{ID: a.ID, Host: a.Host, Attempt: tries[a.ID], Outcome: outcome, Took: 30 * ms,
					Done: outcome == Served, Report: []float64{chance.Float64(), 30 * chance.Float64()}}
				if outcome == Refused && chance.IntN(2) == 0 {
					r.RetryAfter = time.Duration(chance.IntN(1500)) * ms
				}
				if outcome == Timeout {
					r.Took = a.Timeout
				}
				tries[a.ID]++
				due = append(due, out{now + r.Took, r})
			case Refuse:
				delete(open, a.ID)
			case Fail:
				delete(open, a.ID)
			case Cancel:
				for i := range due {
					if due[i].ID == a.ID {
						due[i].at, due[i].Outcome, due[i].Done = now, Cancelled, false
					}
				}
			}
		}
	}
	listed := func(version int) []Host {
		var hosts []Host
		for i := range kept { // each version replaces one endpoint, and every few versions a whole destination
			n := version + i
			h := ready(fmt.Sprint("e", n), n/4, n/4%3, n%2)
			h.Rate = 30
			hosts = append(hosts, h)
		}
		return hosts
	}
	messages := 0
	for v := range versions {
		hosts := listed(v)
		if v%10 == 0 {
			step(ListUpdate{Complete: true, Hosts: hosts})
		} else {
			gone := ready(fmt.Sprint("e", v-1), 0, 0, 0)
			gone.State = Removed
			step(ListUpdate{Hosts: []Host{gone, hosts[len(hosts)-1]}})
		}
		if v%7 == 0 {
			step(ManualChange{Host: hosts[1].Addr, Disabled: true})
			step(ManualChange{Host: hosts[1].Addr})
		}
		for range 50 {
			messages++
			id := fmt.Sprint("m", messages)
			open[id] = true
			class := chance.IntN(len(s.Classes))
			step(Arrival{ID: id, Class: class, Dest: hosts[chance.IntN(kept)].Dest, Key: fmt.Sprint("k", messages/3),
				Left: time.Duration(1+chance.IntN(9)) * time.Second, Tenant: chance.IntN(3) - 1})
			if chance.IntN(20) == 0 {
				delete(open, id)
				step(Withdrawn{ID: id})
			}
		}
	}
	for range 4000 { // 80 s: all messages have ended, and no destination is cold or down any more
		step()
	}
	step(ListUpdate{Complete: true, Hosts: listed(versions)})
	step(ListUpdate{Complete: true, Hosts: listed(versions)})
	if messages < 20000 || len(open) > 0 {
		t.Fatalf("%d messages, %d of them without a final answer", messages, len(open))
	}
	sends := 0
	for d := range c.destOrder.each {
		for _, u := range d.units {
			sends += len(u.recentSends)
		}
	}
	for what, n := range map[string]struct{ held, most int }{
		"messages":           {len(c.messages) + c.pending + c.inFlight, 0},
		"endpoints":          {len(c.hosts), kept},
		"destinations":       {len(c.dests) + c.destOrder.count, 2 * (kept/4 + 1)},
		"live":               {c.liveDests.count + len(c.activeDests) + len(c.deferredDests.items) + len(c.callingDests) + len(c.byAnswerTime.items), 0},
		"keys":               {len(c.keyQueues) + len(c.pausedKeys.items), 0},
		"enabled again":      {len(c.enabledAt), 2},
		"disabled endpoints": {len(c.disabled), 0},
		"remembered":         {len(c.Snapshot(now).Units), kept},
		"times of sends":     {sends, kept * 100},
	} {
		if n.held > n.most {
			t.Errorf("%s: %d stored at the end, want at most %d", what, n.held, n.most)
		}
	}
}
