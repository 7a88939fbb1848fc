package choice

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func settings() Settings {
	return Settings{
		Fleet: 2, Workers: 4, MaxPending: 50, MaxAttempts: 4, Tick: 5 * ms, CanCancel: true, RatesListed: true,
		Classes: []Class{
			{Name: "safe", Aim: 2 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateShare: 0.5, Effect: Safe},
			{Name: "keyed", Aim: 2 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateShare: 0.5, Effect: Keyed,
				SameZone: true, Window: 3 * time.Second},
			{Name: "unsafe", Aim: 2 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateShare: 0.5, Effect: Unsafe},
			{Name: "ordered", Aim: 2 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateShare: 0.5, Effect: Unsafe,
				Ordered: true},
		},
		Kinds:   []Kind{{PerCall: 1}, {PerCall: 3}, {PerCall: 1, SeparateRoutes: true}},
		ZoneFee: []float64{0, 0.05},
		Rules: Rules{AnswerGrace: 20 * ms, DrainGrace: time.Second, OverloadFactor: 2, OverloadWindow: 2 * time.Second,
			ColdShare: 0.2, WarmUp: 10 * time.Second, OrderSettle: 100 * ms},
	}
}

// harness drives one Chooser and counts the attempts of each message.
type harness struct {
	t        *testing.T
	chooser  *Chooser
	now      time.Duration
	attempts map[string]int
}

func newHarness(t *testing.T, s Settings, hosts ...Host) *harness {
	t.Helper()
	c, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, chooser: c, now: time.Hour, attempts: map[string]int{}}
	r.step(ListUpdate{Complete: true, Hosts: hosts})
	return r
}

func (r *harness) step(events ...Event) []Action {
	acts := r.chooser.Step(r.now, events)
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			r.attempts[s.ID]++
		}
	}
	return acts
}

// advance moves time on in ticks, with a wake-up at each, and returns all actions.
func (r *harness) advance(d time.Duration) []Action {
	var acts []Action
	for end := r.now + d; r.now < end; {
		r.now += 5 * ms
		acts = append(acts, r.step(Woken{})...)
	}
	return acts
}

func (r *harness) result(id, host string, o Outcome, more ...func(*Result)) Result {
	e := Result{ID: id, Host: host, Attempt: r.attempts[id] - 1, Outcome: o, Took: 50 * ms, Done: o == Served}
	for _, m := range more {
		m(&e)
	}
	return e
}

func sends(acts []Action) (out []Send) {
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			out = append(out, s)
		}
	}
	return out
}

func finalAnswers(acts []Action) string {
	out := ""
	for _, a := range acts {
		switch a := a.(type) {
		case Refuse:
			out += "refuse " + a.ID + ";"
		case Fail:
			out += "fail " + a.ID + ";"
		}
	}
	return out
}

func ready(addr string, dest, kind, zone int) Host {
	return Host{Addr: addr, Dest: dest, Kind: kind, Zone: zone, Rate: 100, State: Ready}
}

func arrival(id string, class int) Arrival {
	return Arrival{ID: id, Class: class, Dest: 1, Left: 10 * time.Second}
}

func TestTimeoutFromKnownLatencies(t *testing.T) {
	tab := latencyTable{width: 10 * ms, weight: 1}
	for range 90 {
		tab.addServed(15 * ms)
	}
	for range 10 {
		tab.addServed(905 * ms)
	}
	tab.refresh()
	if tab.bestTimeout != 20*ms {
		t.Errorf("time-out %v with a tenth of the answers 60 times slower, want the edge of the bucket of the fast ones, 20ms", tab.bestTimeout)
	}
	same := latencyTable{width: 10 * ms, weight: 1}
	for i := range 100 {
		same.addServed(time.Duration(100+i%10) * ms)
	}
	same.refresh()
	if same.bestTimeout != 110*ms {
		t.Errorf("time-out %v for equal answers, want 110ms, the end of their bucket", same.bestTimeout)
	}
	few := latencyTable{width: 10 * ms, weight: 1}
	for range minSamples - 1 {
		few.addServed(15 * ms)
	}
	few.refresh()
	if few.bestTimeout != 0 {
		t.Errorf("time-out %v from %d samples, want none", few.bestTimeout, minSamples-1)
	}
	few.addServed(5 * time.Second) // beyond the last bucket
	if few.overBound < 1 || few.samples != minSamples {
		t.Errorf("%v samples over the last bucket, %v in all after one more", few.overBound, few.samples)
	}
}

