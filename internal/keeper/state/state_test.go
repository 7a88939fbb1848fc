package state

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// client is a member as it behaves: it hears of turns late, takes them up in their order, and confirms later still.
type client struct {
	name, instance string
	live           bool
	heard          []view // on their way to it, in any order of arrival
	acts           view   // what it acts by
}

// view is what members are told of a turn.
type view struct{ turn, force, next uint64 }

func see(s *State) view {
	v := view{turn: s.Turn}
	if s.Force != nil {
		v.force = s.Force.Number
	}
	if s.Next != nil {
		v.next = s.Next.Number
	}
	return v
}

// world is a state with the clients round it, and what must hold.
type world struct {
	s        *State
	clients  []client
	force    uint64
	rejected map[uint64]bool
	accepted map[string]uint64
	ops      int
}

func newWorld(n int) *world {
	w := &world{s: New(), rejected: map[uint64]bool{}, accepted: map[string]uint64{}}
	for i := range n {
		w.clients = append(w.clients, client{name: fmt.Sprint("relay/", i), instance: "a"})
	}
	return w
}

// check tells what does not hold.
func (w *world) check() error {
	var acts []view
	for _, c := range w.clients {
		if c.live && c.acts.turn > 0 {
			acts = append(acts, c.acts)
		}
	}
	used := map[uint64]bool{}
	for _, v := range acts {
		if v.force > 0 {
			used[v.force] = true
		}
		if v.next > 0 {
			used[v.next] = true
		}
	}
	if len(used) > 2 {
		return fmt.Errorf("generations %v are in use at once", used)
	}
	for _, a := range acts { // one that acts by a new generation alone, and one that has not joined it
		for _, b := range acts {
			if a.force > b.force && b.next != a.force {
				return fmt.Errorf("one acts by generation %d alone, another by %d without its join", a.force, b.force)
			}
		}
	}
	if f := see(w.s).force; f < w.force {
		return fmt.Errorf("generation %d is in force after %d", f, w.force)
	} else {
		w.force = f
	}
	if w.rejected[w.force] {
		return fmt.Errorf("generation %d is in force, which a member rejected", w.force)
	}
	for op, n := range w.accepted {
		if g := w.s.Generation(n); g == nil || g.Op != op {
			return fmt.Errorf("the change that call %s asked for is lost", op)
		}
	}
	return nil
}

func (w *world) apply(e Event) Result { return w.s.Apply(e) }

// do carries out step k of what may happen, or tells that it cannot.
func (w *world) do(k, n int) (Event, bool) {
	c := &w.clients[n%len(w.clients)]
	switch k {
	case 0: // a session begins; the answer is on its way
		if c.live {
			return Event{}, false
		}
		c.live, c.acts, c.heard = true, view{}, nil
		c.instance += "'"
		return Event{Join: &Join{Name: c.name, Instance: c.instance}}, true
	case 1: // it hears of what holds now
		if !c.live || len(c.heard) > 2 {
			return Event{}, false
		}
		c.heard = append(c.heard, see(w.s))
		return Event{}, true
	case 2: // it takes up what it heard first of, if it is newer
		if len(c.heard) == 0 {
			return Event{}, false
		}
		if c.heard[0].turn > c.acts.turn {
			c.acts = c.heard[0]
		}
		c.heard = c.heard[1:]
		return Event{}, true
	case 3: // what it heard last of overtakes
		if len(c.heard) < 2 {
			return Event{}, false
		}
		c.heard[0], c.heard[len(c.heard)-1] = c.heard[len(c.heard)-1], c.heard[0]
		return Event{}, true
	case 4:
		if !c.live || c.acts.turn == 0 {
			return Event{}, false
		}
		return Event{Confirm: &Confirm{Name: c.name, Instance: c.instance, Turn: c.acts.turn}}, true
	case 5: // its lease has run out; it acts by the fallback, which is another matter
		if !c.live {
			return Event{}, false
		}
		c.live, c.heard = false, nil
		return Event{Leave: &Leave{Name: c.name, Instance: c.instance}}, true
	case 6:
		if !c.live || c.acts.next == 0 {
			return Event{}, false
		}
		return Event{Reject: &Reject{Name: c.name, Instance: c.instance, Number: c.acts.next, Reason: "no"}}, true
	case 7:
		w.ops++
		return Event{Propose: &Propose{Op: fmt.Sprint("op", w.ops), Base: w.s.last(), Doc: json.RawMessage(fmt.Sprint(w.ops)), Who: "me"}}, true
	case 8:
		if w.s.Next == nil {
			return Event{}, false
		}
		w.ops++
		return Event{GiveUp: &GiveUp{Op: fmt.Sprint("op", w.ops), Number: w.s.Next.Number, Who: "me"}}, true
	}
	return Event{}, false
}

