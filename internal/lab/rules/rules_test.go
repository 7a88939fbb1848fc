package rules

import (
	"testing"
	"time"

	"larchrouter/internal/lab/history"
)

// play has a checker read events; the first tells the terms. Times are milliseconds.
func play(events ...history.Event) *Report {
	c := New()
	c.See(history.Event{Kind: history.Run, Terms: &history.Terms{MaxAttempts: 3, DrainGrace: time.Second, AskWithin: 10 * time.Second,
		Zones: map[string]string{"endpoint/0": "a", "endpoint/1": "b", "endpoint/2": "a"},
		Classes: []history.Class{{Name: "keyed", Effect: "deduplicated", Window: 2 * time.Second, Aim: time.Second, Deadline: 4 * time.Second, Worth: 1, LateShare: 0.3},
			{Name: "zoned", Effect: "deduplicated", SameZone: true, Window: 2 * time.Second, Aim: time.Second, Deadline: 4 * time.Second, Worth: 1},
			{Name: "unsafe", Effect: "at_most_once", Aim: time.Second, Deadline: 4 * time.Second, Worth: 1}},
		Limits: map[string]history.Limits{"relay/0": {MemoryMB: 64, Sockets: 100, DiskMB: 3}}}})
	for _, e := range append([]history.Event{{Kind: history.ProcessChanged, Proc: "relay/0", Detail: "start"}, {At: 1, Kind: history.ProcessChanged, Proc: "relay/0", Detail: "ready"}}, events...) {
		e.At, e.BegunAt, e.CompleteAt = e.At*ms, e.BegunAt*ms, e.CompleteAt*ms
		if e.Relay == "" {
			e.Relay = "relay/0"
		}
		c.See(e)
	}
	c.See(history.Event{At: 60000 * ms, Kind: history.End})
	return c.Close()
}

func hand(t int64, id, class string) history.Event {
	return history.Event{At: t, Kind: history.RequestSent, ID: id, FirstID: id, Class: class, LeftMs: 4000, BodySum: "s"}
}
func heard(t int64, id string, status int) history.Event {
	return history.Event{At: t, Kind: history.AnswerReceived, ID: id, Status: status}
}
func sentAs(t, n int64, id, endpoint string) history.Event {
	return history.Event{At: t, Kind: history.CallReceived, Call: n, IDs: []string{id}, BodySums: []string{"s"}, Endpoint: endpoint, BegunAt: t, CompleteAt: t}
}
func answer(t, n int64, status int) history.Event {
	return history.Event{At: t, Kind: history.CallAnswered, Call: n, Status: status}
}
func told(t, n int64, wait int64) history.Event {
	return history.Event{At: t, Kind: history.CallAnswered, Call: n, Status: 429, WaitMs: wait}
}
func gone(t, n int64) history.Event {
	return history.Event{At: t, Kind: history.CallAbandoned, Call: n}
}
func notice(t int64, id, how string) history.Event {
	return history.Event{At: t, Kind: history.NoticeReceived, ID: id, Detail: how}
}
func proc(t int64, how string) history.Event {
	return history.Event{At: t, Kind: history.ProcessChanged, Proc: "relay/0", Detail: how}
}