func TestLatencyTableRelearns(t *testing.T) {
	tab := latencyTable{width: 10 * ms, weight: 1}
	for range 1000 {
		tab.addServed(15 * ms)
	}
	for range 2 * sampleMemory {
		tab.addServed(505 * ms)
	}
	tab.refresh()
	if tab.bestTimeout < 510*ms {
		t.Errorf("time-out %v after the destination became slower, want at least 510ms", tab.bestTimeout)
	}
	for range 10000 {
		tab.addServed(505 * ms)
	}
	if math.IsInf(tab.weight, 0) || tab.weight > 1e7 {
		t.Errorf("weight %v grows without bound", tab.weight)
	}
}

// TestOutcomeByEffect has one row for each outcome and effect: what becomes of the message.
func TestOutcomeByEffect(t *testing.T) {
	for _, tc := range []struct {
		class   int
		outcome Outcome
		want    string // immediate answer; "again" for one more send
	}{
		{0, Error, "again"}, {0, Timeout, "again"}, {0, Reset, "again"}, {0, NoConnection, "again"},
		{1, Error, "again"}, {1, Timeout, "again"}, {1, NotSent, "again"},
		{2, Error, "fail m;"}, {2, Timeout, "fail m;"}, {2, Reset, "fail m;"}, {2, Cancelled, "fail m;"},
		{2, NoConnection, "again"}, {2, Refused, "again"}, {2, NotSent, "again"},
	} {
		t.Run(fmt.Sprintf("class%d-outcome%d", tc.class, tc.outcome), func(t *testing.T) {
			r := newHarness(t, settings(), ready("a", 1, 0, 0))
			if n := len(sends(r.step(arrival("m", tc.class)))); n != 1 {
				t.Fatalf("%d sends for an arrival, want 1", n)
			}
			r.now += 50 * ms
			acts := r.step(r.result("m", "a", tc.outcome))
			got := finalAnswers(acts)
			if tc.want == "again" {
				acts = append(acts, r.advance(3*time.Second)...)
				if got = finalAnswers(acts); got != "" || len(sends(acts)) != 1 {
					t.Errorf("answers %q, %d sends, want one more send", got, len(sends(acts)))
				}
			} else if got != tc.want || len(sends(acts)) != 0 {
				t.Errorf("answers %q, want %q", got, tc.want)
			}
		})
	}
}

func TestPendingMessageIsAnsweredByItsDeadline(t *testing.T) {
	r := newHarness(t, settings()) // no host at all
	r.step(arrival("m", 2))
	if got := finalAnswers(r.advance(9900 * ms)); got != "" {
		t.Fatalf("answered early: %q", got)
	}
	if got := finalAnswers(r.advance(100 * ms)); got != "refuse m;" {
		t.Errorf("at the deadline %q, want a refusal", got)
	}
	if len(r.chooser.messages) != 0 || r.chooser.pending != 0 {
		t.Errorf("%d messages stored, %d pending after the answer", len(r.chooser.messages), r.chooser.pending)
	}
}

