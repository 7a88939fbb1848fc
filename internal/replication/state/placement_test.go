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

func testMembers(n, zones int) (members []Member) {
	for i := range n {
		members = append(members, Member{Name: fmt.Sprintf("relay/%d", i), Instance: fmt.Sprint("p", i), Zone: fmt.Sprint(i % zones), Addr: fmt.Sprint("a", i), Folder: fmt.Sprint("f", i)})
	}
	return members
}

// Guards against copies that are concentrated on a few members or stored in the owner's zone where there is another, and
// against so many distinct sets that the loss of any few machines is that of a whole set.
func TestCopiesAreSpread(t *testing.T) {
	for _, n := range []int{4, 8, 30, 300} {
		for copies := 1; copies <= 2; copies++ {
			var registry Registry
			members := testMembers(n, 3)
			for _, m := range members {
				if err := registry.Apply(members, Event{Open: &Open{m.Name, m.Instance, copies}}); err != nil {
					t.Fatal(err)
				}
			}
			copiesOf, takenOver := registry.countByMember()
			most, sets := 0, map[string]bool{}
			for _, group := range registry.Groups {
				if len(group.Replicas) != min(copies+1, n-1) {
					t.Fatalf("%d relays, %d copies: %s has replicas %v", n, copies, group.Name, group.Replicas)
				}
				sets[fmt.Sprint(group.Replicas)] = true
				inOtherZones := 0
				for _, replica := range group.Replicas {
					most = max(most, copiesOf[replica.Name])
					if findMember(members, replica.Name).Zone != findMember(members, group.Name).Zone {
						inOtherZones++
					}
				}
				if n >= 30 && inOtherZones < copies {
					t.Errorf("%d relays: %s has %d replicas in other zones, of %v", n, group.Name, inOtherZones, group.Replicas)
				}
			}
			if most > 2*(copies+1)+2 || len(sets) > n || len(takenOver) != 0 {
				t.Errorf("%d relays, %d copies: one stores %d, %d sets, %d taken over", n, copies, most, len(sets), len(takenOver))
			}
		}
	}
}

