package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func fleet(n, zones int) (all []Member) {
	for i := range n {
		all = append(all, Member{Name: fmt.Sprintf("relay/%d", i), Instance: fmt.Sprint("p", i), Zone: fmt.Sprint(i % zones), Addr: fmt.Sprint("a", i), Folder: fmt.Sprint("f", i)})
	}
	return all
}

// Guards against copies that all lie with a few, in the zone of their owner where there is another, or in so many sets that
// the loss of any few machines hits one.
func TestCopiesAreSpread(t *testing.T) {
	for _, n := range []int{4, 8, 30, 300} {
		for copies := 1; copies <= 2; copies++ {
			var r Registry
			all := fleet(n, 3)
			for _, m := range all {
				if err := r.Apply(all, Event{Open: &Open{m.Name, m.Instance, copies}}); err != nil {
					t.Fatal(err)
				}
			}
			loads, inherited := r.loads()
			most, sets := 0, map[string]bool{}
			for _, e := range r.Estates {
				if len(e.Holders) != min(copies+1, n-1) {
					t.Fatalf("%d relays, %d copies: %s has holders %v", n, copies, e.Name, e.Holders)
				}
				sets[fmt.Sprint(e.Holders)] = true
				far := 0
				for _, h := range e.Holders {
					most = max(most, loads[h.Name])
					if member(all, h.Name).Zone != member(all, e.Name).Zone {
						far++
					}
				}
				if n >= 30 && far < copies {
					t.Errorf("%d relays: %s has %d holders in other zones, of %v", n, e.Name, far, e.Holders)
				}
			}
			if most > 2*(copies+1)+2 || len(sets) > n || len(inherited) != 0 {
				t.Errorf("%d relays, %d copies: one holds %d, %d sets, %d inherited", n, copies, most, len(sets), len(inherited))
			}
		}
	}
}

