package choice

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

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
