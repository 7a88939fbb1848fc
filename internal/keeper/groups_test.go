package keeper

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"larchrouter/internal/keeper/api"
	replicationstate "larchrouter/internal/replication/state"
)

// Guards against a successor for an owner that only restarts or is back, and for most owners of a fleet at once.
func TestLostOwners(t *testing.T) {
	const lease = 4 * time.Second
	now := time.Unix(1000, 0)
	absent := absentOwners{since: map[string]time.Time{}}
	check := func(after time.Duration, away ...string) []string {
		now = now.Add(after)
		owners := map[string]bool{}
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			owners[name] = !slices.Contains(away, name)
		}
		return absent.lostOwners(owners, lease, now)
	}
	for i, step := range []struct {
		after time.Duration
		away  []string
		want  []string
	}{
		{0, nil, nil},
		{0, []string{"a"}, nil},
		{ownerGrace - 1, []string{"a"}, nil},
		{0, nil, nil}, // a is back
		{0, []string{"a"}, nil},
		{ownerGrace, []string{"a"}, []string{"a"}},
		{ownerGrace, []string{"a", "b"}, []string{"a"}},
		{ownerGrace, []string{"a", "b"}, []string{"a", "b"}},
		{ownerGrace, []string{"a", "b", "c"}, nil}, // more than half of all owners: not regarded as lost machines
		{massLossLeases*lease - 1, []string{"a", "b", "c"}, nil},
		{1, []string{"a", "b", "c"}, []string{"a", "b", "c"}},
		{1, []string{"a", "b"}, []string{"a", "b"}},
	} {
		if got := check(step.after, step.away...); !slices.Equal(got, step.want) {
			t.Errorf("step %d: lost %v, want %v", i, got, step.want)
		}
	}
}

// Guards against a keeper that assigns no successor or lets a relay choose one, and against refusals without advice to
// the operator.
func TestKeeperAssignsSuccessors(t *testing.T) {
	conf := Default()
	conf.Dir, conf.HTTP, conf.Raft, conf.Lease, conf.Election = t.TempDir(), "127.0.0.1:0", "127.0.0.1:0", Duration(300*time.Millisecond), Duration(100*time.Millisecond)
	keeper, err := New(conf)
	if err != nil {
		t.Fatal(err)
	}
	defer keeper.Close()
	client := &api.Client{HTTP: http.DefaultClient, Keepers: []string{keeper.Addr()}}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	session := func(name string, wait time.Duration) (s api.SessionResponse, err error) {
		return s, client.Call(ctx, http.MethodPost, api.SessionPath, api.Session{Name: name, Instance: name + "-1", Addr: name + ":1", Folder: name, GroupsFingerprint: "none", WaitMS: wait.Milliseconds()}, &s)
	}
	for _, name := range []string{"a", "b", "c"} {
		for _, err = session(name, 0); err != nil && ctx.Err() == nil; _, err = session(name, 0) {
			time.Sleep(20 * time.Millisecond)
		}
	}
	var owned []*replicationstate.Group
	open := replicationstate.Event{Open: &replicationstate.Open{Name: "a", Instance: "a-1", Copies: 1}}
	if err := client.Call(ctx, http.MethodPost, api.GroupsPath, open, &owned); err != nil || len(owned) != 1 || len(owned[0].Replicas) != 2 {
		t.Fatalf("opened: %v, %v", owned, err)
	}
	var refused *api.RefusedError
	err = client.Call(ctx, http.MethodPost, api.GroupsPath, replicationstate.Event{TakeOver: &replicationstate.TakeOver{ID: owned[0].ID, Epoch: owned[0].Epoch}}, nil)
	if !errors.As(err, &refused) {
		t.Errorf("a relay assigns a successor: %v, want refused", err)
	}
	err = client.Call(ctx, http.MethodPost, api.GroupsPath, replicationstate.Event{SetComplete: &replicationstate.GroupEpoch{ID: owned[0].ID, Epoch: 9, Instance: "a-1"}}, nil)
	if !errors.As(err, &refused) || refused.Remedy() != replicationstate.ErrStaleEpoch.Advice {
		t.Errorf("an event with another epoch: %v, want refused with advice", err)
	}
	var replicaOf []uint64
	if err := client.Call(ctx, http.MethodGet, api.ReplicaGroupsPath("b"), nil, &replicaOf); err != nil || !slices.Equal(replicaOf, []uint64{owned[0].ID}) {
		t.Errorf("groups with the replica b: %v, %v", replicaOf, err)
	}
	for range 3 { // a relay without replication groups waits for an update like any other
		asked := time.Now()
		var s api.SessionResponse
		call := api.Session{Name: "c", Instance: "c-1", Addr: "c:1", Folder: "c", GroupsFingerprint: replicationstate.Fingerprint(nil), WaitMS: 60}
		if err := client.Call(ctx, http.MethodPost, api.SessionPath, call, &s); err != nil || time.Since(asked) < 50*time.Millisecond {
			t.Fatalf("answered after %v of 60 ms though there is no update, %v", time.Since(asked), err)
		}
	}
	for successor := ""; successor == ""; { // a is silent, the others renew their sessions
		for _, name := range []string{"b", "c"} {
			s, err := session(name, 50*time.Millisecond)
			if ctx.Err() != nil {
				t.Fatal("no successor is assigned")
			}
			if err == nil && len(s.OwnedGroups) == 1 && s.OwnedGroups[0].Name == "a" && !s.OwnedGroups[0].Main {
				successor = name
			}
		}
	}
}