// Each rule on a history that keeps it by a hair, and on one that just breaks it.
func TestRules(t *testing.T) {
	taken := func(class string, rest ...history.Event) []history.Event {
		return append([]history.Event{hand(100, "m", class), heard(110, "m", 202)}, rest...)
	}
	drain := history.Event{At: 50, Kind: history.ListChanged, Version: 2, Endpoint: "endpoint/0", State: "leaving"}
	hears := func(t int64) history.Event { return history.Event{At: t, Kind: history.ListSent, Version: 2} }
	asks := history.Event{At: 60, Kind: history.ListRequested}
	ban := func(t int64, how string, status int) history.Event {
		return history.Event{At: t, Kind: history.OperatorCall, Endpoint: "endpoint/0", Detail: how, Status: status}
	}
	held := sentAs(3000, 1, "m", "endpoint/0") // a cut held it up
	held.BegunAt, held.CompleteAt = 200, 200
	figures := func(t int64, served, attempts float64) history.Event {
		return history.Event{At: t, CompleteAt: t, Kind: history.Metrics, Proc: "relay/0",
			Values: map[string]float64{"svc.requests.keyed.served": served, "svc.attempts": attempts}}
	}
	use := func(mb float64) history.Event {
		return history.Event{At: 100, Kind: history.Sample, Proc: "relay/0", Values: map[string]float64{"memory_mb": mb}}
	}
	strange := func(t int64, status int, state string) history.Event {
		return history.Event{At: t, Kind: history.Stranger, BegunAt: 100, LeftMs: 3000, Status: status, State: state}
	}
	unreadable := func(t, n int64, status int) history.Event {
		return history.Event{At: t, Kind: history.CallAnswered, Call: n, Status: status, Detail: history.Unreadable}
	}
	served := []history.Event{sentAs(200, 1, "m", "endpoint/0"), answer(300, 1, 200)}
	for name, c := range map[string]struct {
		rule   Rule // that is broken; empty for none
		events []history.Event
	}{
		"delivered":                       {"", taken("keyed", served...)},
		"never ended":                     {End, taken("keyed")},
		"ended in time":                   {"", taken("keyed", notice(4440, "m", "undeliverable"))},
		"ended late":                      {End, taken("keyed", notice(4460, "m", "undeliverable"))},
		"refused, so nothing is owed":     {"", []history.Event{hand(100, "m", "keyed"), heard(110, "m", 503)}},
		"client left, so nothing is owed": {"", []history.Event{hand(100, "m", "keyed"), {At: 500, Kind: history.ClientLeft, ID: "m"}, heard(510, "m", 202)}},
		"late for a restart":              {"", taken("keyed", proc(4000, "kill"), proc(4900, "start"), proc(5000, "ready"), notice(6500, "m", "deferred"))},
		"too late after a restart":        {End, taken("keyed", proc(4000, "kill"), proc(4900, "start"), proc(5000, "ready"), notice(6600, "m", "deferred"))},
		"notice told again":               {"", taken("keyed", notice(1000, "m", "deferred"), notice(1100, "m", "deferred"))},
		"two ends":                        {Once, taken("keyed", notice(1000, "m", "deferred"), notice(1100, "m", "undeliverable"))},
		"an end after delivery":           {Once, taken("keyed", append(served, notice(400, "m", "undeliverable"))...)},
		"an end that crosses delivery":    {"", taken("keyed", append(served, notice(340, "m", "undeliverable"))...)},
		"given up as its answer came":     {"", taken("keyed", append(served, gone(320, 1), sentAs(400, 2, "m", "endpoint/1"), answer(500, 2, 200))...)},
		"given up well after its answer":  {Once, taken("keyed", append(served, gone(360, 1), sentAs(400, 2, "m", "endpoint/1"), answer(500, 2, 200))...)},
		"an end as the answer came":       {"", taken("keyed", append(served, gone(320, 1), notice(400, "m", "undeliverable"))...)},
		"an end told by the next process": {"", taken("keyed", append(served, proc(310, "kill"), proc(400, "start"), proc(500, "ready"), notice(600, "m", "undeliverable"))...)},
		"sent after delivery":             {Once, taken("keyed", append(served, sentAs(400, 2, "m", "endpoint/1"), answer(500, 2, 200))...)},
		"sent after its end":              {Once, taken("keyed", notice(1000, "m", "deferred"), sentAs(1100, 2, "m", "endpoint/1"), answer(1200, 2, 200))},
		"two attempts out":                {Twice, taken("keyed", sentAs(200, 1, "m", "endpoint/0"), sentAs(300, 2, "m", "endpoint/1"), answer(400, 2, 200), gone(410, 1))},
		"one closed as the next went":     {"", taken("keyed", sentAs(200, 1, "m", "endpoint/0"), sentAs(300, 2, "m", "endpoint/1"), gone(340, 1), answer(400, 2, 200))},
		"one held up by a cut":            {"", taken("keyed", sentAs(600, 2, "m", "endpoint/1"), answer(700, 2, 200), held, gone(500, 1))},
		"two out, one held up by a cut":   {Twice, taken("keyed", sentAs(600, 2, "m", "endpoint/1"), answer(900, 2, 200), held, gone(800, 1))},
		"repeated in its window":          {"", taken("keyed", sentAs(200, 1, "m", "endpoint/0"), gone(300, 1), sentAs(2240, 2, "m", "endpoint/1"), answer(2300, 2, 200))},
		"repeated after its window":       {Repeat, taken("keyed", sentAs(200, 1, "m", "endpoint/0"), gone(300, 1), sentAs(2260, 2, "m", "endpoint/1"), answer(2300, 2, 200))},
		"a refusal does not start it":     {"", taken("keyed", sentAs(200, 1, "m", "endpoint/0"), answer(300, 1, 503), sentAs(2900, 2, "m", "endpoint/1"), answer(3000, 2, 200))},
		"repeated in its zone":            {"", taken("zoned", sentAs(200, 1, "m", "endpoint/0"), gone(300, 1), sentAs(400, 2, "m", "endpoint/2"), answer(500, 2, 200))},
		"repeated in another zone":        {Repeat, taken("zoned", sentAs(200, 1, "m", "endpoint/0"), gone(300, 1), sentAs(400, 2, "m", "endpoint/1"), answer(500, 2, 200))},
		"unsafe sent again, never ran":    {"", taken("unsafe", sentAs(200, 1, "m", "endpoint/0"), answer(300, 1, 503), sentAs(400, 2, "m", "endpoint/1"), answer(500, 2, 200))},
		"unsafe sent again":               {Repeat, taken("unsafe", sentAs(200, 1, "m", "endpoint/0"), answer(300, 1, 500), sentAs(400, 2, "m", "endpoint/1"), answer(500, 2, 200))},
		"unsafe handed back":              {Repeat, taken("unsafe", sentAs(200, 1, "m", "endpoint/0"), gone(300, 1), notice(400, "m", "deferred"))},
		"unsafe given up":                 {"", taken("unsafe", sentAs(200, 1, "m", "endpoint/0"), gone(300, 1), notice(400, "m", "undeliverable"))},
		"keyed handed back":               {"", taken("keyed", sentAs(200, 1, "m", "endpoint/0"), gone(300, 1), notice(400, "m", "deferred"))},
		"three attempts": {"", taken("keyed", sentAs(200, 1, "m", "endpoint/0"), answer(210, 1, 503), sentAs(300, 2, "m", "endpoint/0"), answer(310, 2, 503),
			sentAs(400, 3, "m", "endpoint/0"), answer(410, 3, 200))},
		"four attempts": {Attempts, taken("keyed", sentAs(200, 1, "m", "endpoint/0"), answer(210, 1, 503), sentAs(300, 2, "m", "endpoint/0"), answer(310, 2, 503),
			sentAs(400, 3, "m", "endpoint/0"), answer(410, 3, 503), sentAs(500, 4, "m", "endpoint/0"), answer(510, 4, 200))},
		"sent as a wait is told":         {"", append(taken("keyed", sentAs(200, 1, "m", "endpoint/0"), told(300, 1, 1000)), hand(310, "n", "keyed"), sentAs(440, 2, "n", "endpoint/0"), answer(450, 2, 200), notice(1500, "m", "deferred"))},
		"sent in a wait":                 {Wait, append(taken("keyed", sentAs(200, 1, "m", "endpoint/0"), told(300, 1, 1000)), hand(310, "n", "keyed"), sentAs(460, 2, "n", "endpoint/1"), answer(470, 2, 200), notice(1500, "m", "deferred"))},
		"a wait that nobody read":        {"", taken("keyed", sentAs(200, 1, "m", "endpoint/0"), told(300, 1, 1000), gone(320, 1), sentAs(600, 2, "m", "endpoint/1"), answer(700, 2, 200))},
		"sent as a wait ends":            {"", taken("keyed", sentAs(200, 1, "m", "endpoint/0"), told(300, 1, 1000), sentAs(1260, 2, "m", "endpoint/0"), answer(1300, 2, 200))},
		"a restart ends the wait":        {"", taken("keyed", sentAs(200, 1, "m", "endpoint/0"), told(300, 1, 1000), proc(400, "kill"), proc(450, "start"), proc(460, "ready"), sentAs(600, 2, "m", "endpoint/0"), answer(700, 2, 200))},
		"an upgrade does not":            {Wait, taken("keyed", sentAs(200, 1, "m", "endpoint/0"), told(300, 1, 1000), history.Event{At: 450, Kind: history.ProcessChanged, Proc: "relay/0", Detail: "start", Text: "beside"}, proc(460, "ready"), sentAs(600, 2, "m", "endpoint/0"), answer(700, 2, 200))},
		"sent in the grace of a drain":   {"", append([]history.Event{drain, asks, hears(70)}, hand(100, "m", "keyed"), sentAs(1110, 1, "m", "endpoint/0"), answer(1200, 1, 200))},
		"sent after a drain":             {Drain, append([]history.Event{drain, asks, hears(70)}, hand(100, "m", "keyed"), sentAs(1130, 1, "m", "endpoint/0"), answer(1200, 1, 200))},
		"never told of the drain":        {"", append([]history.Event{drain, asks}, hand(100, "m", "keyed"), sentAs(3000, 1, "m", "endpoint/0"), answer(3100, 1, 200))},
		"never asked for the list":       {Drain, append([]history.Event{drain}, hand(9000, "m", "keyed"), sentAs(12000, 1, "m", "endpoint/0"), answer(12100, 1, 200))},
		"told while it stood still":      {"", append([]history.Event{drain, asks, proc(65, "stop"), hears(70), proc(3000, "cont")}, hand(100, "m", "keyed"), sentAs(3900, 1, "m", "endpoint/0"), answer(4000, 1, 200))},
		"sent after a ban":               {Drain, []history.Event{ban(50, "disable", 200), hand(100, "m", "keyed"), sentAs(1200, 1, "m", "endpoint/0"), answer(1300, 1, 200)}},
		"a ban that was refused":         {"", []history.Event{ban(50, "disable", 404), hand(100, "m", "keyed"), sentAs(1200, 1, "m", "endpoint/0"), answer(1300, 1, 200)}},
		"sent after it is given back":    {"", []history.Event{ban(50, "disable", 200), ban(1000, "enable", 0), hand(100, "m", "keyed"), sentAs(1200, 1, "m", "endpoint/0"), answer(1300, 1, 200)}},
		"held up until it is forgotten":  {"", []history.Event{{At: 9000, Kind: history.CallReceived, Call: 1, IDs: []string{"m"}, BodySums: []string{"s"}, Endpoint: "endpoint/0", BegunAt: 3900, CompleteAt: 3900}}},
		"of nobody":                      {Own, []history.Event{sentAs(200, 1, "m", "endpoint/0"), answer(210, 1, 200)}},
		"a changed body":                 {Own, []history.Event{hand(100, "m", "keyed"), {At: 200, Kind: history.CallReceived, Call: 1, IDs: []string{"m"}, BodySums: []string{"x"}, Endpoint: "endpoint/0", BegunAt: 200, CompleteAt: 200}}},
		"another destination":            {Own, []history.Event{hand(100, "m", "keyed"), {At: 200, Kind: history.CallReceived, Call: 1, IDs: []string{"m"}, BodySums: []string{"s"}, Dest: 3, Endpoint: "endpoint/0", BegunAt: 200, CompleteAt: 200}}},
		"what could not be read":         {Own, []history.Event{{At: 100, Kind: history.InvalidCall, Endpoint: "endpoint/0"}}},
		"figures within bounds":          {"", taken("keyed", append(served, figures(1000, 4, 4))...)},
		"served told too high":           {Figures, taken("keyed", append(served, figures(1000, 5, 1))...)},
		"attempts told too high":         {Figures, taken("keyed", append(served, figures(1000, 1, 5))...)},
		"attempts nobody got":            {"", append([]history.Event{{At: 20, Kind: history.Fault, Detail: "begin", State: history.Lossy}}, taken("keyed", append(served, figures(1000, 1, 50))...)...)},
		"ended unasked":                  {Process, []history.Event{proc(100, "crash")}},
		"over a limit":                   {Process, []history.Event{use(65)}},
		"within it":                      {"", []history.Event{use(63)}},
		"a stranger closed in time":      {"", []history.Event{strange(3140, 0, "closed")}},
		"a stranger told in time":        {"", []history.Event{strange(3140, 400, "answered")}},
		"a stranger closed late":         {Strange, []history.Event{strange(3160, 0, "closed")}},
		"a stranger that waits":          {Strange, []history.Event{strange(3100, 0, "waits")}},
		"a stranger taken on":            {Strange, []history.Event{strange(200, 202, "answered")}},
		"a stranger in a pause":          {"", []history.Event{proc(50, "stop"), proc(300, "cont"), strange(3500, 0, "waits")}},
		"an answer nobody can read":      {"", taken("keyed", sentAs(200, 1, "m", "endpoint/0"), unreadable(300, 1, 0), sentAs(400, 2, "m", "endpoint/0"), answer(500, 2, 200))},
		"not taken for a delivery":       {End, taken("keyed", sentAs(200, 1, "m", "endpoint/0"), unreadable(300, 1, 0))},
		"it may have run":                {Repeat, taken("unsafe", sentAs(200, 1, "m", "endpoint/0"), unreadable(300, 1, 0), sentAs(400, 2, "m", "endpoint/0"), answer(500, 2, 200))},
		"true if its first line says so": {"", taken("keyed", sentAs(200, 1, "m", "endpoint/0"), unreadable(300, 1, 200))},
	} {
		r := play(c.events...)
		for rule, n := range r.Broken {
			if rule != c.rule {
				t.Errorf("%s: %s is broken %d times: %v", name, rule, n, r.Shown)
			}
		}
		if c.rule != "" && r.Broken[c.rule] == 0 {
			t.Errorf("%s: %s is not seen to be broken", name, c.rule)
		}
		for _, b := range r.Shown {
			if b.Text == "" || b.Rule != Process && len(b.Lines) == 0 {
				t.Errorf("%s: it is not told what shows it: %v", name, b)
			}
		}
	}
}