func TestKeyedStaysInZoneAndWindow(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 2, 0), ready("b", 1, 2, 1))
	first := sends(r.step(arrival("m", 1)))[0].Host
	r.now += 50 * ms
	acts := r.step(r.result("m", first, Error))
	acts = append(acts, r.advance(2800*ms)...)
	for _, s := range sends(acts) {
		if s.Host != first {
			t.Errorf("resent to %s, outside the zone of %s", s.Host, first)
		}
		if want := r.now - 2850*ms + 3*time.Second; s.Before != want {
			t.Errorf("the repeat must be sent by %v, want %v: the window starts with the first attempt", s.Before, want)
		}
	}
	if len(sends(acts)) != 1 {
		t.Fatalf("%d sends within the window, want 1", len(sends(acts)))
	}
	r.now += 100 * ms
	acts = r.step(r.result("m", first, Error))
	if got := finalAnswers(append(acts, r.advance(time.Second)...)); got != "fail m;" {
		t.Errorf("answers %q after its window, want it failed", got)
	}
}

func TestDrainingEndpointGetsNoNewCalls(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	h := ready("a", 1, 0, 0)
	h.State = Draining
	if n := len(sends(r.step(ListUpdate{Hosts: []Host{h}}, arrival("m", 0)))); n != 0 {
		t.Errorf("%d sends to a draining host", n)
	}
	if n := len(sends(r.step(ListUpdate{Complete: true}))); n != 0 {
		t.Errorf("%d sends to a removed host", n)
	}
}

func TestRetryAfterIsHonoured(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	r.step(arrival("m", 0))
	r.now += 50 * ms
	acts := r.step(r.result("m", "a", Refused, func(e *Result) { e.RetryAfter = 700 * ms }), arrival("n", 2))
	if acts = append(acts, r.advance(695*ms)...); len(sends(acts)) != 0 {
		t.Errorf("%d sends before the retry-after time", len(sends(acts)))
	}
	if len(sends(r.advance(2*time.Second))) == 0 {
		t.Errorf("nothing sent after the retry-after time")
	}
}

func TestMessagesOfAKeyGoInOrder(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	m, n := arrival("m", 3), arrival("n", 3)
	m.Key, n.Key = "k", "k"
	if got := sends(r.step(m, n)); len(got) != 1 || got[0].ID != "m" {
		t.Fatalf("sent %v, want m alone", got)
	}
	r.now += 50 * ms
	acts := r.step(r.result("m", "a", Reset))
	if acts = append(acts, r.advance(95*ms)...); len(sends(acts)) != 0 {
		t.Errorf("sent %v while the key pauses", sends(acts))
	}
	if got := sends(r.advance(3 * time.Second)); len(got) != 1 || got[0].ID != "n" {
		t.Errorf("sent %v after the pause, want n", got)
	}
	r.step(r.result("n", "a", Served))
	r.advance(200 * ms)
	if len(r.chooser.keyQueues) != 0 {
		t.Errorf("%d keys stored, want none", len(r.chooser.keyQueues))
	}
}

func TestTimeoutGrowsWithEachAttempt(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	for i := range 2 * minSamples {
		id := fmt.Sprint("w", i)
		r.step(arrival(id, 0))
		r.now += 50 * ms
		r.step(r.result(id, "a", Served))
	}
	got := sends(r.step(arrival("m", 0)))
	last := got[0].Timeout
	if last >= 2*time.Second {
		t.Fatalf("first time-out %v, want one derived from latencies, below 2s", last)
	}
	for range 2 {
		r.now += last
		acts := r.step(r.result("m", "a", Timeout))
		if got = append(sends(acts), sends(r.advance(3*time.Second))...); len(got) != 1 {
			t.Fatalf("%d sends after a time-out", len(got))
		}
		if got[0].Timeout < last+r.chooser.maxTimeout/buckets {
			t.Errorf("time-out %v after %v, want a bucket more", got[0].Timeout, last)
		}
		last = got[0].Timeout
	}
}

func TestOneDestinationUsesUnderThreeQuartersOfSlots(t *testing.T) {
	for _, tc := range []struct{ workers, want int }{{1, 1}, {3, 2}, {4, 2}, {8, 5}} {
		s := settings()
		s.Workers = tc.workers
		r := newHarness(t, s, ready("a", 1, 0, 0))
		var events []Event
		for i := range 20 {
			events = append(events, arrival(fmt.Sprint(i), 0))
		}
		if n := len(sends(r.step(events...))); n != tc.want {
			t.Errorf("%d calls in flight to one destination with %d slots, want %d", n, tc.workers, tc.want)
		}
	}
}

