package rules

import (
	"testing"
	"time"

	"larchrouter/internal/lab/history"
)

// reportAfterLoss returns the report of a history in which a relay accepts a message and its machine is lost; more
// holds the events that follow.
func reportAfterLoss(more ...history.Event) *Report {
	checker := newTwoRelayChecker()
	checker.Observe(history.Event{At: 1e5, Kind: history.Metrics, Relay: "relay/0", CompleteAt: 9e4, Values: map[string]float64{"svc.estates.of.relay/0.7": 1}})
	checker.Observe(history.Event{At: 2e5, Kind: history.RequestSent, Relay: "relay/0", ID: "m", FirstID: "m", Class: "k", LeftMs: 2000})
	checker.Observe(history.Event{At: 21e4, Kind: history.AnswerReceived, Relay: "relay/0", ID: "m", Status: 202})
	checker.Observe(history.Event{At: 3e5, Kind: history.ProcessChanged, Proc: "relay/0", Detail: "lose", Text: "for good"})
	for _, e := range more {
		checker.Observe(e)
	}
	checker.Observe(history.Event{At: 60e6, Kind: history.End})
	return checker.Close()
}

// Guards against a lost message that goes undetected, and against ends and takeovers that come in time and are
// reported as late.
func TestLostMachines(t *testing.T) {
	successor := history.Event{At: 3e6, Kind: history.Metrics, Relay: "relay/1", CompleteAt: 29e5, Values: map[string]float64{"svc.estates.of.relay/0.7": 1}}
	otherGroup := successor
	otherGroup.Values = map[string]float64{"svc.estates.of.relay/0.8": 1}
	notice := func(at int64) history.Event {
		return history.Event{At: at, Kind: history.NoticeReceived, Relay: "relay/1", ID: "m", Detail: "deferred"}
	}
	for name, c := range map[string]struct {
		more      []history.Event
		lost      int
		ends      int // number of ends that came late
		after     float64
		successor string
	}{
		"nobody takes over":                   {nil, 1, 1, -1, ""},
		"a successor ends it":                 {[]history.Event{successor, notice(4e6)}, 0, 0, 2.7, "relay/1"},
		"takeover of another group":           {[]history.Event{otherGroup, notice(4e6), {At: 5e6, Kind: history.Metrics, Relay: "relay/1", CompleteAt: 5e6}}, 0, 0, 4.7, ""},
		"an end just in time":                 {[]history.Event{successor, notice(4290e3)}, 0, 0, 2.7, "relay/1"},
		"an end too late":                     {[]history.Event{successor, notice(48e5)}, 1, 1, 2.7, "relay/1"},
		"a successor has it and ends nothing": {[]history.Event{successor}, 1, 1, 2.7, "relay/1"},
	} {
		r := reportAfterLoss(c.more...)
		if r.Lost != c.lost || r.Broken[End] != c.ends {
			t.Errorf("%s: %d messages lost and %d violations of the rule for ends, want %d and %d", name, r.Lost, r.Broken[End], c.lost, c.ends)
		}
		if len(r.Takeovers) != 1 || r.Takeovers[0].After != c.after || r.Takeovers[0].Successor != c.successor {
			t.Errorf("%s: %v, want a takeover after %.1f s by %q", name, r.Takeovers, c.after, c.successor)
		}
	}
}

// Guards against a takeover that seems to last long because a group that the lost machine had adopted from another
// relay had just ended, and so nobody has it; and against one that seems complete while a message of such a group is
// pending.
func TestTakeoverOfLostMachinesAdoptedGroups(t *testing.T) {
	for name, c := range map[string]struct {
		open  bool // a message of the adopted group is pending until 5 s
		after float64
	}{"group has ended": {false, 2.7}, "message is pending": {true, 5.2}} {
		checker := newTwoRelayChecker()
		figures := map[string]float64{"svc.estates.of.relay/0.7": 1, "svc.estates.of.relay/1.3": 1}
		events := []history.Event{{At: 1e5, Kind: history.Metrics, Relay: "relay/0", CompleteAt: 9e4, Values: figures}}
		for id, relay := range map[string]string{"m": "relay/0", "n": "relay/1"} {
			if id == "n" && !c.open {
				continue
			}
			events = append(events, history.Event{At: 2e5, Kind: history.RequestSent, Relay: relay, ID: id, FirstID: id, Class: "k", LeftMs: 9000},
				history.Event{At: 21e4, Kind: history.AnswerReceived, Relay: relay, ID: id, Status: 202})
		}
		successor := history.Event{At: 3e6, Kind: history.Metrics, Relay: "relay/1", CompleteAt: 29e5, Values: map[string]float64{"svc.estates.of.relay/0.7": 1}}
		events = append(events, history.Event{At: 3e5, Kind: history.ProcessChanged, Proc: "relay/0", Detail: "lose", Text: "for good"}, successor,
			history.Event{At: 5e6, Kind: history.NoticeReceived, Relay: "relay/1", ID: "n", Detail: "deferred"})
		successor.At, successor.CompleteAt = 55e5, 54e5
		events = append(events, successor, history.Event{At: 60e6, Kind: history.End})
		for _, e := range events {
			checker.Observe(e)
		}
		r := checker.Close()
		if len(r.Takeovers) != 1 || r.Takeovers[0].After != c.after || r.Takeovers[0].Successor != "relay/1" {
			t.Errorf("%s: %v, want a takeover after %.1f s by relay/1", name, r.Takeovers, c.after)
		}
	}
}