// Guards against a share of the worth that counts a message twice, or not at all.
func TestServed(t *testing.T) {
	again := hand(1000, "m2", "keyed")
	again.FirstID = "m1"
	r := play(
		hand(100, "m1", "keyed"), heard(110, "m1", 503), again, heard(1010, "m2", 202), sentAs(1100, 1, "m2", "endpoint/0"), answer(1600, 1, 200), // after 1.5 s of an aim of 1 s
		hand(100, "n", "keyed"), heard(110, "n", 202), sentAs(200, 2, "n", "endpoint/0"), answer(300, 2, 200),
		hand(100, "o", "keyed"), history.Event{At: 500, Kind: history.ClientLeft, ID: "o"},
		hand(100, "p", "keyed"), heard(110, "p", 202), notice(1000, "p", "undeliverable"))
	want := (0.7071 + 1) / 4
	if r.Asked != 4 || r.InTime != 1 || r.Late != 1 || r.Unheard != 1 || r.Failed != 1 || r.Served < want-0.001 || r.Served > want+0.001 {
		t.Errorf("%s, want %.3f of 4", r, want)
	}
}

// Guards against memory that grows with a run.
func TestForgets(t *testing.T) {
	c := New()
	c.See(history.Event{Kind: history.Run, Terms: &history.Terms{MaxAttempts: 3, Classes: []history.Class{{Name: "keyed", Effect: "deduplicated", Aim: time.Second, Deadline: 4 * time.Second, Worth: 1}}}})
	for i := range int64(20000) {
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		at := i * 10
		for _, e := range []history.Event{hand(at, id, "keyed"), heard(at+1, id, 202), sentAs(at+2, i+1, id, "endpoint/0"), answer(at+3, i+1, 200)} {
			e.At, e.BegunAt, e.CompleteAt = e.At*ms, e.BegunAt*ms, e.CompleteAt*ms
			c.See(e)
		}
	}
	if n := len(c.msgs) + len(c.calls) + len(c.wants) + len(c.due); n > 8000 {
		t.Errorf("%d things are held after 200 s of 100 messages a second", n)
	}
}
