package keeper

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"larchrouter/internal/keeper/api"
	estates "larchrouter/internal/replication/state"
)

// Guards against an heir for one that only restarts, for one that is back, and for most of a fleet at once.
func TestWhoIsLost(t *testing.T) {
	const lease = 4 * time.Second
	now := time.Unix(1000, 0)
	a := away{since: map[string]time.Time{}}
	look := func(after time.Duration, away ...string) []string {
		now = now.Add(after)
		owners := map[string]bool{}
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			owners[name] = !slices.Contains(away, name)
		}
		return a.look(owners, lease, now)
	}
	for i, c := range []struct {
		after time.Duration
		away  []string
		want  []string
	}{
		{0, nil, nil},
		{0, []string{"a"}, nil},
		{graceFor - 1, []string{"a"}, nil},
		{0, nil, nil}, // back
		{0, []string{"a"}, nil},
		{graceFor, []string{"a"}, []string{"a"}},
		{graceFor, []string{"a", "b"}, []string{"a"}},
		{graceFor, []string{"a", "b"}, []string{"a", "b"}},
		{graceFor, []string{"a", "b", "c"}, nil}, // more than half: no loss of machines
		{massLeases*lease - 1, []string{"a", "b", "c"}, nil},
		{1, []string{"a", "b", "c"}, []string{"a", "b", "c"}},
		{1, []string{"a", "b"}, []string{"a", "b"}},
	} {
		if got := look(c.after, c.away...); !slices.Equal(got, c.want) {
			t.Errorf("look %d: lost %v, want %v", i, got, c.want)
		}
	}
}

// Guards against a keeper that names no heir, or takes a relay's word for who inherits; and against answers that tell
// operators nothing of what to do.
func TestKeeperNamesHeirs(t *testing.T) {
	conf := Default()
	conf.Dir, conf.HTTP, conf.Raft, conf.Lease, conf.Election = t.TempDir(), "127.0.0.1:0", "127.0.0.1:0", Duration(300*time.Millisecond), Duration(100*time.Millisecond)
	k, err := New(conf)
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	c := &api.Client{HTTP: http.DefaultClient, Keepers: []string{k.Addr()}}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	session := func(name string, wait time.Duration) (s api.Standing, err error) {
		return s, c.Call(ctx, http.MethodPost, api.SessionPath, api.Session{Name: name, Instance: name + "-1", Addr: name + ":1", Folder: name, Estates: "none", WaitMS: wait.Milliseconds()}, &s)
	}
	for _, name := range []string{"a", "b", "c"} {
		for _, err = session(name, 0); err != nil && ctx.Err() == nil; _, err = session(name, 0) {
			time.Sleep(20 * time.Millisecond)
		}
	}
	var own []*estates.Group
	open := estates.Event{Open: &estates.Open{Name: "a", Instance: "a-1", Copies: 1}}
	if err := c.Call(ctx, http.MethodPost, api.EstatesPath, open, &own); err != nil || len(own) != 1 || len(own[0].Replicas) != 2 {
		t.Fatalf("opened: %v, %v", own, err)
	}
	var no *api.Refused
	err = c.Call(ctx, http.MethodPost, api.EstatesPath, estates.Event{TakeOver: &estates.TakeOver{ID: own[0].ID, Epoch: own[0].Epoch}}, nil)
	if !errors.As(err, &no) {
		t.Errorf("a relay says who inherits: %v, want refused", err)
	}
	err = c.Call(ctx, http.MethodPost, api.EstatesPath, estates.Event{SetComplete: &estates.GroupEpoch{ID: own[0].ID, Epoch: 9, Instance: "a-1"}}, nil)
	if !errors.As(err, &no) || no.Remedy() != estates.ErrStaleEpoch.Advice {
		t.Errorf("a word on another epoch: %v, want refused with what to do", err)
	}
	var held []uint64
	if err := c.Call(ctx, http.MethodGet, api.HeldPath("b"), nil, &held); err != nil || !slices.Equal(held, []uint64{own[0].ID}) {
		t.Errorf("held by b: %v, %v", held, err)
	}
	for range 3 { // a relay that copies nothing knows of no estates, and waits for news as any other
		asked := time.Now()
		var s api.Standing
		call := api.Session{Name: "c", Instance: "c-1", Addr: "c:1", Folder: "c", Estates: estates.Fingerprint(nil), WaitMS: 60}
		if err := c.Call(ctx, http.MethodPost, api.SessionPath, call, &s); err != nil || time.Since(asked) < 50*time.Millisecond {
			t.Fatalf("answered after %v of 60 ms though there is no news, %v", time.Since(asked), err)
		}
	}
	for heir := ""; heir == ""; { // a has gone; the others go on
		for _, name := range []string{"b", "c"} {
			s, err := session(name, 50*time.Millisecond)
			if ctx.Err() != nil {
				t.Fatal("no heir is named")
			}
			if err == nil && len(s.Owned) == 1 && s.Owned[0].Name == "a" && !s.Owned[0].Main {
				heir = name
			}
		}
	}
}