// Guards against deadlines that are extended because something else failed: a relay that still has its machine waits
// for no successor.
func TestOnlyLostMachineExtendsDeadlines(t *testing.T) {
	at := int64(15e5)
	for name, disruption := range map[string]history.Event{
		"links are cut":            {At: at, Kind: history.Fault, Detail: "begin", Text: "cut relay/0 to keepers", State: history.Lossy},
		"a keeper is killed":       {At: at, Kind: history.ProcessChanged, Proc: "keeper/0", Detail: "kill"},
		"a keeper becomes ready":   {At: at, Kind: history.ProcessChanged, Proc: "keeper/0", Detail: "ready"},
		"another relay is killed":  {At: at, Kind: history.ProcessChanged, Proc: "relay/1", Detail: "kill"},
		"another relay is lost":    {At: at, Kind: history.ProcessChanged, Proc: "relay/1", Detail: "lose", Text: "for good"},
		"another relay is stopped": {At: at, Kind: history.ProcessChanged, Proc: "relay/1", Detail: "stop"},
	} {
		for _, end := range []struct {
			at     int64
			broken int
		}{{2540e3, 0}, {2560e3, 1}} { // its time is up at 2.2 s; the slack is 350 ms
			c := newTwoRelayChecker()
			for _, e := range []history.Event{
				{At: 2e5, Kind: history.RequestSent, Relay: "relay/0", ID: "m", FirstID: "m", Class: "k", LeftMs: 2000},
				{At: 21e4, Kind: history.AnswerReceived, Relay: "relay/0", ID: "m", Status: 202}, disruption,
				{At: end.at, Kind: history.NoticeReceived, Relay: "relay/0", ID: "m", Detail: "deferred"}, {At: 60e6, Kind: history.End},
			} {
				c.Observe(e)
			}
			if r := c.Close(); r.Broken[End] != end.broken {
				t.Errorf("%s, and the end comes at %.2f s: %d violations of the rule for ends, want %d", name, float64(end.at)/1e6, r.Broken[End], end.broken)
			}
		}
	}
}

// A lost machine's messages wait for a successor, which only keepers can appoint: a keeper that is killed meanwhile
// gives them more time.
func TestKeeperEndExtendsDeadlinesOfLostMachine(t *testing.T) {
	for name, c := range map[string]struct {
		killedAt int64
		noticeAt int64
		broken   int
	}{
		"a keeper is killed, and the end is in time":   {3e6, 6900e3, 0},
		"a keeper is killed, and the end is late":      {3e6, 7100e3, 1},
		"no keeper is killed, and the end is in time":  {0, 5400e3, 0},
		"no keeper is killed, and the end is late":     {0, 5600e3, 1},
		"the keeper is killed once the end is overdue": {5600e3, 9000e3, 1},
	} {
		checker := newTwoRelayChecker()
		events := []history.Event{
			{At: 2e5, Kind: history.RequestSent, Relay: "relay/0", ID: "m", FirstID: "m", Class: "k", LeftMs: 2000},
			{At: 21e4, Kind: history.AnswerReceived, Relay: "relay/0", ID: "m", Status: 202},
			{At: 15e5, Kind: history.ProcessChanged, Proc: "relay/0", Detail: "lose", Text: "for good"}}
		if c.killedAt > 0 {
			events = append(events, history.Event{At: c.killedAt, Kind: history.ProcessChanged, Proc: "keeper/0", Detail: "kill"})
		}
		events = append(events, history.Event{At: c.noticeAt, Kind: history.NoticeReceived, Relay: "relay/1", ID: "m", Detail: "deferred"}, history.Event{At: 60e6, Kind: history.End})
		for _, e := range events {
			checker.Observe(e)
		}
		if r := checker.Close(); r.Broken[End] != c.broken {
			t.Errorf("%s: %d violations of the rule for ends, want %d", name, r.Broken[End], c.broken)
		}
	}
}

// newTwoRelayChecker returns a checker that has observed two relays become ready, each of which takes over from the
// other within 4 s.
func newTwoRelayChecker() *Checker {
	checker := New()
	checker.Observe(history.Event{Kind: history.Run, Terms: &history.Terms{MaxAttempts: 8, TakeOver: 4 * time.Second, DrainGrace: time.Second, AskWithin: time.Minute,
		Classes: []history.Class{{Name: "k", Effect: "deduplicated", Window: 15 * time.Second, Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}}}})
	for _, relay := range []string{"relay/0", "relay/1"} {
		checker.Observe(history.Event{Kind: history.ProcessChanged, Proc: relay, Detail: "start"})
		checker.Observe(history.Event{Kind: history.ProcessChanged, Proc: relay, Detail: "ready"})
	}
	return checker
}
