package choice

import (
	"fmt"
	"testing"
	"time"
)

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
