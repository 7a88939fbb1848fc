package choice

import (
	"testing"
	"time"
)

// Guards against messages sent by a list that may be too old, and against ones that nobody looks at any more once it is
// renewed: they wait, end within their time, and go as soon as a list may be acted on again.
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
			t.Errorf("%v sent by an expired list", sends(acts))
		}
	}
	if acts := r.step(ListUpdate{Hosts: []Host{{Addr: "b", Dest: 1, Rate: 100, State: Ready}}}); len(sends(acts)) > 0 {
		t.Errorf("%v sent by an expired list that changed", sends(acts))
	}
	if acts := r.step(ListExpiry{}); len(sends(acts)) != 5 {
		t.Errorf("%v sent as the list may be acted on again, want five", sends(acts))
	}
}

// The story of this test: while discovery was away or crowded, relays held all that came until their room was full, and then handed
// back a message that they had taken on for each one that came, which is priced at three tenths of its worth: 0.028 to 0.044 of
// G on herd+mass, the second largest loss of that day after what was not served. Nothing was gained by it, for neither could be sent.

// Guards against messages that are handed back for others that cannot be sent either: what comes is turned away, and only what has
// been kept for most of its time gives way.
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
			t.Fatalf("%v refused though there is room", ids)
		}
	}
	r.now += deadline / 2
	if ids := refusedOf(r.step(arrival("new", 0))); len(ids) != 1 || ids[0] != "new" {
		t.Errorf("%v refused in a room full of what is held, want what comes", ids)
	}
	r.now += deadline/4 + 10*time.Millisecond // three quarters of the time of those held
	if ids := refusedOf(r.step(arrival("newer", 0))); len(ids) != 1 || ids[0] == "newer" {
		t.Errorf("%v refused, want one whose time is mostly up", ids)
	}
}