// Guards against successors that get more than their share or are lost themselves, and against a group that is taken over while
// its owner has a session.
func TestSuccessorsShareGroups(t *testing.T) {
	var registry Registry
	members := testMembers(30, 2)
	for _, m := range members {
		if err := registry.Apply(members, Event{Open: &Open{m.Name, m.Instance, 2}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := registry.Apply(members, Event{TakeOver: &TakeOver{1, registry.Groups[0].Epoch}}); !errors.Is(err, ErrOwnerPresent) {
		t.Errorf("a group whose owner has a session: %v, want %v", err, ErrOwnerPresent)
	}
	remaining := members[6:]
	for _, group := range registry.Groups[:6] {
		epoch := group.Epoch
		if err := registry.Apply(remaining, Event{TakeOver: &TakeOver{group.ID, epoch}}); err != nil {
			t.Fatal(err)
		}
		if err := registry.Apply(remaining, Event{TakeOver: &TakeOver{group.ID, epoch}}); !errors.Is(err, ErrStaleEpoch) {
			t.Errorf("taken over twice: %v, want %v", err, ErrStaleEpoch)
		}
		if group.Main || findMember(remaining, group.Owner) == nil || len(registry.OwnedBy(group.Owner)) != 2 {
			t.Errorf("group of %s: main %v, owner %s with %d groups", group.Name, group.Main, group.Owner, len(registry.OwnedBy(group.Owner)))
		}
		for _, replica := range group.Replicas {
			if findMember(remaining, replica.Name) == nil || replica.Name == group.Owner {
				t.Errorf("group of %s, now of %s, is stored by %s", group.Name, group.Owner, replica.Name)
			}
		}
	}
	// A lost owner that returns gets a new group; the successor continues the old one.
	if err := registry.Apply(members, Event{Open: &Open{"relay/0", "p0", 2}}); err != nil || len(registry.OwnedBy("relay/0")) != 1 || registry.OwnedBy("relay/0")[0].ID == 1 {
		t.Errorf("after its return: %v, owns %v", err, registry.OwnedBy("relay/0"))
	}
	group := registry.Groups[0]
	if err := registry.Apply(members, Event{Close: &GroupEpoch{group.ID, group.Epoch, group.Writer}}); err != nil || registry.Find(group.ID) != nil {
		t.Errorf("a group that was closed: %v, found %v", err, registry.Find(group.ID))
	}
	main := registry.OwnedBy("relay/9")[0]
	if err := registry.Apply(members, Event{Close: &GroupEpoch{main.ID, main.Epoch, main.Writer}}); !errors.Is(err, ErrStaleEpoch) {
		t.Errorf("a main group was closed: %v", err)
	}
}

// Guards against a sequence of events that makes the registry inconsistent, and against a snapshot with the rest of the log that
// yields another registry: after any events the groups are sorted, have valid writers and replicas, and equal those of a
// registry that was restored from a snapshot.
func TestRegistryStaysConsistentUnderAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var registry, restored Registry
		members := testMembers(5, 2)
		snapshotAt := rapid.IntRange(0, 40).Draw(t, "cut")
		for i := range 60 {
			if i == snapshotAt {
				data, err := json.Marshal(registry)
				if err != nil || json.Unmarshal(data, &restored) != nil {
					t.Fatal(err)
				}
			}
			id := rapid.Uint64Range(0, 6).Draw(t, "id")
			current := GroupEpoch{ID: id, Epoch: rapid.Uint64Range(0, 8).Draw(t, "epoch"), Instance: fmt.Sprint("p", rapid.IntRange(0, 5).Draw(t, "instance"))}
			if e := registry.Find(id); e != nil && rapid.Bool().Draw(t, "true") {
				current.Epoch, current.Instance = e.Epoch, e.Writer
			}
			var e Event
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				n := rapid.IntRange(0, 5).Draw(t, "name")
				e.Open = &Open{fmt.Sprintf("relay/%d", n), fmt.Sprint("p", n), rapid.IntRange(-1, 3).Draw(t, "copies")}
			case 2:
				e.Replace = &Replace{current, []string{fmt.Sprintf("relay/%d", rapid.IntRange(0, 5).Draw(t, "gone"))}}
			case 3:
				e.SetComplete = &current
			case 4:
				e.Close = &current
			case 5:
				e.TakeOver = &TakeOver{current.ID, current.Epoch}
			}
			present := members[:rapid.IntRange(0, len(members)).Draw(t, "members")]
			err := registry.Apply(present, e)
			if i >= snapshotAt {
				if restoredErr := restored.Apply(present, e); (err == nil) != (restoredErr == nil) {
					t.Fatalf("event %d: %v, and %v after a snapshot", i, err, restoredErr)
				}
			}
			lastID := uint64(0)
			for _, e := range registry.Groups {
				if e.ID <= lastID || e.ID > registry.LastID || e.Epoch == 0 || e.Writer == "" || e.Owner == "" || len(e.EarlierSets) > maxEarlierSets+1 {
					t.Fatalf("event %d leaves %+v", i, *e)
				}
				lastID = e.ID
				if slices.ContainsFunc(e.Replicas, func(h Replica) bool { return h.Name == e.Owner }) {
					t.Fatalf("%s stores a copy of its own group", e.Owner)
				}
			}
		}
		a, _ := json.Marshal(registry)
		b, _ := json.Marshal(restored)
		if snapshotAt < 60 && !reflect.DeepEqual(a, b) {
			t.Fatalf("%s\nafter a snapshot\n%s", a, b)
		}
	})
}

// Guards against a replica that is replaced after a short failure, or not replaced though it accepts nothing, and against a slow
// replica that delays commits.
func TestSlowAndFailedReplicas(t *testing.T) {
	writer := Writer{Next: 1}
	writer.SetReplicas(1, 1, []Replica{{"a", "a", "f"}, {"b", "b", "f"}})
	a, b := writer.Followers[0], writer.Followers[1]
	writer.RecordAck(a, 1, true, 0)
	writer.RecordAck(b, 1, true, 0)
	writer.Next = 11
	writer.RecordAck(a, 11, false, time.Second)
	if writer.Committed() != 11 || writer.UnderReplicated() {
		t.Errorf("with one of two lagging %d is committed, under-replicated %v, want 11 and false", writer.Committed(), writer.UnderReplicated())
	}
	writer.RecordFailure(b, 2*time.Second, false)
	for now, want := range map[time.Duration]int{3 * time.Second: 0, 4*time.Second + time.Millisecond: 1} {
		if got := len(writer.ToReplace(now)); got != want {
			t.Errorf("%v after it fails: %d to replace, want %d", now-2*time.Second, got, want)
		}
	}
	writer.RecordAck(b, 5, false, 5*time.Second)
	writer.RecordAck(b, 6, false, 11*time.Second)
	if got := writer.ToReplace(11 * time.Second); len(got) != 1 {
		t.Errorf("one that has lagged for 6 s: to replace %v", got)
	}
	writer.RecordAck(b, 11, false, 12*time.Second)
	writer.RecordFailure(a, 12*time.Second, true)
	if got := writer.ToReplace(12 * time.Second); !slices.Equal(got, []string{"a"}) || writer.Committed() != 11 {
		t.Errorf("one that has lost its folder: to replace %v, %d committed", got, writer.Committed())
	}
}
