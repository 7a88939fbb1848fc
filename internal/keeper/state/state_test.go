package state

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// testMember simulates a member: it receives revisions late, applies them in increasing order, and confirms them later
// still.
type testMember struct {
	name, instance string
	hasSession     bool
	received       []revisionView // sent to it and not applied yet, in any order of arrival
	acting         revisionView   // view that it acts by
}

// revisionView is what members receive of a revision.
type revisionView struct{ revision, effective, prepared uint64 }

func viewOf(s *State) revisionView {
	view := revisionView{revision: s.Revision}
	if s.Effective != nil {
		view.effective = s.Effective.Number
	}
	if s.Prepared != nil {
		view.prepared = s.Prepared.Number
	}
	return view
}

// testModel is a state with simulated members and what is needed to check the invariants.
type testModel struct {
	state            *State
	members          []testMember
	highestEffective uint64
	rejected         map[uint64]bool
	accepted         map[string]uint64
	operations       int
}

func newTestModel(members int) *testModel {
	model := &testModel{state: New(), rejected: map[uint64]bool{}, accepted: map[string]uint64{}}
	for i := range members {
		model.members = append(model.members, testMember{name: fmt.Sprint("relay/", i), instance: "a"})
	}
	return model
}

// check returns an error if an invariant is violated.
func (m *testModel) check() error {
	var acting []revisionView
	for _, c := range m.members {
		if c.hasSession && c.acting.revision > 0 {
			acting = append(acting, c.acting)
		}
	}
	inUse := map[uint64]bool{}
	for _, v := range acting {
		if v.effective > 0 {
			inUse[v.effective] = true
		}
		if v.prepared > 0 {
			inUse[v.prepared] = true
		}
	}
	if len(inUse) > 2 {
		return fmt.Errorf("generations %v are in use at once", inUse)
	}
	for _, a := range acting { // no member acts by a new generation alone while another acts without the join with it
		for _, b := range acting {
			if a.effective > b.effective && b.prepared != a.effective {
				return fmt.Errorf("one member acts by generation %d alone, another by %d without the join with it", a.effective, b.effective)
			}
		}
	}
	if effective := viewOf(m.state).effective; effective < m.highestEffective {
		return fmt.Errorf("generation %d is in effect after %d", effective, m.highestEffective)
	} else {
		m.highestEffective = effective
	}
	if m.rejected[m.highestEffective] {
		return fmt.Errorf("generation %d is in effect, which a member rejected", m.highestEffective)
	}
	for op, n := range m.accepted {
		if g := m.state.Generation(n); g == nil || g.OperationID != op {
			return fmt.Errorf("the change that call %s asked for is lost", op)
		}
	}
	return nil
}

func (m *testModel) apply(e Event) Result { return m.state.Apply(e) }

// eventFor takes step k for member n and returns the event to apply, which is empty if the step concerns the member
// alone. It returns false if the step is not possible now.
func (m *testModel) eventFor(step, index int) (Event, bool) {
	member := &m.members[index%len(m.members)]
	switch step {
	case 0: // a session begins; its answer is not received yet
		if member.hasSession {
			return Event{}, false
		}
		member.hasSession, member.acting, member.received = true, revisionView{}, nil
		member.instance += "'"
		return Event{Join: &Join{Name: member.name, Instance: member.instance}}, true
	case 1: // the present revision is sent to it
		if !member.hasSession || len(member.received) > 2 {
			return Event{}, false
		}
		member.received = append(member.received, viewOf(m.state))
		return Event{}, true
	case 2: // it applies the first revision that it received, if that is newer
		if len(member.received) == 0 {
			return Event{}, false
		}
		if member.received[0].revision > member.acting.revision {
			member.acting = member.received[0]
		}
		member.received = member.received[1:]
		return Event{}, true
	case 3: // the revision sent last overtakes the others
		if len(member.received) < 2 {
			return Event{}, false
		}
		member.received[0], member.received[len(member.received)-1] = member.received[len(member.received)-1], member.received[0]
		return Event{}, true
	case 4:
		if !member.hasSession || member.acting.revision == 0 {
			return Event{}, false
		}
		return Event{Confirm: &Confirm{Name: member.name, Instance: member.instance, Revision: member.acting.revision}}, true
	case 5: // its lease has expired; it then acts by its fallback settings, which this test does not cover
		if !member.hasSession {
			return Event{}, false
		}
		member.hasSession, member.received = false, nil
		return Event{Leave: &Leave{Name: member.name, Instance: member.instance}}, true
	case 6:
		if !member.hasSession || member.acting.prepared == 0 {
			return Event{}, false
		}
		return Event{Reject: &Reject{Name: member.name, Instance: member.instance, Number: member.acting.prepared, Reason: "no"}}, true
	case 7:
		m.operations++
		return Event{Propose: &Propose{OperationID: fmt.Sprint("op", m.operations), Base: m.state.newestNumber(), Doc: json.RawMessage(fmt.Sprint(m.operations)), Who: "me"}}, true
	case 8:
		if m.state.Prepared == nil {
			return Event{}, false
		}
		m.operations++
		return Event{GiveUp: &GiveUp{OperationID: fmt.Sprint("op", m.operations), Number: m.state.Prepared.Number, Who: "me"}}, true
	}
	return Event{}, false
}

