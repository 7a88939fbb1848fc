package choice

import (
	"testing"
	"time"
)

// TestExpiredListStopsSending guards against messages sent by a list that may be too old, and
// against messages forgotten once it is renewed: they wait, end within their time, and go as soon
// as the list may be acted on again.
func TestExpiredListStopsSending(t *testing.T) {
	all := settings()
	all.Workers = 40
	r := newHarness(t, all, Host{Addr: "a", Dest: 1, Rate: 100, State: Ready})
	first := r.step(arrival("m1", 0))
	if len(sends(first)) != 1 {
		t.Fatalf("%v sent at first, want one", sends(first))
	}
	r.step(ListExpiry{Expired: true}, r.result("m1", "a", Served))
	for i := range 5 {
		r.now += time.Second / 5
		if acts := r.step(Woken{}, arrival(string(rune('p'+i)), 0)); len(sends(acts)) > 0 {
			t.Errorf("%v sent while the list is expired", sends(acts))
		}
	}
	if acts := r.step(ListUpdate{Hosts: []Host{{Addr: "b", Dest: 1, Rate: 100, State: Ready}}}); len(sends(acts)) > 0 {
		t.Errorf("%v sent after a change of an expired list", sends(acts))
	}
	if acts := r.step(ListExpiry{}); len(sends(acts)) != 5 {
		t.Errorf("%v sent after the list is valid again, want five", sends(acts))
	}
}

// While discovery was down or overloaded, relays that had reached their limit of pending messages
// evicted an accepted message for each arrival, although neither could be sent. An evicted message
// costs three tenths of its worth: 0.028 to 0.044 of the score G in the scenario herd+mass, the
// second largest loss of that run after messages not served.

// TestPendingMessagesStayWhileListIsExpired guards against messages evicted for others that cannot
// be sent either: new arrivals are refused, and only messages that were pending for most of their
// time may be evicted.
func TestPendingMessagesStayWhileListIsExpired(t *testing.T) {
	all := settings()
	all.MaxPending = 10
	deadline := all.Classes[0].Deadline
	r := newHarness(t, all, Host{Addr: "a", Dest: 1, Rate: 100, State: Ready})
	r.step(ListExpiry{Expired: true})
	refusedOf := func(acts []Action) (ids []string) {
		for _, a := range acts {
			if refusal, ok := a.(Refuse); ok {
				ids = append(ids, refusal.ID)
			}
		}
		return ids
	}
	for i := range 9 {
		r.now += time.Millisecond
		if ids := refusedOf(r.step(arrival(string(rune('a'+i)), 0))); len(ids) > 0 {
			t.Fatalf("%v refused below the limit of pending messages", ids)
		}
	}
	r.now += deadline / 2
	if ids := refusedOf(r.step(arrival("new", 0))); len(ids) != 1 || ids[0] != "new" {
		t.Errorf("%v refused at the limit of pending messages, want the new one", ids)
	}
	r.now += deadline/4 + 10*time.Millisecond // three quarters of the time of the pending messages
	if ids := refusedOf(r.step(arrival("newer", 0))); len(ids) != 1 || ids[0] == "newer" {
		t.Errorf("%v refused, want one that was pending for most of its time", ids)
	}
}