// Guards against heirs that get more than their part, among them those that are lost themselves, and against an estate that
// is given away while its owner is there.
func TestHeirsShare(t *testing.T) {
	var r Registry
	all := fleet(30, 2)
	for _, m := range all {
		if err := r.Apply(all, Event{Open: &Open{m.Name, m.Instance, 2}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Apply(all, Event{Inherit: &Inherit{1, r.Estates[0].Epoch}}); !errors.Is(err, ErrPresent) {
		t.Errorf("an estate whose owner has a session: %v, want %v", err, ErrPresent)
	}
	left := all[6:]
	for _, e := range r.Estates[:6] {
		epoch := e.Epoch
		if err := r.Apply(left, Event{Inherit: &Inherit{e.ID, epoch}}); err != nil {
			t.Fatal(err)
		}
		if err := r.Apply(left, Event{Inherit: &Inherit{e.ID, epoch}}); !errors.Is(err, ErrOver) {
			t.Errorf("named twice: %v, want %v", err, ErrOver)
		}
		if e.Main || member(left, e.Owner) == nil || len(r.Owned(e.Owner)) != 2 {
			t.Errorf("estate of %s: main %v, owner %s with %d estates", e.Name, e.Main, e.Owner, len(r.Owned(e.Owner)))
		}
		for _, h := range e.Holders {
			if member(left, h.Name) == nil || h.Name == e.Owner {
				t.Errorf("estate of %s, now of %s, is held by %s", e.Name, e.Owner, h.Name)
			}
		}
	}
	// One that comes back gets another estate; the heir goes on with the old one.
	if err := r.Apply(all, Event{Open: &Open{"relay/0", "p0", 2}}); err != nil || len(r.Owned("relay/0")) != 1 || r.Owned("relay/0")[0].ID == 1 {
		t.Errorf("back again: %v, owns %v", err, r.Owned("relay/0"))
	}
	e := r.Estates[0]
	if err := r.Apply(all, Event{Close: &Word{e.ID, e.Epoch, e.Writer}}); err != nil || r.Find(e.ID) != nil {
		t.Errorf("an estate that has run out: %v, found %v", err, r.Find(e.ID))
	}
	main := r.Owned("relay/9")[0]
	if err := r.Apply(all, Event{Close: &Word{main.ID, main.Epoch, main.Writer}}); !errors.Is(err, ErrOver) {
		t.Errorf("a main estate was closed: %v", err)
	}
}

// Guards against a registry that some sequence of events breaks, and one that a snapshot and the rest of the log lead
// elsewhere: whatever comes, estates stand in order, have writers and holders that make sense, and equal what a copy gets.
func TestAnyEventsLeaveTheRegistrySound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r, copied Registry
		all := fleet(5, 2)
		cut := rapid.IntRange(0, 40).Draw(t, "cut")
		for i := range 60 {
			if i == cut {
				data, err := json.Marshal(r)
				if err != nil || json.Unmarshal(data, &copied) != nil {
					t.Fatal(err)
				}
			}
			id := rapid.Uint64Range(0, 6).Draw(t, "id")
			word := Word{ID: id, Epoch: rapid.Uint64Range(0, 8).Draw(t, "epoch"), Instance: fmt.Sprint("p", rapid.IntRange(0, 5).Draw(t, "instance"))}
			if e := r.Find(id); e != nil && rapid.Bool().Draw(t, "true") {
				word.Epoch, word.Instance = e.Epoch, e.Writer
			}
			var e Event
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				n := rapid.IntRange(0, 5).Draw(t, "name")
				e.Open = &Open{fmt.Sprintf("relay/%d", n), fmt.Sprint("p", n), rapid.IntRange(-1, 3).Draw(t, "copies")}
			case 2:
				e.Replace = &Replace{word, []string{fmt.Sprintf("relay/%d", rapid.IntRange(0, 5).Draw(t, "gone"))}}
			case 3:
				e.Filled = &word
			case 4:
				e.Close = &word
			case 5:
				e.Inherit = &Inherit{word.ID, word.Epoch}
			}
			here := all[:rapid.IntRange(0, len(all)).Draw(t, "members")]
			err := r.Apply(here, e)
			if i >= cut {
				if other := copied.Apply(here, e); (err == nil) != (other == nil) {
					t.Fatalf("event %d: %v, and %v after a snapshot", i, err, other)
				}
			}
			last := uint64(0)
			for _, e := range r.Estates {
				if e.ID <= last || e.ID > r.Last || e.Epoch == 0 || e.Writer == "" || e.Owner == "" || len(e.Before) > beforeMost+1 {
					t.Fatalf("event %d leaves %+v", i, *e)
				}
				last = e.ID
				if slices.ContainsFunc(e.Holders, func(h Holder) bool { return h.Name == e.Owner }) {
					t.Fatalf("%s holds its own copy", e.Owner)
				}
			}
		}
		a, _ := json.Marshal(r)
		b, _ := json.Marshal(copied)
		if cut < 60 && !reflect.DeepEqual(a, b) {
			t.Fatalf("%s\nafter a snapshot\n%s", a, b)
		}
	})
}

// Guards against a holder that is replaced for a moment's silence, or kept though it takes nothing, and against one that
// delays what counts.
func TestSlowAndGoneHolders(t *testing.T) {
	w := Writer{Next: 1}
	w.Set(1, 1, []Holder{{"a", "a", "f"}, {"b", "b", "f"}})
	a, b := w.Followers[0], w.Followers[1]
	w.Took(a, 1, true, 0)
	w.Took(b, 1, true, 0)
	w.Next = 11
	w.Took(a, 11, false, time.Second)
	if w.Counted() != 11 || w.Short() {
		t.Errorf("with one of two behind %d counts, short %v, want 11 and not short", w.Counted(), w.Short())
	}
	w.Failing(b, 2*time.Second, false)
	for now, want := range map[time.Duration]int{3 * time.Second: 0, 4*time.Second + time.Millisecond: 1} {
		if got := len(w.Gone(now)); got != want {
			t.Errorf("%v after it fails: %d gone, want %d", now-2*time.Second, got, want)
		}
	}
	w.Took(b, 5, false, 5*time.Second)
	w.Took(b, 6, false, 11*time.Second)
	if got := w.Gone(11 * time.Second); len(got) != 1 {
		t.Errorf("one that has been behind for 6 s: gone %v", got)
	}
	w.Took(b, 11, false, 12*time.Second)
	w.Failing(a, 12*time.Second, true)
	if got := w.Gone(12 * time.Second); !slices.Equal(got, []string{"a"}) || w.Counted() != 11 {
		t.Errorf("one that has lost its folder: gone %v, %d counts", got, w.Counted())
	}
}