// step takes a step, applies its event and checks the invariants.
func (m *testModel) step(step, index int) (Event, error) {
	prepared := viewOf(m.state).prepared
	event, ok := m.eventFor(step, index)
	if !ok || event == (Event{}) {
		return event, m.check()
	}
	result := m.apply(event)
	switch {
	case event.Propose != nil && result.Err == nil:
		m.accepted[event.Propose.OperationID] = result.Number
	case event.Reject != nil && result.Err == nil:
		m.rejected[prepared] = true
	}
	return event, m.check()
}

// With random events the invariants hold, replaying the log gives the same state, as does a snapshot with the rest of the
// log, a repeated call gets the same answer, and every change ends once all members receive and confirm each revision.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newTestModel(rapid.IntRange(1, 4).Draw(t, "members"))
		var log []Event
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			e, err := model.step(rapid.IntRange(0, 8).Draw(t, "what"), rapid.IntRange(0, 3).Draw(t, "who"))
			if err != nil {
				t.Fatal(err)
			}
			if e != (Event{}) {
				log = append(log, e)
			}
		}
		want, err := model.state.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		snapshotAt := rapid.IntRange(0, len(log)).Draw(t, "snapshot")
		replayed := New()
		for i, e := range log {
			if i == snapshotAt {
				data, err := replayed.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if replayed, err = Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			replayed.Apply(e)
		}
		if got, _ := replayed.Snapshot(); !bytes.Equal(got, want) {
			t.Fatalf("replaying the log gives\n%s, want\n%s", got, want)
		}
		for _, e := range log {
			if e.Propose == nil {
				continue
			}
			number, last := model.accepted[e.Propose.OperationID], model.state.LastNumber
			if r := model.state.Apply(e); r.Number != number || model.state.LastNumber != last {
				t.Fatalf("repeated call %s: %+v, want number %d", e.Propose.OperationID, r, number)
			}
		}
		for range 4 * (maxQueued + 2) {
			for i := range model.members {
				if c := &model.members[i]; c.hasSession {
					c.acting = viewOf(model.state)
					model.apply(Event{Confirm: &Confirm{Name: c.name, Instance: c.instance, Revision: c.acting.revision}})
				}
			}
		}
		if model.state.Prepared != nil || model.state.Settling || len(model.state.Queue) > 0 {
			t.Fatalf("all members confirm, but prepared is %v, settling %v, %d changes are queued, pending members %v", model.state.Prepared, model.state.Settling, len(model.state.Queue), model.state.Pending())
		}
	})
}

// The invariants hold in every order of events of a small model: two members and two changes, to a depth at which a
// change can be prepared, confirmed by one member, given up and followed by another. Equal models are explored once.
func TestEveryEventOrder(t *testing.T) {
	const depth = 11
	type node struct {
		model *testModel
		path  []string
	}
	clone := func(model *testModel) *testModel {
		data, err := model.state.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		s, err := Restore(data)
		if err != nil {
			t.Fatal(err)
		}
		c := &testModel{state: s, highestEffective: model.highestEffective, operations: model.operations, rejected: map[uint64]bool{}, accepted: map[string]uint64{}}
		for number, v := range model.rejected {
			c.rejected[number] = v
		}
		for operationID, v := range model.accepted {
			c.accepted[operationID] = v
		}
		for _, x := range model.members {
			x.received = append([]revisionView(nil), x.received...)
			c.members = append(c.members, x)
		}
		return c
	}
	key := func(model *testModel) string {
		s := *model.state
		s.Applied = 0
		data, err := json.Marshal(&s)
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Sprintf("%s %v %v %v", data, model.members, model.rejected, model.operations)
	}
	start := newTestModel(2)
	for i := range start.members { // both members have sessions and act by the first generation
		start.step(0, i)
	}
	start.step(7, 0)
	for range 2 {
		for i := range start.members {
			for _, step := range []int{1, 2, 4} {
				start.step(step, i)
			}
		}
	}
	if viewOf(start.state).effective != 1 || start.state.Settling {
		t.Fatalf("the first generation is not in effect: %+v", start.state)
	}
	seen := map[string]bool{}
	frontier := []node{{start, nil}}
	steps := 0
	for range depth {
		var next []node
		for _, current := range frontier {
			for step := 1; step <= 8; step++ {
				for member := range 2 {
					if step >= 7 && (member > 0 || current.model.operations >= 3) { // at most two further calls of operators
						continue
					}
					model := clone(current.model)
					before := key(model)
					_, err := model.step(step, member)
					steps++
					path := append(append([]string(nil), current.path...), fmt.Sprintf("%d by %d", step, member))
					if err != nil {
						t.Fatalf("%v: %v", path, err)
					}
					if name := key(model); name != before && !seen[name] {
						seen[name] = true
						next = append(next, node{model, path})
					}
				}
			}
		}
		frontier = next
	}
	t.Logf("%d models, %d steps", len(seen), steps)
}