func TestMessagesShareACall(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 1, 0))
	if n := len(sends(r.step(arrival("1", 0), arrival("2", 0), arrival("3", 0)))); n != 3 || r.chooser.inFlight != 1 {
		t.Errorf("%d sends in %d calls, want 3 in one", n, r.chooser.inFlight)
	}
}

// TestColdDestinationStaysWithinBudget checks that two failures make a unit suspect, and that after
// it answers again the relay stays within its share of the cold budget.
func TestColdDestinationStaysWithinBudget(t *testing.T) {
	s := settings()
	s.Workers = 100
	h := ready("a", 1, 0, 0)
	h.Rate = 10
	r := newHarness(t, s, h)
	for _, id := range []string{"x", "y"} {
		r.step(arrival(id, 2))
		r.now += 50 * ms
		r.step(r.result(id, "a", Error))
	}
	var events []Event
	for i := range 60 {
		events = append(events, arrival(fmt.Sprint(i), 0))
	}
	trial := append(sends(r.step(events...)), sends(r.advance(time.Second))...)
	if len(trial) != 1 {
		t.Fatalf("%d calls to a suspect unit, want a single trial", len(trial))
	}
	acts := r.step(r.result(trial[0].ID, "a", Served))
	acts = append(acts, r.advance(s.Rules.OverloadWindow)...)
	share := s.Rules.ColdShare + (1-s.Rules.ColdShare)*s.Rules.OverloadWindow.Seconds()/s.Rules.WarmUp.Seconds()
	limit := s.Rules.OverloadFactor * share * 10 * s.Rules.OverloadWindow.Seconds() / 2
	if n := float64(len(sends(acts))); n < 1 || n > limit {
		t.Errorf("%v calls in the first window after an outage, want 1 to %v", n, limit)
	}
}

// TestStuckCallsAreCancelled checks that calls that nobody answers don't keep all slots.
func TestStuckCallsAreCancelled(t *testing.T) {
	s := settings()
	s.Workers = 2
	r := newHarness(t, s, ready("a", 1, 0, 0), ready("b", 2, 0, 0), ready("c", 3, 0, 0))
	for i := 1; i <= 3; i++ {
		m := arrival(fmt.Sprint(i), 2)
		m.Dest = i
		r.step(m)
	}
	for _, a := range r.advance(4 * time.Second) {
		if _, ok := a.(Cancel); ok {
			return
		}
	}
	t.Errorf("no call was cancelled while another destination waited for a slot")
}

// TestOneFailedHostLeavesDestinationHealthy checks that the loss of one machine is no outage of its
// destination.
func TestOneFailedHostLeavesDestinationHealthy(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0), ready("b", 1, 0, 0))
	for i := range 6 {
		id := fmt.Sprint(i)
		for _, s := range sends(r.step(arrival(id, 0))) {
			r.now += 50 * ms
			for s.Host == "a" {
				again := sends(r.step(r.result(id, "a", NoConnection)))
				if len(again) != 1 {
					t.Fatalf("%d sends after a failed connection, want one to the other host", len(again))
				}
				s = again[0]
			}
			r.step(r.result(id, s.Host, Served))
		}
	}
	if u := r.chooser.dests[1].units[0]; u.state != Healthy {
		t.Errorf("unit is in state %d, want healthy", u.state)
	}
}

