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
	const versions, listedCount = 400, 12
	s := settings()
	s.Workers, s.MaxPending, s.ReportLeftIndex, s.ReportLimitIndex = 8, 40, 0, 1
	s.Tenants = []Tenant{{Quota: 20}, {Quota: 5}}
	c, err := New(s, 3)
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(5, 5))
	now := time.Hour
	type out struct {
		at time.Duration
		Result
	}
	var resultsDue []out
	tries := map[string]int{}
	open := map[string]bool{}
	step := func(events ...Event) {
		now += 20 * ms
		for i := 0; i < len(resultsDue); i++ {
			if resultsDue[i].at <= now {
				events = append(events, resultsDue[i].Result)
				if resultsDue[i].Done {
					delete(open, resultsDue[i].ID)
				}
				resultsDue[i] = resultsDue[len(resultsDue)-1]
				resultsDue = resultsDue[:len(resultsDue)-1]
				i--
			}
		}
		excluded, explained := c.Excluded(), slices.ContainsFunc(events, func(e Event) bool {
			switch e.(type) {
			case ListUpdate, ManualChange:
				return true
			}
			return false
		})
		acts := c.Step(now, append(events, Woken{}))
		explained = explained || slices.ContainsFunc(acts, func(a Action) bool {
			switch a.(type) {
			case Health, Log, UnitChange:
				return true
			}
			return false
		})
		if n := c.Excluded(); n != excluded && !explained {
			t.Fatalf("%d endpoints are excluded after %d, and no event or action says why", n, excluded)
		}
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				outcome := []Outcome{Served, Served, Served, Error, Refused, Reset, NoConnection, Timeout}[random.IntN(8)]
				r := Result{ID: a.ID, Host: a.Host, Attempt: tries[a.ID], Outcome: outcome, Took: 30 * ms,
					Done: outcome == Served, Report: []float64{random.Float64(), 30 * random.Float64()}}
				if outcome == Refused && random.IntN(2) == 0 {
					r.RetryAfter = time.Duration(random.IntN(1500)) * ms
				}
				if outcome == Timeout {
					r.Took = a.Timeout
				}
				tries[a.ID]++
				resultsDue = append(resultsDue, out{now + r.Took, r})
			case Refuse:
				delete(open, a.ID)
			case Fail:
				delete(open, a.ID)
			case Cancel:
				for i := range resultsDue {
					if resultsDue[i].ID == a.ID {
						resultsDue[i].at, resultsDue[i].Outcome, resultsDue[i].Done = now, Cancelled, false
					}
				}
			}
		}
	}
	listed := func(version int) []Host {
		var hosts []Host
		for i := range listedCount { // each version replaces one endpoint, and every few versions a whole destination
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
			class := random.IntN(len(s.Classes))
			step(Arrival{ID: id, Class: class, Dest: hosts[random.IntN(listedCount)].Dest,
				Key:  fmt.Sprint("k", messages/3),
				Left: time.Duration(1+random.IntN(9)) * time.Second, Tenant: random.IntN(3) - 1})
			if random.IntN(20) == 0 {
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
		"endpoints":          {len(c.hosts), listedCount},
		"destinations":       {len(c.dests) + c.destOrder.count, 2 * (listedCount/4 + 1)},
		"live":               {c.liveDests.count + len(c.activeDests) + len(c.deferredDests.items) + len(c.callingDests) + len(c.byAnswerTime.items), 0},
		"keys":               {len(c.keyQueues) + len(c.pausedKeys.items), 0},
		"enabled again":      {len(c.enabledAt), 2},
		"disabled endpoints": {len(c.disabled), 0},
		"remembered":         {len(c.Snapshot(now).Units), listedCount},
		"times of sends":     {sends, listedCount * 100},
	} {
		if n.held > n.most {
			t.Errorf("%s: %d stored at the end, want at most %d", what, n.held, n.most)
		}
	}
}