// Each invalid event is refused with its reason and leaves the state unchanged.
func TestRefusals(t *testing.T) {
	s := New()
	mustApply := func(event Event) Result {
		t.Helper()
		r := s.Apply(event)
		if r.Err != nil {
			t.Fatal(r.Err)
		}
		return r
	}
	mustApply(Event{Join: &Join{Name: "r", Instance: "1"}})
	mustApply(Event{Propose: &Propose{OperationID: "a", Doc: json.RawMessage("1"), Who: "me"}})
	for name, c := range map[string]struct {
		e    Event
		want error
	}{
		"nothing":                         {Event{}, ErrInvalidEvent},
		"a name used twice":               {Event{Join: &Join{Name: "r", Instance: "2"}}, ErrNameInUse},
		"an unknown process":              {Event{Confirm: &Confirm{Name: "r", Instance: "2", Revision: 1}}, ErrUnknownMember},
		"another revision":                {Event{Confirm: &Confirm{Name: "r", Instance: "1", Revision: 9}}, ErrWrongStage},
		"another base":                    {Event{Propose: &Propose{OperationID: "b", Base: 0, Doc: json.RawMessage("2")}}, ErrStaleBase},
		"a document that is not JSON":     {Event{Propose: &Propose{OperationID: "c", Base: 1, Doc: json.RawMessage("{")}}, ErrInvalidDocument},
		"an empty document":               {Event{Propose: &Propose{OperationID: "d", Base: 1}}, ErrInvalidDocument},
		"no operation ID":                 {Event{Propose: &Propose{Base: 1, Doc: json.RawMessage("2")}}, ErrInvalidEvent},
		"rejection of another generation": {Event{Reject: &Reject{Name: "r", Instance: "1", Number: 7}}, ErrWrongStage},
		"an unknown change":               {Event{GiveUp: &GiveUp{OperationID: "e", Number: 7}}, ErrWrongStage},
		"leave by another process":        {Event{Leave: &Leave{Name: "r", Instance: "2"}}, ErrUnknownMember},
	} {
		before := viewOf(s)
		if r := s.Apply(c.e); r.Err == nil || r.Err.Error() != c.want.Error() {
			t.Errorf("%s: %v, want %v", name, r.Err, c.want)
		}
		if viewOf(s) != before || len(s.Members) != 1 {
			t.Errorf("%s: the refused event changed the state", name)
		}
	}
	mustApply(Event{Join: &Join{Name: "r", Instance: "2", Predecessor: "1"}}) // the next process in an upgrade
	if got := s.Pending(); len(got) != 1 {
		t.Errorf("pending %v: the confirmation of the previous process counts for the next one", got)
	}
}

// Guards against a damaged snapshot that is accepted and leads to a panic or to a state that cannot be stored.
func FuzzRestore(f *testing.F) {
	model := newTestModel(2)
	for _, step := range []int{0, 7, 1, 2, 4, 7, 1, 2} {
		model.step(step, 0)
	}
	if data, err := model.state.Snapshot(); err == nil {
		f.Add(data)
	}
	f.Add([]byte(`{"next":{"number":3,"stage":"prepared"},"members":[{"name":"b"},{"name":"a"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Restore(data)
		if err != nil {
			return
		}
		s.Apply(Event{Join: &Join{Name: "x", Instance: "1"}})
		s.Apply(Event{Propose: &Propose{OperationID: "x", Base: s.newestNumber(), Doc: json.RawMessage("1")}})
		if _, err := s.Snapshot(); err != nil {
			t.Error(err)
		}
	})
}