// TestPaceFollowsReportedLimit guards against a destination that gets few messages for long after
// it lowered its limit for a while, or after a list with an imprecise rate that is too low.
func TestPaceFollowsReportedLimit(t *testing.T) {
	s := settings()
	s.ReportLimitIndex = 0
	host := ready("a", 1, 0, 0)
	r := newHarness(t, s, host)
	n := 0
	served := func(limit float64) int { // in a second, by a host that reports that limit
		count := 0
		for end := r.now + time.Second; r.now < end; {
			r.now += 5 * ms
			n++
			acts := r.step(arrival(fmt.Sprint("m", n), 0))
			for out := sends(acts); len(out) > 0; out = sends(acts) {
				acts = nil
				for _, o := range out {
					count++
					acts = append(acts, r.step(r.result(o.ID, o.Host, Served,
						func(e *Result) { e.Report = []float64{limit} }))...)
				}
			}
		}
		return count
	}
	served(50)
	if before, cut := served(50), served(5)+served(5); before < 40 || cut > 30 {
		t.Fatalf("%d served in a second before the limit was lowered, %d in the two seconds after", before, cut)
	}
	served(50)
	host.Rate = 10
	r.step(ListUpdate{Hosts: []Host{host}})
	if after := served(50); after < 40 {
		t.Errorf("%d served in a second after the limit rose again, want at least 40", after)
	}
}

// TestStaleConnectionsAreNoOutage guards against an outage being assumed where only reused
// connections broke, which their far end had closed.
func TestStaleConnectionsAreNoOutage(t *testing.T) {
	for _, stale := range []bool{true, false} {
		r := newHarness(t, settings(), ready("a", 1, 0, 0))
		Healthy := true
		for i := range 4 {
			id := fmt.Sprint("m", i)
			r.step(arrival(id, 0))
			for _, a := range r.step(r.result(id, "a", Reset, func(e *Result) { e.StaleConn = stale })) {
				h, ok := a.(Health)
				Healthy = Healthy && !(ok && h.Unwell)
			}
			r.advance(time.Second)
		}
		if Healthy != stale {
			t.Errorf("resets with StaleConn %v: healthy is %v", stale, Healthy)
		}
	}
}

// TestMessagesOverTenantShareGoLast guards against a tenant that floods the relay and displaces
// those within their shares: their messages go before those over a share, which are refused first.
func TestMessagesOverTenantShareGoLast(t *testing.T) {
	s := settings()
	s.Workers, s.MaxPending = 1, 20
	s.Tenants, s.OverShareFactor = []Tenant{{Quota: 4}, {Quota: 4}}, 0.05
	r := newHarness(t, s, ready("a", 1, 0, 0))
	var events []Event
	for i := range 18 {
		events = append(events, arrival(fmt.Sprint("flood", i), 0))
	}
	r.step(events...)
	r.advance(3 * time.Second) // the flood is worth less now than when it arrived
	var acts []Action
	for i := range 3 {
		m := arrival(fmt.Sprint("m", i), 0)
		m.Tenant = 1
		acts = append(acts, r.step(m)...)
	}
	if refused := finalAnswers(acts); refused == "" || strings.Contains(refused, "refuse m") {
		t.Errorf("answers while too many are pending: %q, want some of the flood refused", refused)
	}
	acts = append(r.step(r.result("flood0", "a", Served)), r.advance(time.Second)...)
	next := sends(acts)
	// Three more of the flood are within its share; the rest is not.
	for i := range 6 {
		if len(next) == 0 {
			t.Fatalf("nothing was sent as number %d", i)
		}
		if id := next[0].ID; strings.HasPrefix(id, "flood") &&
			!slices.Contains([]string{"flood1", "flood2", "flood3"}, id) {
			t.Fatalf("%s was sent as number %d, before messages within their share", id, i)
		}
		acts = append(r.step(r.result(next[0].ID, "a", Served)), r.advance(time.Second)...)
		next = sends(acts)
	}
}

func TestSettingsAreChecked(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"workers": func(s *Settings) { s.Workers = 0 }, "fleet": func(s *Settings) { s.Fleet = 0 },
		"classes": func(s *Settings) { s.Classes = nil }, "aim": func(s *Settings) { s.Classes[0].Aim = 0 },
		"tick": func(s *Settings) { s.Tick = 0 }, "fall": func(s *Settings) { s.Rules.OverloadWindow = 0 },
	} {
		s := settings()
		change(&s)
		if _, err := New(s, 1); err == nil {
			t.Errorf("%s: no error for a setting out of range", name)
		}
	}
}

