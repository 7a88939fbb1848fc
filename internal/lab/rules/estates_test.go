package rules

import (
	"testing"
	"time"

	"larchrouter/internal/lab/history"
)

// lossOf is a history in which a relay takes a message on and its machine is lost; more is what follows.
func lossOf(more ...history.Event) *Report {
	c := checkerOfTwoRelays()
	c.See(history.Event{At: 1e5, Kind: history.Metrics, Relay: "relay/0", CompleteAt: 9e4, Values: map[string]float64{"svc.estates.of.relay/0.7": 1}})
	c.See(history.Event{At: 2e5, Kind: history.RequestSent, Relay: "relay/0", ID: "m", FirstID: "m", Class: "k", LeftMs: 2000})
	c.See(history.Event{At: 21e4, Kind: history.AnswerReceived, Relay: "relay/0", ID: "m", Status: 202})
	c.See(history.Event{At: 3e5, Kind: history.ProcessChanged, Proc: "relay/0", Detail: "lose", Text: "for good"})
	for _, e := range more {
		c.See(e)
	}
	c.See(history.Event{At: 60e6, Kind: history.End})
	return c.Close()
}

// Guards against a promise that is lost and not seen, and against ends and heirs that come in time and are blamed.
func TestLostMachines(t *testing.T) {
	heir := history.Event{At: 3e6, Kind: history.Metrics, Relay: "relay/1", CompleteAt: 29e5, Values: map[string]float64{"svc.estates.of.relay/0.7": 1}}
	another := heir
	another.Values = map[string]float64{"svc.estates.of.relay/0.8": 1}
	notice := func(at int64) history.Event {
		return history.Event{At: at, Kind: history.NoticeReceived, Relay: "relay/1", ID: "m", Detail: "deferred"}
	}
	for name, c := range map[string]struct {
		more  []history.Event
		lost  int
		ends  int // that came late
		after float64
		heir  string
	}{
		"nobody takes over":               {nil, 1, 1, -1, ""},
		"an heir ends it":                 {[]history.Event{heir, notice(4e6)}, 0, 0, 2.7, "relay/1"},
		"another estate is no heir":       {[]history.Event{another, notice(4e6), {At: 5e6, Kind: history.Metrics, Relay: "relay/1", CompleteAt: 5e6}}, 0, 0, 4.7, ""},
		"an end just in time":             {[]history.Event{heir, notice(4290e3)}, 0, 0, 2.7, "relay/1"},
		"an end too late":                 {[]history.Event{heir, notice(48e5)}, 1, 1, 2.7, "relay/1"},
		"a heir that has it ends nothing": {[]history.Event{heir}, 1, 1, 2.7, "relay/1"},
	} {
		r := lossOf(c.more...)
		if r.Lost != c.lost || r.Broken[End] != c.ends {
			t.Errorf("%s: %d lost and %d ends broken, want %d and %d", name, r.Lost, r.Broken[End], c.lost, c.ends)
		}
		if len(r.TakenOver) != 1 || r.TakenOver[0].After != c.after || r.TakenOver[0].Heir != c.heir {
			t.Errorf("%s: %v, want after %.1f s by %q", name, r.TakenOver, c.after, c.heir)
		}
	}
}

// Guards against a take-over that seems to last long because the lost machine had just run out of another relay's estate, which then
// nobody has, and against one that seems over while a message of such an estate is open.
func TestALostMachinesInheritedEstates(t *testing.T) {
	for name, c := range map[string]struct {
		open  bool // a message of the inherited estate, until 5 s
		after float64
	}{"run out": {false, 2.7}, "a message is open": {true, 5.2}} {
		checker := checkerOfTwoRelays()
		figures := map[string]float64{"svc.estates.of.relay/0.7": 1, "svc.estates.of.relay/1.3": 1}
		events := []history.Event{{At: 1e5, Kind: history.Metrics, Relay: "relay/0", CompleteAt: 9e4, Values: figures}}
		for id, relay := range map[string]string{"m": "relay/0", "n": "relay/1"} {
			if id == "n" && !c.open {
				continue
			}
			events = append(events, history.Event{At: 2e5, Kind: history.RequestSent, Relay: relay, ID: id, FirstID: id, Class: "k", LeftMs: 9000},
				history.Event{At: 21e4, Kind: history.AnswerReceived, Relay: relay, ID: id, Status: 202})
		}
		heir := history.Event{At: 3e6, Kind: history.Metrics, Relay: "relay/1", CompleteAt: 29e5, Values: map[string]float64{"svc.estates.of.relay/0.7": 1}}
		events = append(events, history.Event{At: 3e5, Kind: history.ProcessChanged, Proc: "relay/0", Detail: "lose", Text: "for good"}, heir,
			history.Event{At: 5e6, Kind: history.NoticeReceived, Relay: "relay/1", ID: "n", Detail: "deferred"})
		heir.At, heir.CompleteAt = 55e5, 54e5
		events = append(events, heir, history.Event{At: 60e6, Kind: history.End})
		for _, e := range events {
			checker.See(e)
		}
		r := checker.Close()
		if len(r.TakenOver) != 1 || r.TakenOver[0].After != c.after || r.TakenOver[0].Heir != "relay/1" {
			t.Errorf("%s: %v, want after %.1f s by relay/1", name, r.TakenOver, c.after)
		}
	}
}

