package rules

import (
	"testing"

	"larchrouter/internal/lab/history"
)

// A change that a relay has not received takes effect for it nevertheless. Each history just meets the limit or just
// exceeds it; the endpoint drains at 5 s.
func TestListChangesTakeEffect(t *testing.T) {
	drain := history.Event{At: 5000, Kind: history.ListChanged, Version: 2, Endpoint: "endpoint/0", State: "leaving"}
	listCall := func(t, wait int64) history.Event {
		return history.Event{At: t, Kind: history.ListRequested, LeftMs: wait}
	}
	listFailure := func(t int64) history.Event { return history.Event{At: t, Kind: history.ListCallFailed} }
	listAnswer := func(t, version int64, how string) history.Event {
		return history.Event{At: t, Kind: history.ListSent, Version: version, Detail: how}
	}
	answering := func(asked int64, e history.Event) history.Event { e.BegunAt = asked; return e }
	discoveryDown := func(t int64) history.Event { return history.Event{At: t, Kind: history.DiscoveryDown} }
	discoveryUp := func(t int64) history.Event { return history.Event{At: t, Kind: history.DiscoveryUp} }
	// The message is submitted and sent at once, and is the only one.
	withCall := func(at int64, before ...history.Event) []history.Event {
		return append(before, submitted(at-10, "m", "keyed"), callAt(at, 1, "m", "endpoint/0"), callAnswer(at+10, 1, 200))
	}
	checkCases(t, map[string]ruleCase{
		"failed calls, within 6 s and the grace":     {"", withCall(12040, listCall(4000, 0), listAnswer(4100, 1, ""), drain, listCall(7000, 0), listFailure(7010), listCall(11000, 0), listFailure(11010))},
		"failed calls, later":                        {Drain, withCall(12060, listCall(4000, 0), listAnswer(4100, 1, ""), drain, listCall(7000, 0), listFailure(7010), listCall(11000, 0), listFailure(11010))},
		"whole list unanswered, in time":             {"", withCall(13040, drain, listCall(6000, 0))},
		"whole list unanswered, later":               {Drain, withCall(13060, drain, listCall(6000, 0))},
		"unanswered, after a failed call":            {Drain, withCall(12060, drain, listCall(5500, 0), listFailure(5600), listCall(11000, 0))},
		"a silent watch, in time":                    {"", withCall(12040, listCall(4000, 3000), drain)},
		"a silent watch, later":                      {Drain, withCall(12060, listCall(4000, 3000), drain)},
		"a silent watch with a long wait, in time":   {"", withCall(22040, listCall(4000, 15000), drain)},
		"a silent watch with a long wait, later":     {Drain, withCall(22060, listCall(4000, 15000), drain)},
		"after an answer, within the settings' time": {"", withCall(16040, listCall(4000, 0), listAnswer(4100, 1, ""), drain)},
		"after an answer, later":                     {Drain, withCall(16060, listCall(4000, 0), listAnswer(4100, 1, ""), drain)},
		"before a call that fails, in time":          {"", append(withCall(12040, listCall(4000, 0), listAnswer(4100, 1, ""), drain), listCall(12500, 0), listFailure(12510))},
		"before a call that fails, later":            {Drain, append(withCall(12060, listCall(4000, 0), listAnswer(4100, 1, ""), drain), listCall(12500, 0), listFailure(12510))},
		"before a call that is answered":             {"", append(withCall(12060, listCall(4000, 0), listAnswer(4100, 1, ""), drain), listCall(12500, 0), listAnswer(12600, 2, ""))},
		"during an outage":                           {"", withCall(20000, listCall(4000, 0), listAnswer(4100, 1, ""), discoveryDown(4500), drain, listCall(7000, 0), listFailure(7010))},
		"after an outage, in time":                   {"", withCall(27040, listCall(4000, 0), listAnswer(4100, 1, ""), discoveryDown(4500), drain, listCall(7000, 0), listFailure(7010), discoveryUp(20000))},
		"after an outage, later":                     {Drain, withCall(27060, listCall(4000, 0), listAnswer(4100, 1, ""), discoveryDown(4500), drain, listCall(7000, 0), listFailure(7010), discoveryUp(20000))},
		"a new process, in time":                     {"", withCall(12040, drain, processEvent(7000, "kill"), processEvent(8000, "start"), processEvent(8100, "ready"), listCall(8200, 0), listFailure(8300))},
		"a new process, later":                       {Drain, withCall(12060, drain, processEvent(7000, "kill"), processEvent(8000, "start"), processEvent(8100, "ready"), listCall(8200, 0), listFailure(8300))},
		"failed before a restart, in time":           {"", withCall(12040, drain, listCall(6000, 0), listFailure(6010), processEvent(7000, "kill"), processEvent(8000, "start"), processEvent(8100, "ready"))},
		"failed before a restart, later":             {Drain, withCall(12060, drain, listCall(6000, 0), listFailure(6010), processEvent(7000, "kill"), processEvent(8000, "start"), processEvent(8100, "ready"))},
		"cut off by a restart, in time":              {"", withCall(12040, drain, listCall(6900, 0), processEvent(7000, "kill"), processEvent(8000, "start"), processEvent(8100, "ready"))},
		"cut off by a restart, later":                {Drain, withCall(12060, drain, listCall(6900, 0), processEvent(7000, "kill"), processEvent(8000, "start"), processEvent(8100, "ready"))},
		"a call given up before an answer, in time":  {"", withCall(16040, listCall(3000, 0), listCall(4000, 0), answering(4000, listAnswer(4100, 1, "")), answering(3000, listFailure(4500)), drain)},
		"a call given up before an answer, later":    {Drain, withCall(16060, listCall(3000, 0), listCall(4000, 0), answering(4000, listAnswer(4100, 1, "")), answering(3000, listFailure(4500)), drain)},
		"an answer cut short, in time":               {"", withCall(7040, drain, listCall(5900, 0), listAnswer(6000, 2, history.TruncatedAnswer))},
		"an answer cut short, later":                 {Drain, withCall(7060, drain, listCall(5900, 0), listAnswer(6000, 2, history.TruncatedAnswer))},
	})
}