// TestLargeFleetSpacesTrials checks that a relay whose share of the budget is less than one call in
// the overload window sends less than one call in it.
func TestLargeFleetSpacesTrials(t *testing.T) {
	s := settings()
	s.Fleet, s.Workers = 12, 100
	h := ready("a", 1, 0, 0)
	h.Rate = 4
	r := newHarness(t, s, h)
	for _, id := range []string{"x", "y"} {
		r.advance(time.Second)
		r.step(arrival(id, 2))
		r.now += 50 * ms
		r.step(r.result(id, "a", Error))
	}
	var events []Event
	for i := range 20 {
		events = append(events, arrival(fmt.Sprint(i), 0))
	}
	trials := 0
	out := sends(r.step(events...))
	for end := r.now + 8*time.Second; r.now < end; {
		var ends []Event
		for _, o := range out {
			trials++
			ends = append(ends, r.result(o.ID, "a", NoConnection))
		}
		r.now += 5 * ms
		out = sends(r.step(append(ends, Woken{})...))
	}
	// Within twice this relay's share of the budget: 2 x 2 x 0.2 x 4 x 2 s / 12 relays, for four
	// windows, once the first delays have grown.
	if trials < 1 || trials > 7 {
		t.Errorf("%d trials in eight seconds, want one to seven", trials)
	}
}

// TestWaitingMessagesRaiseTimeout checks that while messages wait for the destination, a call is
// given up only when it is very likely lost.
func TestWaitingMessagesRaiseTimeout(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	for i := range 4 * minSamples {
		id := fmt.Sprint("w", i)
		r.step(arrival(id, 0))
		r.now += 50 * ms
		r.step(r.result(id, "a", Served, func(e *Result) {
			if e.Took = 100 * ms; i%8 == 0 {
				e.Took = 1900 * ms // a tail that an early time-out would cut off
			}
		}))
	}
	quiet := sends(r.step(arrival("m", 0)))[0].Timeout
	var events []Event
	for i := range 12 {
		events = append(events, arrival(fmt.Sprint(i), 0))
	}
	busy := sends(r.step(events...))[0].Timeout
	if quiet >= 1900*ms || busy < 1900*ms {
		t.Errorf("time-out %v without and %v with a backlog, want it below and above the tail of 1.9s", quiet, busy)
	}
}

// TestLostCallIsCancelled checks that a call that nobody answers is cancelled when a slot is
// needed, even while its destination goes on serving others.
func TestLostCallIsCancelled(t *testing.T) {
	s := settings()
	s.Workers = 3
	r := newHarness(t, s, ready("a", 1, 0, 0), ready("b", 2, 0, 0), ready("c", 3, 0, 0))
	r.step(arrival("lost", 2))
	var out []Send
	for i := range 200 {
		var events []Event
		for _, x := range out {
			events = append(events, r.result(x.ID, x.Host, Served))
		}
		for dest := 1; dest <= 3; dest++ {
			for k := range 2 {
				m := arrival(fmt.Sprint(i, dest, k), 0)
				m.Dest = dest
				events = append(events, m)
			}
		}
		acts := r.step(events...)
		for _, a := range acts {
			if c, ok := a.(Cancel); ok && c.ID == "lost" {
				return
			}
		}
		out = sends(acts)
		r.now += 50 * ms
	}
	t.Errorf("the lost call was never cancelled")
}

// TestLargeFleetSpreadsRetriesAfterRefusals checks that relays that call a destination seldom come
// back after growing pauses, and at different times, so that together they get below its limit.
func TestLargeFleetSpreadsRetriesAfterRefusals(t *testing.T) {
	s := settings()
	s.Fleet = 40
	h := ready("a", 1, 0, 0)
	h.Rate = 4
	var first []time.Duration
	for seed := range uint64(5) {
		r := newHarness(t, s, h)
		r.chooser.rand = rand.New(rand.NewPCG(seed, 0))
		r.step(arrival("m", 0))
		start, tries := r.now, 0
		for r.now < start+9*time.Second {
			if r.chooser.messages["m"] != nil && r.chooser.messages["m"].call != nil {
				r.step(r.result("m", "a", Refused))
				tries++
			}
			if r.advance(5 * ms); tries == 1 && r.chooser.messages["m"].call != nil {
				first = append(first, r.now-start)
			}
		}
		if tries > 5 {
			t.Errorf("%d attempts in nine seconds of refusals, want at most five", tries)
		}
	}
	if slices.Sort(first); len(first) < 5 || first[4]-first[0] < 50*ms {
		t.Errorf("second attempts after %v, want them spread", first)
	}
}

