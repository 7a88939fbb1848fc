package choice

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// messageState is what the rules need to know of one message.
type messageState struct {
	class        int
	deadline     time.Duration
	key          string
	sequence     int
	attempts     int
	host         string
	mayHaveRun   bool
	firstRunAt   time.Duration
	firstRunZone int
	ended        bool
	uncertainAt  time.Duration
}

// playAndCheckRules turns bytes into valid events, checks the rules on every action, and returns
// all actions. It models no server: outcomes come from the bytes.
func playAndCheckRules(t *testing.T, data []byte) [][]Action {
	s := settings()
	s.Kinds[0].PerCall = 2
	c, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	hosts := []Host{ready("a", 1, 0, 0), ready("b", 1, 0, 1), ready("c", 2, 2, 0), ready("d", 2, 2, 1)}
	hostsByAddr := map[string]*Host{}
	for i := range hosts {
		hostsByAddr[hosts[i].Addr] = &hosts[i]
	}
	now := time.Hour
	disabled := map[string]bool{}
	states, retryAfters, keyPauses := map[string]*messageState{}, map[string]time.Duration{}, map[string]time.Duration{}
	var ids []string
	var all [][]Action
	play := func(events ...Event) {
		acts := c.Step(now, events)
		all = append(all, acts)
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				l, h := states[a.ID], hostsByAddr[a.Host]
				unit := fmt.Sprint(h.Dest)
				if h.Dest == 2 {
					unit = a.Host
				}
				class := s.Classes[l.class]
				switch {
				case l.ended:
					t.Fatalf("sent %s after its end", a.ID)
				case l.host != "":
					t.Fatalf("two attempts of %s in flight", a.ID)
				case l.attempts >= s.MaxAttempts:
					t.Fatalf("attempt %d of %s", l.attempts+1, a.ID)
				case h.State != Ready:
					t.Fatalf("sent to %s in state %d", a.Host, h.State)
				case disabled[a.Host]:
					t.Fatalf("sent to %s, which operators disabled", a.Host)
				case now < retryAfters[unit]:
					t.Fatalf("sent to %s before its retry-after time", a.Host)
				case l.mayHaveRun && class.Effect == Unsafe:
					t.Fatalf("repeated unsafe %s", a.ID)
				case l.mayHaveRun && class.Effect == Keyed &&
					(now > l.firstRunAt+class.Window || h.Zone != l.firstRunZone):
					t.Fatalf("repeated keyed %s outside its window or zone", a.ID)
				case a.Timeout <= 0 || now+a.Timeout > l.deadline:
					t.Fatalf("time-out %v of %s with %v left", a.Timeout, a.ID, l.deadline-now)
				}
				if class.Ordered && l.key != "" {
					if now < keyPauses[l.key] {
						t.Fatalf("key %s sent during its pause", l.key)
					}
					for _, id := range ids {
						if o := states[id]; o.key == l.key && o.sequence < l.sequence && (!o.ended || o.host != "") {
							t.Fatalf("%s overtook %s", a.ID, id)
						}
					}
				}
				l.attempts++
				l.host = a.Host
				if !l.mayHaveRun {
					l.firstRunAt, l.firstRunZone = now, h.Zone
				}
			case Refuse:
				l := states[a.ID]
				if l.ended || l.host != "" || l.mayHaveRun && s.Classes[l.class].Effect != Safe || now > l.deadline {
					t.Fatalf("refused %s against the rules", a.ID)
				}
				l.ended = true
			case Fail:
				l := states[a.ID]
				if l.ended || now > l.deadline+s.Rules.AnswerGrace {
					t.Fatalf("failed %s twice or too late", a.ID)
				}
				l.ended = true
			}
		}
		for _, id := range ids {
			if l := states[id]; !l.ended && now > l.deadline+s.Rules.AnswerGrace {
				t.Fatalf("%s got no final answer in time", id)
			}
		}
		if disabled := c.inFlight; disabled > s.Workers {
			t.Fatalf("%d calls in flight with %d slots", disabled, s.Workers)
		}
	}
	finish := func(id string, o Outcome, retryAfter time.Duration) Event {
		l := states[id]
		h := hostsByAddr[l.host]
		e := Result{ID: id, Host: l.host, Attempt: l.attempts - 1, Outcome: o, Took: 30 * ms, Done: o == Served ||
			l.ended}
		switch o {
		case Served:
			l.ended = true
		case Refused:
			e.RetryAfter = retryAfter
			unit := fmt.Sprint(h.Dest)
			if h.Dest == 2 {
				unit = l.host
			}
			retryAfters[unit] = max(retryAfters[unit], now+retryAfter)
		case Timeout, Reset, Cancelled, Error:
			l.mayHaveRun = true
			if o != Error && l.key != "" {
				l.uncertainAt = now
			}
		}
		l.host = ""
		return e
	}
	play(ListUpdate{Complete: true, Hosts: hosts})
	for i := 0; i+1 < len(data); i += 2 {
		op, arg := data[i], int(data[i+1])
		switch op % 6 {
		case 0:
			id := fmt.Sprint("m", len(ids))
			l := &messageState{class: arg % 4, deadline: now + time.Duration(1+arg/32)*time.Second, sequence: len(ids)}
			if l.class == 3 {
				l.key = fmt.Sprint("k", arg/16%3)
			}
			states[id] = l
			ids = append(ids, id)
			play(Arrival{ID: id, Class: l.class, Dest: 1 + arg/8%2, Left: l.deadline - now, Key: l.key})
		case 1:
			for _, id := range ids {
				if states[id].host != "" {
					o := Outcome(arg % int(NotSent+1))
					play(finish(id, o, time.Duration(arg/8)*50*ms))
					if l := states[id]; l.ended || o == Timeout || o == Reset || o == Cancelled {
						if l.key != "" && l.ended && l.uncertainAt > 0 {
							keyPauses[l.key] = max(keyPauses[l.key], l.uncertainAt+s.Rules.OrderSettle)
						}
					}
					break
				}
			}
		case 2:
			h := &hosts[arg%4]
			h.State = State(arg / 4 % 3)
			play(ListUpdate{Hosts: []Host{*h}})
			if h.State == Removed {
				h.State = Draining // still named by calls in flight; nothing new may go there
			}
		case 3:
			id := hosts[arg%4].Addr
			disabled[id] = arg/4%2 == 0
			play(ManualChange{Host: id, Disabled: disabled[id]})
		default:
			for range 1 + arg/8 {
				now += 5 * ms
				var due []Event
				for _, id := range ids {
					if l := states[id]; l.host != "" && now >= l.deadline {
						due = append(due, finish(id, Timeout, 0))
					}
				}
				play(append(due, Woken{})...)
			}
		}
	}
	return all
}

func seeds() [][]byte {
	var out [][]byte
	for k := range 12 {
		x := uint32(k*2654435761 + 12345)
		data := make([]byte, 1200)
		for i := range data {
			x = x*1664525 + 1013904223
			data[i] = byte(x >> 24)
		}
		out = append(out, data)
	}
	return out
}

func FuzzRules(f *testing.F) {
	for _, s := range seeds() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 4000 {
			t.Skip("longer inputs find no more")
		}
		playAndCheckRules(t, data)
	})
}

func TestSameEventsSameActions(t *testing.T) {
	for i, s := range seeds() {
		if a, b := playAndCheckRules(t, s), playAndCheckRules(t, s); !reflect.DeepEqual(a, b) {
			t.Errorf("seed %d: two runs differ", i)
		}
	}
}
