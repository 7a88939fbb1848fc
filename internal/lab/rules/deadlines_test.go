package rules

import (
	"testing"

	"larchrouter/internal/lab/history"
)

// linkFault is the begin or end of a link fault under which what relays write may be lost.
func linkFault(t int64, how, text string) history.Event {
	return history.Event{At: t, Kind: history.Fault, Detail: how, Text: text, State: history.Lossy}
}

// Only a restart or a lost machine extends the deadline of a message's end; other disruptions don't. Each history just
// meets the limit or just exceeds it.
func TestDisruptionsExtendNoDeadline(t *testing.T) {
	message := []history.Event{submitted(100, "m", "keyed"), clientAnswer(110, "m", 202)} // its end is due by 4450 ms
	withMessage := func(events ...history.Event) []history.Event { return append(message[:2:2], events...) }
	clientLeft := func(t int64, how string) history.Event {
		return history.Event{At: t, Kind: history.ClientLeft, ID: "n", Detail: how}
	}
	stopped := processEvent(4000, "stop")
	readLate := []history.Event{processEvent(50, "stop"), submitted(100, "m", "keyed"), processEvent(400, "cont"), clientAnswer(410, "m", 202)}
	for name, disruption := range map[string][]history.Event{
		"a server that fails":              {callAt(200, 1, "m", "endpoint/0"), callAnswer(300, 1, 500)},
		"a server that is silent":          {callAt(200, 1, "m", "endpoint/0"), callClosed(4400, 1)},
		"a server that refuses":            {callAt(200, 1, "m", "endpoint/0"), callAnswer(300, 1, 503)},
		"an outage":                        {{At: 200, Kind: history.DestDown, Detail: "outage"}, {At: 4440, Kind: history.DestUp, Detail: "outage"}},
		"a connection that breaks":         {linkFault(200, "begin", "reset"), callAt(250, 1, "m", "endpoint/0"), callClosed(300, 1), linkFault(4400, "end", "reset")},
		"a silent platform":                {linkFault(200, "begin", "cut discovery to relays"), linkFault(4440, "end", "cut discovery to relays")},
		"discovery that fails":             {{At: 200, Kind: history.ListRequested}, {At: 300, Kind: history.ListCallFailed}},
		"another client that misbehaves":   {{At: 3300, Kind: history.Stranger, BegunAt: 300, LeftMs: 3000, State: "closed"}},
		"another client that gives up":     {submitted(300, "n", "keyed"), clientLeft(700, "no answer in time")},
		"a keeper that is killed":          {{At: 4400, Kind: history.ProcessChanged, Proc: "keeper/0", Detail: "kill"}},
		"another relay that is killed":     {{At: 4400, Kind: history.ProcessChanged, Proc: "relay/1", Detail: "kill"}},
		"a restart long before":            {processEvent(111, "kill"), processEvent(200, "start"), processEvent(300, "ready")},
		"a pause that is over":             {processEvent(200, "stop"), processEvent(4000, "cont")},
		"a pause that is over, read again": {processEvent(111, "stop"), processEvent(300, "cont")},
	} {
		checkCases(t, map[string]ruleCase{
			name + ", the end in time":   {"", withMessage(append(disruption, noticeEvent(4449, "m", "undeliverable"))...)},
			name + ", the end too late":  {End, withMessage(append(disruption, noticeEvent(4460, "m", "undeliverable"))...)},
			name + ", and it never ends": {End, withMessage(disruption...)},
		})
	}
	written := clientAnswer(310, "m", 202)
	written.CompleteAt = 300
	writtenLate := []history.Event{submitted(100, "m", "keyed"), written}
	checkCases(t, map[string]ruleCase{
		"counted from its last byte":       {"", append(writtenLate[:2:2], noticeEvent(4649, "m", "deferred"))},
		"late, counted from its last byte": {End, append(writtenLate[:2:2], noticeEvent(4651, "m", "deferred"))},
		"a pause as it is due":             {"", withMessage(stopped, processEvent(6000, "cont"), noticeEvent(6350, "m", "deferred"))},
		"too late after that":              {End, withMessage(stopped, processEvent(6000, "cont"), noticeEvent(6360, "m", "deferred"))},
		"read late, and ended in its time": {"", append(readLate, noticeEvent(4449, "m", "deferred"))},
		"read late, and ended late for it": {End, append(readLate, noticeEvent(4460, "m", "deferred"))},
		"a crash extends no deadline":      {Process, withMessage(processEvent(200, "crash"), noticeEvent(4449, "m", "deferred"))},
	})
	r := reportOf(withMessage(processEvent(200, "crash"))...)
	if r.Broken[End] != 1 || r.Lost != 1 {
		t.Errorf("after a crash: %d violations of the rule for ends and %d messages lost, want 1 and 1", r.Broken[End], r.Lost)
	}
}

// A request that was read must be answered, on whatever connection; one that was not read is for the client to submit
// again.
func TestReadRequestGetsAnswer(t *testing.T) {
	clientLeft := func(t int64, how string) history.Event {
		return history.Event{At: t, Kind: history.ClientLeft, ID: "m", Detail: how}
	}
	request := submitted(100, "m", "keyed")
	checkCases(t, map[string]ruleCase{
		"read, and closed with no answer":  {End, []history.Event{request, clientLeft(120, history.Unanswered)}},
		"closed unread":                    {"", []history.Event{request, clientLeft(120, "connection ended")}},
		"the client gave up":               {"", []history.Event{request, clientLeft(500, "no answer in time")}},
		"ended by SIGKILL":                 {"", []history.Event{request, processEvent(110, "kill"), clientLeft(111, history.Unanswered), processEvent(700, "start"), processEvent(800, "ready")}},
		"submitted after the SIGKILL":      {End, []history.Event{processEvent(50, "kill"), processEvent(60, "start"), processEvent(70, "ready"), request, clientLeft(120, history.Unanswered)}},
		"SIGTERM after it was read":        {End, []history.Event{request, processEvent(110, "term"), clientLeft(120, history.Unanswered), processEvent(700, "start"), processEvent(800, "ready")}},
		"an upgrade after it was read":     {End, []history.Event{request, {At: 105, Kind: history.ProcessChanged, Proc: "relay/0", Detail: "term", Text: "handed over"}, clientLeft(120, history.Unanswered)}},
		"a crash after it was read":        {End, []history.Event{request, clientLeft(109, history.Unanswered)}},
		"a pause before it":                {End, []history.Event{processEvent(50, "stop"), processEvent(90, "cont"), request, clientLeft(120, history.Unanswered)}},
		"a link fault before it":           {End, []history.Event{linkFault(50, "begin", "cut"), request, clientLeft(120, history.Unanswered)}},
		"submitted again under another id": {End, []history.Event{request, clientLeft(120, history.Unanswered), submitted(130, "n", "keyed"), clientAnswer(140, "n", 202), callAt(150, 1, "n", "endpoint/0"), callAnswer(200, 1, 200)}},
	})
}