// TestRelaysSpreadOverHosts checks that the relays of a large fleet spread over the hosts of a
// destination.
func TestRelaysSpreadOverHosts(t *testing.T) {
	s := settings()
	s.Fleet = 40
	used := map[string]int{}
	for seed := range uint64(20) {
		c, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		a, b := ready("a", 1, 0, 0), ready("b", 1, 0, 0)
		a.Rate, b.Rate = 4, 4
		acts := c.Step(time.Hour, []Event{ListUpdate{Complete: true, Hosts: []Host{a, b}}, arrival("m", 0)})
		used[sends(acts)[0].Host]++
	}
	if used["a"] < 4 || used["b"] < 4 {
		t.Errorf("first calls of 20 relays went to %v, want both hosts well used", used)
	}
}

// TestPausesLengthenWhereRetriesFail checks that the pause grows to the even interval at once where
// calls after a refusal are hardly ever served, as where refused calls use up the limit.
func TestPausesLengthenWhereRetriesFail(t *testing.T) {
	s := settings()
	s.Fleet = 40
	h := ready("a", 1, 0, 0)
	h.Rate = 4
	pause := func(luck float64) time.Duration {
		r := newHarness(t, s, h)
		r.chooser.retrySuccess[0] = luck
		r.step(arrival("m", 0))
		r.now += 50 * ms
		r.step(r.result("m", "a", Refused))
		return r.chooser.dests[1].units[0].pauseUntil - r.now
	}
	if often, never := pause(0.5), pause(0.05); often > 2*time.Second || never < 5*time.Second {
		t.Errorf("pauses %v where retries are served and %v where not, want under 2s and over 5s", often, never)
	}
}

// TestCancelLimitGrowsWithAttempts checks that each further attempt of a message is cancelled later
// than the one before, so that slow calls are served in the end.
func TestCancelLimitGrowsWithAttempts(t *testing.T) {
	s := settings()
	s.Workers, s.MaxPending = 2, 1000
	r := newHarness(t, s, ready("slow", 1, 0, 0), ready("b", 2, 0, 0), ready("c", 3, 0, 0))
	var took []time.Duration
	var events []Event
	events = append(events, arrival("m", 0))
	sent := r.now
	for i := 0; r.now < sent+9*time.Second && len(took) < 2; i++ {
		for dest := 2; dest <= 3; dest++ {
			m := arrival(fmt.Sprint(i, dest), 0)
			m.Dest = dest
			events = append(events, m)
		}
		acts := r.step(events...)
		events = nil
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				if a.ID == "m" {
					sent = r.now
				} else {
					events = append(events, r.result(a.ID, a.Host, Served))
				}
			case Cancel:
				took = append(took, r.now-sent)
				events = append(events, r.result(a.ID, "slow", Cancelled))
			}
		}
		r.now += 50 * ms
	}
	if len(took) < 2 || took[1] < took[0]*3/2 {
		t.Errorf("attempts were cancelled after %v, want the second after half as long again at least", took)
	}
}

