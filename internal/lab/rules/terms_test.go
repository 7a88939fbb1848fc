package rules

import (
	"testing"

	"larchrouter/internal/lab/history"
)

// begunFault is a fault of links, of which the history says that what relays write may be seen by nobody.
func begunFault(t int64, how, text string) history.Event {
	return history.Event{At: t, Kind: history.Fault, Detail: how, Text: text, State: history.Lossy}
}

// Trouble of any kind but a restart or a lost machine frees no message of its end: each history keeps the rule by a hair, or
// just breaks it.
func TestTroubleFreesNoMessage(t *testing.T) {
	message := []history.Event{hand(100, "m", "keyed"), heard(110, "m", 202)} // its end is due by 4450
	with := func(events ...history.Event) []history.Event { return append(message[:2:2], events...) }
	left := func(t int64, how string) history.Event {
		return history.Event{At: t, Kind: history.ClientLeft, ID: "n", Detail: how}
	}
	stopped := proc(4000, "stop")
	readLate := []history.Event{proc(50, "stop"), hand(100, "m", "keyed"), proc(400, "cont"), heard(410, "m", 202)}
	for name, trouble := range map[string][]history.Event{
		"a server that fails":              {sentAs(200, 1, "m", "endpoint/0"), answer(300, 1, 500)},
		"a server that is silent":          {sentAs(200, 1, "m", "endpoint/0"), gone(4400, 1)},
		"a server that refuses":            {sentAs(200, 1, "m", "endpoint/0"), answer(300, 1, 503)},
		"an outage":                        {{At: 200, Kind: history.DestDown, Detail: "outage"}, {At: 4440, Kind: history.DestUp, Detail: "outage"}},
		"a connection that breaks":         {begunFault(200, "begin", "reset"), sentAs(250, 1, "m", "endpoint/0"), gone(300, 1), begunFault(4400, "end", "reset")},
		"a silent platform":                {begunFault(200, "begin", "cut discovery to relays"), begunFault(4440, "end", "cut discovery to relays")},
		"discovery that fails":             {{At: 200, Kind: history.ListRequested}, {At: 300, Kind: history.ListCallFailed}},
		"another client that misbehaves":   {{At: 3300, Kind: history.Stranger, BegunAt: 300, LeftMs: 3000, State: "closed"}},
		"another client that gives up":     {hand(300, "n", "keyed"), left(700, "no answer in time")},
		"a keeper that is killed":          {{At: 4400, Kind: history.ProcessChanged, Proc: "keeper/0", Detail: "kill"}},
		"another relay that is killed":     {{At: 4400, Kind: history.ProcessChanged, Proc: "relay/1", Detail: "kill"}},
		"a restart long before":            {proc(111, "kill"), proc(200, "start"), proc(300, "ready")},
		"a pause that is over":             {proc(200, "stop"), proc(4000, "cont")},
		"a pause that is over, read again": {proc(111, "stop"), proc(300, "cont")},
	} {
		check(t, map[string]ruleCase{
			name + ", its end in time":   {"", with(append(trouble, notice(4449, "m", "undeliverable"))...)},
			name + ", its end too late":  {End, with(append(trouble, notice(4460, "m", "undeliverable"))...)},
			name + ", and it never ends": {End, with(trouble...)},
		})
	}
	written := heard(310, "m", 202)
	written.CompleteAt = 300
	writtenLate := []history.Event{hand(100, "m", "keyed"), written}
	check(t, map[string]ruleCase{
		"counted from its last byte":       {"", append(writtenLate[:2:2], notice(4649, "m", "deferred"))},
		"late, counted from its last byte": {End, append(writtenLate[:2:2], notice(4651, "m", "deferred"))},
		"a pause as it is due":             {"", with(stopped, proc(6000, "cont"), notice(6350, "m", "deferred"))},
		"too late after that":              {End, with(stopped, proc(6000, "cont"), notice(6360, "m", "deferred"))},
		"read late, and ended in its time": {"", append(readLate, notice(4449, "m", "deferred"))},
		"read late, and ended late for it": {End, append(readLate, notice(4460, "m", "deferred"))},
		"a crash frees none":               {Process, with(proc(200, "crash"), notice(4449, "m", "deferred"))},
	})
	r := play(with(proc(200, "crash"))...)
	if r.Broken[End] != 1 || r.Lost != 1 {
		t.Errorf("of a process that crashed %d ends are broken and %d messages lost, want 1 and 1", r.Broken[End], r.Lost)
	}
}

// A request that was read is owed an answer, on whatever connection; one that was not is the client's to send anew.
func TestReadRequestIsOwedAnAnswer(t *testing.T) {
	left := func(t int64, how string) history.Event {
		return history.Event{At: t, Kind: history.ClientLeft, ID: "m", Detail: how}
	}
	handed := hand(100, "m", "keyed")
	check(t, map[string]ruleCase{
		"read, and closed with no answer":       {End, []history.Event{handed, left(120, history.Unanswered)}},
		"closed unread":                         {"", []history.Event{handed, left(120, "connection ended")}},
		"the client gave up":                    {"", []history.Event{handed, left(500, "no answer in time")}},
		"ended by SIGKILL":                      {"", []history.Event{handed, proc(110, "kill"), left(111, history.Unanswered), proc(700, "start"), proc(800, "ready")}},
		"handed in after the SIGKILL":           {End, []history.Event{proc(50, "kill"), proc(60, "start"), proc(70, "ready"), handed, left(120, history.Unanswered)}},
		"SIGTERM frees none that was read":      {End, []history.Event{handed, proc(110, "term"), left(120, history.Unanswered), proc(700, "start"), proc(800, "ready")}},
		"an upgrade frees none that was read":   {End, []history.Event{handed, {At: 105, Kind: history.ProcessChanged, Proc: "relay/0", Detail: "term", Text: "handed over"}, left(120, history.Unanswered)}},
		"a crash frees none that was read":      {End, []history.Event{handed, left(109, history.Unanswered)}},
		"a pause before frees none":             {End, []history.Event{proc(50, "stop"), proc(90, "cont"), handed, left(120, history.Unanswered)}},
		"trouble of links frees none":           {End, []history.Event{begunFault(50, "begin", "cut"), handed, left(120, history.Unanswered)}},
		"handed in anew under another id since": {End, []history.Event{handed, left(120, history.Unanswered), hand(130, "n", "keyed"), heard(140, "n", 202), sentAs(150, 1, "n", "endpoint/0"), answer(200, 1, 200)}},
	})
}
