package rules

import (
	"testing"
	"time"

	"larchrouter/internal/lab/history"
)

// reportOf returns a checker's report on the events, preceded by one with the terms. Times are in milliseconds.
func reportOf(events ...history.Event) *Report {
	checker := New()
	checker.Observe(history.Event{Kind: history.Run, Terms: &history.Terms{MaxAttempts: 3, DrainGrace: time.Second, AskWithin: 10 * time.Second,
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
		checker.Observe(e)
	}
	checker.Observe(history.Event{At: 60000 * ms, Kind: history.End})
	return checker.Close()
}

func submitted(t int64, id, class string) history.Event {
	return history.Event{At: t, Kind: history.RequestSent, ID: id, FirstID: id, Class: class, LeftMs: 4000, BodySum: "s"}
}
func clientAnswer(t int64, id string, status int) history.Event {
	return history.Event{At: t, Kind: history.AnswerReceived, ID: id, Status: status}
}
func callAt(t, call int64, id, endpoint string) history.Event {
	return history.Event{At: t, Kind: history.CallReceived, Call: call, IDs: []string{id}, BodySums: []string{"s"}, Endpoint: endpoint, BegunAt: t, CompleteAt: t}
}
func callAnswer(t, call int64, status int) history.Event {
	return history.Event{At: t, Kind: history.CallAnswered, Call: call, Status: status}
}
func waitAnswer(t, call int64, wait int64) history.Event {
	return history.Event{At: t, Kind: history.CallAnswered, Call: call, Status: 429, WaitMs: wait}
}
func callClosed(t, call int64) history.Event {
	return history.Event{At: t, Kind: history.CallAbandoned, Call: call}
}
func noticeEvent(t int64, id, how string) history.Event {
	return history.Event{At: t, Kind: history.NoticeReceived, ID: id, Detail: how}
}
func processEvent(t int64, how string) history.Event {
	return history.Event{At: t, Kind: history.ProcessChanged, Proc: "relay/0", Detail: how}
}

// Each rule is checked with a history that just keeps it and with one that just breaks it.
func TestRules(t *testing.T) {
	accepted := func(class string, rest ...history.Event) []history.Event {
		return append([]history.Event{submitted(100, "m", class), clientAnswer(110, "m", 202)}, rest...)
	}
	drain := history.Event{At: 50, Kind: history.ListChanged, Version: 2, Endpoint: "endpoint/0", State: "leaving"}
	listAnswer := func(t int64) history.Event { return history.Event{At: t, Kind: history.ListSent, Version: 2} }
	listCall := history.Event{At: 60, Kind: history.ListRequested}
	operatorCall := func(t int64, how string, status int) history.Event {
		return history.Event{At: t, Kind: history.OperatorCall, Endpoint: "endpoint/0", Detail: how, Status: status}
	}
	delayed := callAt(3000, 1, "m", "endpoint/0") // delayed by a cut link
	delayed.BegunAt, delayed.CompleteAt = 200, 200
	metrics := func(t int64, served, attempts float64) history.Event {
		return history.Event{At: t, CompleteAt: t, Kind: history.Metrics, Proc: "relay/0",
			Values: map[string]float64{"svc.requests.keyed.served": served, "svc.attempts": attempts}}
	}
	usage := func(mb float64) history.Event {
		return history.Event{At: 100, Kind: history.Sample, Proc: "relay/0", Values: map[string]float64{"memory_mb": mb}}
	}
	stranger := func(t int64, status int, state string) history.Event {
		return history.Event{At: t, Kind: history.Stranger, BegunAt: 100, LeftMs: 3000, Status: status, State: state}
	}
	unreadable := func(t, n int64, status int) history.Event {
		return history.Event{At: t, Kind: history.CallAnswered, Call: n, Status: status, Detail: history.Unreadable}
	}
	served := []history.Event{callAt(200, 1, "m", "endpoint/0"), callAnswer(300, 1, 200)}
	for name, c := range map[string]struct {
		rule   Rule // the rule that is broken; empty for none
		events []history.Event
	}{
		"delivered":                           {"", accepted("keyed", served...)},
		"never ended":                         {End, accepted("keyed")},
		"ended in time":                       {"", accepted("keyed", noticeEvent(4440, "m", "undeliverable"))},
		"ended late":                          {End, accepted("keyed", noticeEvent(4460, "m", "undeliverable"))},
		"refused, so no end is due":           {"", []history.Event{submitted(100, "m", "keyed"), clientAnswer(110, "m", 503)}},
		"client left, so no end is due":       {"", []history.Event{submitted(100, "m", "keyed"), {At: 500, Kind: history.ClientLeft, ID: "m"}, clientAnswer(510, "m", 202)}},
		"late for a restart":                  {"", accepted("keyed", processEvent(4000, "kill"), processEvent(4900, "start"), processEvent(5000, "ready"), noticeEvent(6500, "m", "deferred"))},
		"too late after a restart":            {End, accepted("keyed", processEvent(4000, "kill"), processEvent(4900, "start"), processEvent(5000, "ready"), noticeEvent(6600, "m", "deferred"))},
		"notice repeated":                     {"", accepted("keyed", noticeEvent(1000, "m", "deferred"), noticeEvent(1100, "m", "deferred"))},
		"two ends":                            {Once, accepted("keyed", noticeEvent(1000, "m", "deferred"), noticeEvent(1100, "m", "undeliverable"))},
		"an end after delivery":               {Once, accepted("keyed", append(served, noticeEvent(400, "m", "undeliverable"))...)},
		"an end that crosses delivery":        {"", accepted("keyed", append(served, noticeEvent(340, "m", "undeliverable"))...)},
		"given up as its answer came":         {"", accepted("keyed", append(served, callClosed(320, 1), callAt(400, 2, "m", "endpoint/1"), callAnswer(500, 2, 200))...)},
		"given up well after its answer":      {Once, accepted("keyed", append(served, callClosed(360, 1), callAt(400, 2, "m", "endpoint/1"), callAnswer(500, 2, 200))...)},
		"an end as the answer came":           {"", accepted("keyed", append(served, callClosed(320, 1), noticeEvent(400, "m", "undeliverable"))...)},
		"an end reported by the next process": {"", accepted("keyed", append(served, processEvent(310, "kill"), processEvent(400, "start"), processEvent(500, "ready"), noticeEvent(600, "m", "undeliverable"))...)},
		"sent after delivery":                 {Once, accepted("keyed", append(served, callAt(400, 2, "m", "endpoint/1"), callAnswer(500, 2, 200))...)},
		"sent after its end":                  {Once, accepted("keyed", noticeEvent(1000, "m", "deferred"), callAt(1100, 2, "m", "endpoint/1"), callAnswer(1200, 2, 200))},
		"two attempts in flight":              {Twice, accepted("keyed", callAt(200, 1, "m", "endpoint/0"), callAt(300, 2, "m", "endpoint/1"), callAnswer(400, 2, 200), callClosed(410, 1))},
		"one closed as the next went":         {"", accepted("keyed", callAt(200, 1, "m", "endpoint/0"), callAt(300, 2, "m", "endpoint/1"), callClosed(340, 1), callAnswer(400, 2, 200))},
		"one delayed by a cut link":           {"", accepted("keyed", callAt(600, 2, "m", "endpoint/1"), callAnswer(700, 2, 200), delayed, callClosed(500, 1))},
		"two in flight, one delayed by a cut": {Twice, accepted("keyed", callAt(600, 2, "m", "endpoint/1"), callAnswer(900, 2, 200), delayed, callClosed(800, 1))},
		"repeated in its window":              {"", accepted("keyed", callAt(200, 1, "m", "endpoint/0"), callClosed(300, 1), callAt(2240, 2, "m", "endpoint/1"), callAnswer(2300, 2, 200))},
		"repeated after its window":           {Repeat, accepted("keyed", callAt(200, 1, "m", "endpoint/0"), callClosed(300, 1), callAt(2260, 2, "m", "endpoint/1"), callAnswer(2300, 2, 200))},
		"a refusal does not start it":         {"", accepted("keyed", callAt(200, 1, "m", "endpoint/0"), callAnswer(300, 1, 503), callAt(2900, 2, "m", "endpoint/1"), callAnswer(3000, 2, 200))},
		"repeated in its zone":                {"", accepted("zoned", callAt(200, 1, "m", "endpoint/0"), callClosed(300, 1), callAt(400, 2, "m", "endpoint/2"), callAnswer(500, 2, 200))},
		"repeated in another zone":            {Repeat, accepted("zoned", callAt(200, 1, "m", "endpoint/0"), callClosed(300, 1), callAt(400, 2, "m", "endpoint/1"), callAnswer(500, 2, 200))},
		"unsafe sent again, never ran":        {"", accepted("unsafe", callAt(200, 1, "m", "endpoint/0"), callAnswer(300, 1, 503), callAt(400, 2, "m", "endpoint/1"), callAnswer(500, 2, 200))},
		"unsafe sent again":                   {Repeat, accepted("unsafe", callAt(200, 1, "m", "endpoint/0"), callAnswer(300, 1, 500), callAt(400, 2, "m", "endpoint/1"), callAnswer(500, 2, 200))},
		"unsafe deferred":                     {Repeat, accepted("unsafe", callAt(200, 1, "m", "endpoint/0"), callClosed(300, 1), noticeEvent(400, "m", "deferred"))},
		"unsafe undeliverable":                {"", accepted("unsafe", callAt(200, 1, "m", "endpoint/0"), callClosed(300, 1), noticeEvent(400, "m", "undeliverable"))},
		"keyed deferred":                      {"", accepted("keyed", callAt(200, 1, "m", "endpoint/0"), callClosed(300, 1), noticeEvent(400, "m", "deferred"))},
		"three attempts": {"", accepted("keyed", callAt(200, 1, "m", "endpoint/0"), callAnswer(210, 1, 503), callAt(300, 2, "m", "endpoint/0"), callAnswer(310, 2, 503),
			callAt(400, 3, "m", "endpoint/0"), callAnswer(410, 3, 200))},
		"four attempts": {Attempts, accepted("keyed", callAt(200, 1, "m", "endpoint/0"), callAnswer(210, 1, 503), callAt(300, 2, "m", "endpoint/0"), callAnswer(310, 2, 503),
			callAt(400, 3, "m", "endpoint/0"), callAnswer(410, 3, 503), callAt(500, 4, "m", "endpoint/0"), callAnswer(510, 4, 200))},
		"sent as a wait is received":     {"", append(accepted("keyed", callAt(200, 1, "m", "endpoint/0"), waitAnswer(300, 1, 1000)), submitted(310, "n", "keyed"), callAt(440, 2, "n", "endpoint/0"), callAnswer(450, 2, 200), noticeEvent(1500, "m", "deferred"))},
		"sent in a wait":                 {Wait, append(accepted("keyed", callAt(200, 1, "m", "endpoint/0"), waitAnswer(300, 1, 1000)), submitted(310, "n", "keyed"), callAt(460, 2, "n", "endpoint/1"), callAnswer(470, 2, 200), noticeEvent(1500, "m", "deferred"))},
		"a wait that nobody read":        {"", accepted("keyed", callAt(200, 1, "m", "endpoint/0"), waitAnswer(300, 1, 1000), callClosed(320, 1), callAt(600, 2, "m", "endpoint/1"), callAnswer(700, 2, 200))},
		"sent as a wait ends":            {"", accepted("keyed", callAt(200, 1, "m", "endpoint/0"), waitAnswer(300, 1, 1000), callAt(1260, 2, "m", "endpoint/0"), callAnswer(1300, 2, 200))},
		"a restart ends the wait":        {"", accepted("keyed", callAt(200, 1, "m", "endpoint/0"), waitAnswer(300, 1, 1000), processEvent(400, "kill"), processEvent(450, "start"), processEvent(460, "ready"), callAt(600, 2, "m", "endpoint/0"), callAnswer(700, 2, 200))},
		"an upgrade does not":            {Wait, accepted("keyed", callAt(200, 1, "m", "endpoint/0"), waitAnswer(300, 1, 1000), history.Event{At: 450, Kind: history.ProcessChanged, Proc: "relay/0", Detail: "start", Text: "beside"}, processEvent(460, "ready"), callAt(600, 2, "m", "endpoint/0"), callAnswer(700, 2, 200))},
		"sent in the grace of a drain":   {"", append([]history.Event{drain, listCall, listAnswer(70)}, submitted(100, "m", "keyed"), callAt(1110, 1, "m", "endpoint/0"), callAnswer(1200, 1, 200))},
		"sent after a drain":             {Drain, append([]history.Event{drain, listCall, listAnswer(70)}, submitted(100, "m", "keyed"), callAt(1130, 1, "m", "endpoint/0"), callAnswer(1200, 1, 200))},
		"change not received in time":    {"", append([]history.Event{drain, listCall}, submitted(100, "m", "keyed"), callAt(3000, 1, "m", "endpoint/0"), callAnswer(3100, 1, 200))},
		"never asked for the list":       {Drain, append([]history.Event{drain}, submitted(9000, "m", "keyed"), callAt(12000, 1, "m", "endpoint/0"), callAnswer(12100, 1, 200))},
		"received while it was stopped":  {"", append([]history.Event{drain, listCall, processEvent(65, "stop"), listAnswer(70), processEvent(3000, "cont")}, submitted(100, "m", "keyed"), callAt(3900, 1, "m", "endpoint/0"), callAnswer(4000, 1, 200))},
		"sent after manual disabling":    {Drain, []history.Event{operatorCall(50, "disable", 200), submitted(100, "m", "keyed"), callAt(1200, 1, "m", "endpoint/0"), callAnswer(1300, 1, 200)}},
		"disabling was refused":          {"", []history.Event{operatorCall(50, "disable", 404), submitted(100, "m", "keyed"), callAt(1200, 1, "m", "endpoint/0"), callAnswer(1300, 1, 200)}},
		"sent after it is enabled again": {"", []history.Event{operatorCall(50, "disable", 200), operatorCall(1000, "enable", 0), submitted(100, "m", "keyed"), callAt(1200, 1, "m", "endpoint/0"), callAnswer(1300, 1, 200)}},
		"delayed until it is forgotten":  {"", []history.Event{{At: 9000, Kind: history.CallReceived, Call: 1, IDs: []string{"m"}, BodySums: []string{"s"}, Endpoint: "endpoint/0", BegunAt: 3900, CompleteAt: 3900}}},
		"a message nobody submitted":     {Own, []history.Event{callAt(200, 1, "m", "endpoint/0"), callAnswer(210, 1, 200)}},
		"a changed body":                 {Own, []history.Event{submitted(100, "m", "keyed"), {At: 200, Kind: history.CallReceived, Call: 1, IDs: []string{"m"}, BodySums: []string{"x"}, Endpoint: "endpoint/0", BegunAt: 200, CompleteAt: 200}}},
		"another destination":            {Own, []history.Event{submitted(100, "m", "keyed"), {At: 200, Kind: history.CallReceived, Call: 1, IDs: []string{"m"}, BodySums: []string{"s"}, Dest: 3, Endpoint: "endpoint/0", BegunAt: 200, CompleteAt: 200}}},
		"what could not be read":         {Own, []history.Event{{At: 100, Kind: history.InvalidCall, Endpoint: "endpoint/0"}}},
		"figures within bounds":          {"", accepted("keyed", append(served, metrics(1000, 4, 4))...)},
		"served reported too high":       {Figures, accepted("keyed", append(served, metrics(1000, 5, 1))...)},
		"attempts reported too high":     {Figures, accepted("keyed", append(served, metrics(1000, 1, 5))...)},
		"attempts lost on the way":       {"", append([]history.Event{{At: 20, Kind: history.Fault, Detail: "begin", State: history.Lossy}}, accepted("keyed", append(served, metrics(1000, 1, 50))...)...)},
		"ended unexpectedly":             {Process, []history.Event{processEvent(100, "crash")}},
		"over a limit":                   {Process, []history.Event{usage(65)}},
		"within it":                      {"", []history.Event{usage(63)}},
		"a stranger closed in time":      {"", []history.Event{stranger(3140, 0, "closed")}},
		"a stranger answered in time":    {"", []history.Event{stranger(3140, 400, "answered")}},
		"a stranger closed late":         {Strange, []history.Event{stranger(3160, 0, "closed")}},
		"a stranger that waits":          {Strange, []history.Event{stranger(3100, 0, "waits")}},
		"a stranger accepted":            {Strange, []history.Event{stranger(200, 202, "answered")}},
		"a stranger in a pause":          {"", []history.Event{processEvent(50, "stop"), processEvent(300, "cont"), stranger(3500, 0, "waits")}},
		"an answer nobody can read":      {"", accepted("keyed", callAt(200, 1, "m", "endpoint/0"), unreadable(300, 1, 0), callAt(400, 2, "m", "endpoint/0"), callAnswer(500, 2, 200))},
		"not taken for a delivery":       {End, accepted("keyed", callAt(200, 1, "m", "endpoint/0"), unreadable(300, 1, 0))},
		"it may have run":                {Repeat, accepted("unsafe", callAt(200, 1, "m", "endpoint/0"), unreadable(300, 1, 0), callAt(400, 2, "m", "endpoint/0"), callAnswer(500, 2, 200))},
		"true if its first line says so": {"", accepted("keyed", callAt(200, 1, "m", "endpoint/0"), unreadable(300, 1, 200))},
	} {
		r := reportOf(c.events...)
		for rule, n := range r.Broken {
			if rule != c.rule {
				t.Errorf("%s: %s is broken %d times: %v", name, rule, n, r.Violations)
			}
		}
		if c.rule != "" && r.Broken[c.rule] == 0 {
			t.Errorf("%s: no violation of %s is reported", name, c.rule)
		}
		for _, b := range r.Violations {
			if b.Text == "" || b.Rule != Process && len(b.Events) == 0 {
				t.Errorf("%s: the violation has no text or no events: %v", name, b)
			}
		}
	}
}

// Guards against a share of the worth in which a message counts twice, or not at all.
func TestWorthServed(t *testing.T) {
	again := submitted(1000, "m2", "keyed")
	again.FirstID = "m1"
	r := reportOf(
		submitted(100, "m1", "keyed"), clientAnswer(110, "m1", 503), again, clientAnswer(1010, "m2", 202), callAt(1100, 1, "m2", "endpoint/0"), callAnswer(1600, 1, 200), // 1.5 s after its submission, with an aim of 1 s
		submitted(100, "n", "keyed"), clientAnswer(110, "n", 202), callAt(200, 2, "n", "endpoint/0"), callAnswer(300, 2, 200),
		submitted(100, "o", "keyed"), history.Event{At: 500, Kind: history.ClientLeft, ID: "o"},
		submitted(100, "p", "keyed"), clientAnswer(110, "p", 202), noticeEvent(1000, "p", "undeliverable"))
	want := (0.7071 + 1) / 4
	if r.Asked != 4 || r.InTime != 1 || r.Late != 1 || r.Unanswered != 1 || r.Failed != 1 || r.Served < want-0.001 || r.Served > want+0.001 {
		t.Errorf("%s, want %.3f of 4", r, want)
	}
}

// Guards against memory that grows with the length of a run.
func TestCheckerForgetsEndedMessages(t *testing.T) {
	checker := New()
	checker.Observe(history.Event{Kind: history.Run, Terms: &history.Terms{MaxAttempts: 3, Classes: []history.Class{{Name: "keyed", Effect: "deduplicated", Aim: time.Second, Deadline: 4 * time.Second, Worth: 1}}}})
	for i := range int64(20000) {
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		at := i * 10
		for _, e := range []history.Event{submitted(at, id, "keyed"), clientAnswer(at+1, id, 202), callAt(at+2, i+1, id, "endpoint/0"), callAnswer(at+3, i+1, 200)} {
			e.At, e.BegunAt, e.CompleteAt = e.At*ms, e.BegunAt*ms, e.CompleteAt*ms
			checker.Observe(e)
		}
	}
	if n := len(checker.messages) + len(checker.calls) + len(checker.requests) + len(checker.queue); n > 8000 {
		t.Errorf("%d entries are stored after 200 s of 100 messages per second", n)
	}
}