// Guards against ends that have more time because something else failed: a relay that still has its machine has no heir to wait for.
func TestOnlyALostMachineGivesMoreTime(t *testing.T) {
	at := int64(15e5)
	for name, trouble := range map[string]history.Event{
		"links are cut":           {At: at, Kind: history.Fault, Detail: "begin", Text: "cut relay/0 to keepers", State: history.Lossy},
		"a keeper is killed":      {At: at, Kind: history.ProcessChanged, Proc: "keeper/0", Detail: "kill"},
		"a keeper leads anew":     {At: at, Kind: history.ProcessChanged, Proc: "keeper/0", Detail: "ready"},
		"another relay is killed": {At: at, Kind: history.ProcessChanged, Proc: "relay/1", Detail: "kill"},
		"another relay is lost":   {At: at, Kind: history.ProcessChanged, Proc: "relay/1", Detail: "lose", Text: "for good"},
		"another relay stands":    {At: at, Kind: history.ProcessChanged, Proc: "relay/1", Detail: "stop"},
	} {
		for _, end := range []struct {
			at     int64
			broken int
		}{{2540e3, 0}, {2560e3, 1}} { // its time is up at 2.2 s
			c := checkerOfTwoRelays()
			for _, e := range []history.Event{
				{At: 2e5, Kind: history.RequestSent, Relay: "relay/0", ID: "m", FirstID: "m", Class: "k", LeftMs: 2000},
				{At: 21e4, Kind: history.AnswerReceived, Relay: "relay/0", ID: "m", Status: 202}, trouble,
				{At: end.at, Kind: history.NoticeReceived, Relay: "relay/0", ID: "m", Detail: "deferred"}, {At: 60e6, Kind: history.End},
			} {
				c.See(e)
			}
			if r := c.Close(); r.Broken[End] != end.broken {
				t.Errorf("%s, and its end comes at %.2f s: %d ends are broken, want %d", name, float64(end.at)/1e6, r.Broken[End], end.broken)
			}
		}
	}
}

// A lost machine's messages wait for an heir, whom only keepers can name: a keeper that is killed meanwhile gives them more time.
func TestAKeeperThatEndsDelaysWhatALostMachineHeld(t *testing.T) {
	for name, c := range map[string]struct {
		killed int64
		told   int64
		broken int
	}{
		"a keeper is killed, and the end is in time":   {3e6, 6900e3, 0},
		"a keeper is killed, and the end is late":      {3e6, 7100e3, 1},
		"no keeper is killed, and the end is in time":  {0, 5400e3, 0},
		"no keeper is killed, and the end is late":     {0, 5600e3, 1},
		"the keeper is killed once the end is overdue": {5600e3, 9000e3, 1},
	} {
		checker := checkerOfTwoRelays()
		events := []history.Event{
			{At: 2e5, Kind: history.RequestSent, Relay: "relay/0", ID: "m", FirstID: "m", Class: "k", LeftMs: 2000},
			{At: 21e4, Kind: history.AnswerReceived, Relay: "relay/0", ID: "m", Status: 202},
			{At: 15e5, Kind: history.ProcessChanged, Proc: "relay/0", Detail: "lose", Text: "for good"}}
		if c.killed > 0 {
			events = append(events, history.Event{At: c.killed, Kind: history.ProcessChanged, Proc: "keeper/0", Detail: "kill"})
		}
		events = append(events, history.Event{At: c.told, Kind: history.NoticeReceived, Relay: "relay/1", ID: "m", Detail: "deferred"}, history.Event{At: 60e6, Kind: history.End})
		for _, e := range events {
			checker.See(e)
		}
		if r := checker.Close(); r.Broken[End] != c.broken {
			t.Errorf("%s: %d ends are broken, want %d", name, r.Broken[End], c.broken)
		}
	}
}

// checkerOfTwoRelays has seen two relays get ready, of which each takes over from the other within 4 s.
func checkerOfTwoRelays() *Checker {
	c := New()
	c.See(history.Event{Kind: history.Run, Terms: &history.Terms{MaxAttempts: 8, TakeOver: 4 * time.Second, DrainGrace: time.Second, AskWithin: time.Minute,
		Classes: []history.Class{{Name: "k", Effect: "deduplicated", Window: 15 * time.Second, Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}}}})
	for _, p := range []string{"relay/0", "relay/1"} {
		c.See(history.Event{Kind: history.ProcessChanged, Proc: p, Detail: "start"})
		c.See(history.Event{Kind: history.ProcessChanged, Proc: p, Detail: "ready"})
	}
	return c
}