// TestFirstFailureInALargeFleetIsAnOutage checks that a relay of a large fleet, with nothing served
// lately, takes the first failure for an outage and does not try again at once; a relay of a small
// fleet goes on.
func TestFirstFailureInALargeFleetIsAnOutage(t *testing.T) {
	for fleet, want := range map[int]UnitState{2: Healthy, 40: Suspect} {
		s := settings()
		s.Fleet = fleet
		h := ready("a", 1, 0, 0)
		h.Rate = 4
		r := newHarness(t, s, h)
		r.advance(5 * time.Second)
		r.step(arrival("m", 0))
		r.step(r.result("m", "a", NoConnection))
		if got := r.chooser.dests[1].units[0].state; got != want {
			t.Errorf("fleet of %d: health %v after the first failure, want %v", fleet, got, want)
		}
		if n := len(sends(r.advance(5 * time.Second))); want == Suspect && n > 0 {
			t.Errorf("fleet of %d: %d calls within 5s of the first failure, want none", fleet, n)
		}
	}
}

// TestStalledRelaySuspectsNoDestination checks that outcomes that come all at once after a gap are
// handled before anything is judged, so that the relay's own stall does not pass for a silent
// destination.
func TestStalledRelaySuspectsNoDestination(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0), ready("b", 2, 0, 0))
	other := arrival("n", 0)
	other.Dest = 2
	r.step(arrival("m", 0), other)
	r.now += 5 * time.Second
	r.step(Woken{}, r.result("m", "a", Served), r.result("n", "b", Served))
	for id, d := range r.chooser.dests {
		if got := d.units[0].state; got != Healthy {
			t.Errorf("destination %d: health %v after the relay's own stall, want healthy", id, got)
		}
	}
}

// TestListOfThousandsOfHosts checks that thousands of hosts, listed twice, need no latency table
// each and leave the relay able to send, and that removed hosts are forgotten.
func TestListOfThousandsOfHosts(t *testing.T) {
	var hosts, gone []Host
	for i := range 5000 {
		h := ready(fmt.Sprint("h", i), i, 0, 0)
		hosts = append(hosts, h)
		h.State = Removed
		gone = append(gone, h)
	}
	r := newHarness(t, settings(), hosts...)
	r.step(ListUpdate{Complete: true, Hosts: hosts})
	m := arrival("m", 0)
	m.Dest = 4999
	if got := sends(r.step(m)); len(got) != 1 || got[0].Host != "h4999" {
		t.Fatalf("sends %v, want one to h4999", got)
	}
	for id, d := range r.chooser.dests {
		if d.latencies.counts != nil {
			t.Fatalf("destination %d has a table before its first answer", id)
		}
	}
	r.step(r.result("m", "h4999", Served))
	r.step(ListUpdate{Hosts: gone})
	if len(r.chooser.dests) != 0 || len(r.chooser.hosts) != 0 {
		t.Errorf("%d destinations and %d hosts stored after all were removed", len(r.chooser.dests), len(r.chooser.hosts))
	}
}

// TestAnswerFromBeforeRetryAfterIsNoRecovery guards against overloading a destination that returns
// cold: the answer of a call sent before it went down, which comes during the retry-after time, is
// no sign that it is healthy.
func TestAnswerFromBeforeRetryAfterIsNoRecovery(t *testing.T) {
	s := settings()
	s.Workers, s.MaxPending = 100, 1000
	r := newHarness(t, s, ready("a", 1, 0, 0))
	if n := len(sends(r.step(arrival("before", 0), arrival("refused", 0)))); n != 2 {
		t.Fatalf("%d sends, want 2", n)
	}
	r.now += 50 * ms
	r.step(r.result("refused", "a", Refused, func(e *Result) { e.RetryAfter = 5 * time.Second }))
	r.now += 50 * ms
	r.step(r.result("before", "a", Served))
	for i := range 300 {
		r.step(arrival(fmt.Sprint("m", i), 0))
	}
	r.advance(4800 * ms)
	var sent int
	for range 400 { // 2 s: its share of the cold budget is 0.9 x 2 x 0.36 x 100 x 2 s / 2 at most
		for _, a := range sends(r.advance(5 * ms)) {
			sent++
			r.step(r.result(a.ID, "a", Served))
		}
	}
	if sent == 0 || sent > 65 {
		t.Errorf("%d calls in the first 2 s after the retry-after time, want 1 to 65", sent)
	}
}