// step carries out a step and looks whether all holds.
func (w *world) step(k, n int) (Event, error) {
	next := see(w.s).next
	e, ok := w.do(k, n)
	if !ok || e == (Event{}) {
		return e, w.check()
	}
	r := w.apply(e)
	switch {
	case e.Propose != nil && r.Err == nil:
		w.accepted[e.Propose.Op] = r.Number
	case e.Reject != nil && r.Err == nil:
		w.rejected[next] = true
	}
	return e, w.check()
}

// Random events: the invariants hold, the same log gives the same state, so does a snapshot and the rest of the log, a
// call that is made again is answered as before, and once all hear and confirm every change ends.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 4).Draw(t, "members"))
		var log []Event
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			e, err := w.step(rapid.IntRange(0, 8).Draw(t, "what"), rapid.IntRange(0, 3).Draw(t, "who"))
			if err != nil {
				t.Fatal(err)
			}
			if e != (Event{}) {
				log = append(log, e)
			}
		}
		want, err := w.s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		cut := rapid.IntRange(0, len(log)).Draw(t, "snapshot")
		again := New()
		for i, e := range log {
			if i == cut {
				data, err := again.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if again, err = Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			again.Apply(e)
		}
		if got, _ := again.Snapshot(); !bytes.Equal(got, want) {
			t.Fatalf("the log again gives\n%s, want\n%s", got, want)
		}
		for _, e := range log {
			if e.Propose == nil {
				continue
			}
			n, last := w.accepted[e.Propose.Op], w.s.Last
			if r := w.s.Apply(e); r.Number != n || w.s.Last != last {
				t.Fatalf("call %s made again: %+v, was %d", e.Propose.Op, r, n)
			}
		}
		for range 4 * (waitingMost + 2) {
			for i := range w.clients {
				if c := &w.clients[i]; c.live {
					c.acts = see(w.s)
					w.apply(Event{Confirm: &Confirm{Name: c.name, Instance: c.instance, Turn: c.acts.turn}})
				}
			}
		}
		if w.s.Next != nil || w.s.Settling || len(w.s.Queue) > 0 {
			t.Fatalf("all confirm, and yet: next %v, settling %v, %d wait for %v", w.s.Next, w.s.Settling, len(w.s.Queue), w.s.Pending())
		}
	})
}

// Every order of events in a small world: two members, two changes, to a depth at which a change can be prepared,
// confirmed by one, given up and followed by another. Equal worlds are looked at once.
func TestEveryOrder(t *testing.T) {
	const depth = 11
	type at struct {
		w    *world
		path []string
	}
	copyOf := func(w *world) *world {
		data, err := w.s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		s, err := Restore(data)
		if err != nil {
			t.Fatal(err)
		}
		c := &world{s: s, force: w.force, ops: w.ops, rejected: map[uint64]bool{}, accepted: map[string]uint64{}}
		for k, v := range w.rejected {
			c.rejected[k] = v
		}
		for k, v := range w.accepted {
			c.accepted[k] = v
		}
		for _, x := range w.clients {
			x.heard = append([]view(nil), x.heard...)
			c.clients = append(c.clients, x)
		}
		return c
	}
	key := func(w *world) string {
		s := *w.s
		s.Applied = 0
		data, err := json.Marshal(&s)
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Sprintf("%s %v %v %v", data, w.clients, w.rejected, w.ops)
	}
	start := newWorld(2)
	for i := range start.clients { // both have sessions and act by the first generation
		start.step(0, i)
	}
	start.step(7, 0)
	for range 2 {
		for i := range start.clients {
			for _, k := range []int{1, 2, 4} {
				start.step(k, i)
			}
		}
	}
	if see(start.s).force != 1 || start.s.Settling {
		t.Fatalf("the first generation is not in force: %+v", start.s)
	}
	seen := map[string]bool{}
	front := []at{{start, nil}}
	steps := 0
	for range depth {
		var next []at
		for _, a := range front {
			for k := 1; k <= 8; k++ {
				for n := range 2 {
					if k >= 7 && (n > 0 || a.w.ops >= 3) { // two further calls of operators
						continue
					}
					w := copyOf(a.w)
					before := key(w)
					_, err := w.step(k, n)
					steps++
					path := append(append([]string(nil), a.path...), fmt.Sprintf("%d by %d", k, n))
					if err != nil {
						t.Fatalf("%v: %v", path, err)
					}
					if name := key(w); name != before && !seen[name] {
						seen[name] = true
						next = append(next, at{w, path})
					}
				}
			}
		}
		front = next
	}
	t.Logf("%d worlds, %d steps", len(seen), steps)
}

