package rules

import (
	"testing"

	"larchrouter/internal/lab/history"
)

// A change that a relay has not heard of counts as told to it all the same. Each history keeps the term by a hair, or just
// breaks it; the endpoint drains at 5 s.
func TestChangesCountAsTold(t *testing.T) {
	drain := history.Event{At: 5000, Kind: history.ListChanged, Version: 2, Endpoint: "endpoint/0", State: "leaving"}
	asks := func(t, wait int64) history.Event {
		return history.Event{At: t, Kind: history.ListRequested, LeftMs: wait}
	}
	fails := func(t int64) history.Event { return history.Event{At: t, Kind: history.ListCallFailed} }
	hears := func(t, version int64, how string) history.Event {
		return history.Event{At: t, Kind: history.ListSent, Version: version, Detail: how}
	}
	since := func(asked int64, e history.Event) history.Event { e.BegunAt = asked; return e }
	down := func(t int64) history.Event { return history.Event{At: t, Kind: history.DiscoveryDown} }
	up := func(t int64) history.Event { return history.Event{At: t, Kind: history.DiscoveryUp} }
	// Each message is handed in and sent at once, and is the only one.
	with := func(at int64, before ...history.Event) []history.Event {
		return append(before, hand(at-10, "m", "keyed"), sentAs(at, 1, "m", "endpoint/0"), answer(at+10, 1, 200))
	}
	check(t, map[string]ruleCase{
		"failed calls, within 6 s and the grace":     {"", with(12040, asks(4000, 0), hears(4100, 1, ""), drain, asks(7000, 0), fails(7010), asks(11000, 0), fails(11010))},
		"failed calls, later":                        {Drain, with(12060, asks(4000, 0), hears(4100, 1, ""), drain, asks(7000, 0), fails(7010), asks(11000, 0), fails(11010))},
		"a whole list that is not answered, in time": {"", with(13040, drain, asks(6000, 0))},
		"a whole list that is not answered, later":   {Drain, with(13060, drain, asks(6000, 0))},
		"not answered, after a failed call":          {Drain, with(12060, drain, asks(5500, 0), fails(5600), asks(11000, 0))},
		"a silent watch, in time":                    {"", with(12040, asks(4000, 3000), drain)},
		"a silent watch, later":                      {Drain, with(12060, asks(4000, 3000), drain)},
		"a silent watch with a long wait, in time":   {"", with(22040, asks(4000, 15000), drain)},
		"a silent watch with a long wait, later":     {Drain, with(22060, asks(4000, 15000), drain)},
		"an answer ago, within the settings' time":   {"", with(16040, asks(4000, 0), hears(4100, 1, ""), drain)},
		"an answer ago, later":                       {Drain, with(16060, asks(4000, 0), hears(4100, 1, ""), drain)},
		"before a call that fails, in time":          {"", append(with(12040, asks(4000, 0), hears(4100, 1, ""), drain), asks(12500, 0), fails(12510))},
		"before a call that fails, later":            {Drain, append(with(12060, asks(4000, 0), hears(4100, 1, ""), drain), asks(12500, 0), fails(12510))},
		"before a call that is answered":             {"", append(with(12060, asks(4000, 0), hears(4100, 1, ""), drain), asks(12500, 0), hears(12600, 2, ""))},
		"during an outage":                           {"", with(20000, asks(4000, 0), hears(4100, 1, ""), down(4500), drain, asks(7000, 0), fails(7010))},
		"after an outage, in time":                   {"", with(27040, asks(4000, 0), hears(4100, 1, ""), down(4500), drain, asks(7000, 0), fails(7010), up(20000))},
		"after an outage, later":                     {Drain, with(27060, asks(4000, 0), hears(4100, 1, ""), down(4500), drain, asks(7000, 0), fails(7010), up(20000))},
		"a new process, in time":                     {"", with(12040, drain, proc(7000, "kill"), proc(8000, "start"), proc(8100, "ready"), asks(8200, 0), fails(8300))},
		"a new process, later":                       {Drain, with(12060, drain, proc(7000, "kill"), proc(8000, "start"), proc(8100, "ready"), asks(8200, 0), fails(8300))},
		"failed before a restart, in time":           {"", with(12040, drain, asks(6000, 0), fails(6010), proc(7000, "kill"), proc(8000, "start"), proc(8100, "ready"))},
		"failed before a restart, later":             {Drain, with(12060, drain, asks(6000, 0), fails(6010), proc(7000, "kill"), proc(8000, "start"), proc(8100, "ready"))},
		"cut off by a restart, in time":              {"", with(12040, drain, asks(6900, 0), proc(7000, "kill"), proc(8000, "start"), proc(8100, "ready"))},
		"cut off by a restart, later":                {Drain, with(12060, drain, asks(6900, 0), proc(7000, "kill"), proc(8000, "start"), proc(8100, "ready"))},
		"a call given up before an answer, in time":  {"", with(16040, asks(3000, 0), asks(4000, 0), since(4000, hears(4100, 1, "")), since(3000, fails(4500)), drain)},
		"a call given up before an answer, later":    {Drain, with(16060, asks(3000, 0), asks(4000, 0), since(4000, hears(4100, 1, "")), since(3000, fails(4500)), drain)},
		"an answer cut short, in time":               {"", with(7040, drain, asks(5900, 0), hears(6000, 2, history.TruncatedAnswer))},
		"an answer cut short, later":                 {Drain, with(7060, drain, asks(5900, 0), hears(6000, 2, history.TruncatedAnswer))},
	})
}