// Each refusal, and what must not change by it.
func TestRefusals(t *testing.T) {
	s := New()
	must := func(e Event) Result {
		t.Helper()
		r := s.Apply(e)
		if r.Err != nil {
			t.Fatal(r.Err)
		}
		return r
	}
	must(Event{Join: &Join{Name: "r", Instance: "1"}})
	must(Event{Propose: &Propose{Op: "a", Doc: json.RawMessage("1"), Who: "me"}})
	for name, c := range map[string]struct {
		e    Event
		want error
	}{
		"nothing":                    {Event{}, ErrBadEvent},
		"a name used twice":          {Event{Join: &Join{Name: "r", Instance: "2"}}, ErrTaken},
		"a process that never was":   {Event{Confirm: &Confirm{Name: "r", Instance: "2", Turn: 1}}, ErrUnknown},
		"a turn that is over":        {Event{Confirm: &Confirm{Name: "r", Instance: "1", Turn: 9}}, ErrStage},
		"a change of something else": {Event{Propose: &Propose{Op: "b", Base: 0, Doc: json.RawMessage("2")}}, ErrBase},
		"a document that is none":    {Event{Propose: &Propose{Op: "c", Base: 1, Doc: json.RawMessage("{")}}, ErrDoc},
		"an empty document":          {Event{Propose: &Propose{Op: "d", Base: 1}}, ErrDoc},
		"a call without a number":    {Event{Propose: &Propose{Base: 1, Doc: json.RawMessage("2")}}, ErrBadEvent},
		"a rejection of another":     {Event{Reject: &Reject{Name: "r", Instance: "1", Number: 7}}, ErrStage},
		"a change that is not there": {Event{GiveUp: &GiveUp{Op: "e", Number: 7}}, ErrStage},
		"the end of another process": {Event{Leave: &Leave{Name: "r", Instance: "2"}}, ErrUnknown},
	} {
		before := see(s)
		if r := s.Apply(c.e); r.Err == nil || r.Err.Error() != c.want.Error() {
			t.Errorf("%s: %v, want %v", name, r.Err, c.want)
		}
		if see(s) != before || len(s.Members) != 1 {
			t.Errorf("%s: it changed the state", name)
		}
	}
	must(Event{Join: &Join{Name: "r", Instance: "2", Before: "1"}}) // the next process in an upgrade
	if got := s.Pending(); len(got) != 1 {
		t.Errorf("pending %v: what the process before it confirmed counts for the next", got)
	}
}

// Guards against a snapshot that was damaged and is taken up all the same, or that panics.
func FuzzRestore(f *testing.F) {
	w := newWorld(2)
	for _, k := range []int{0, 7, 1, 2, 4, 7, 1, 2} {
		w.step(k, 0)
	}
	if data, err := w.s.Snapshot(); err == nil {
		f.Add(data)
	}
	f.Add([]byte(`{"next":{"number":3,"stage":"prepared"},"members":[{"name":"b"},{"name":"a"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Restore(data)
		if err != nil {
			return
		}
		s.Apply(Event{Join: &Join{Name: "x", Instance: "1"}})
		s.Apply(Event{Propose: &Propose{Op: "x", Base: s.last(), Doc: json.RawMessage("1")}})
		if _, err := s.Snapshot(); err != nil {
			t.Error(err)
		}
	})
}
