package hollow

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/discovery"
	"larchrouter/internal/fleet/lease"
	"larchrouter/internal/keeper/api"
	"larchrouter/internal/lab/proc"
)

// shareEnv names the file of what a process of members is to play.
const shareEnv = "HOLLOW_SHARE"

// TestMain is the test, or a process of members that a test started.
func TestMain(m *testing.M) {
	if path := os.Getenv(shareEnv); path != "" {
		var s Share
		data, err := os.ReadFile(path)
		if err == nil {
			err = json.Unmarshal(data, &s)
		}
		if err == nil {
			err = Play(s)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// played is a process of members, as the player sees it.
type played struct {
	*proc.Process
	conn  net.Conn
	mu    sync.Mutex // of what is written
	bytes int64
}

// player is a play: keepers, members and what was asked of either.
type player struct {
	t       testing.TB
	keepers *keepers
	members int
	shares  []*played
	all     sync.WaitGroup

	mu      sync.Mutex
	acts    []Act
	now     map[int]Act
	asked   []Asked
	last    uint64 // the newest change that was asked for
	changes int
	returns []Return
	failed  string
}

// document is a change's, of about so many bytes; no two that follow each other are equal.
func document(n, bytes int) json.RawMessage {
	names := []string{}
	for i := 0; 12*len(names) < bytes-430; i++ {
		names = append(names, fmt.Sprintf("sku-%05d", i))
	}
	skus, _ := json.Marshal(names)
	return fmt.Appendf(nil, `{"bounds":{"max-attempts":%d,"most-held":10,"conn-idle":5,"dial-timeout":1},"classes":[{"name":"order","aim":1,"give-up":4,"effect":"idempotent","group":"all","worth":1}],
	"family-info":{"workers":4,"per-call":[1]},"fleet-size":3,"rules":{"cold":4,"fall":2,"ask-within":10},"skus":%s,"tick":0.005,"zones":["a"]}`, 2+n%6, skus)
}

// newPlayer starts the processes of members, none of which has begun.
func newPlayer(t testing.TB, k *keepers, members, processes, docBytes, listed int) *player {
	t.Helper()
	p := &player{t: t, keepers: k, members: members, now: map[int]Act{}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	folders, err := os.MkdirTemp(cmp.Or(*flagFolders, k.dir), "members-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(folders) })
	s := Share{Player: l.Addr().String(), Dir: folders, Fleet: members, Keepers: k.wan.Keepers, Distances: k.wan.Distances,
		Settings: document(0, docBytes), List: discovery.List{Version: 1, Full: true}}
	for i := range listed {
		s.List.Servers = append(s.List.Servers, discovery.Server{ID: fmt.Sprintf("endpoint-%06d", i), Addr: fmt.Sprintf("10.0.%d.%d:443", i>>8, i&0xff),
			Zone: "a", Kind: "all", Cell: i, State: "up", Weight: 1})
	}
	for i := range processes {
		s.Members = nil
		for m := i * members / processes; m < (i+1)*members/processes; m++ {
			s.Members = append(s.Members, m)
		}
		data, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(k.dir, fmt.Sprintf("members-%d.json", i))
		if err := os.WriteFile(path, data, 0o644); err != nil {
			t.Fatal(err)
		}
		pr, err := proc.Start(proc.Spec{Name: fmt.Sprint("members/", i), Command: "exec " + os.Args[0], Dir: k.dir, Env: []string{shareEnv + "=" + path},
			Log: filepath.Join(k.dir, fmt.Sprintf("members-%d.log", i))}, func(pr *proc.Process) {
			if !pr.Expected() && pr.Err() != nil {
				t.Errorf("%s ended: %v", pr.Name, pr.Err())
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		l.(*net.TCPListener).SetDeadline(time.Now().Add(30 * time.Second))
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		sh := &played{Process: pr, conn: conn}
		p.shares = append(p.shares, sh)
		p.all.Go(func() { p.follow(sh) })
	}
	t.Cleanup(p.end)
	return p
}

// follow takes in what a process reports.
func (p *player) follow(sh *played) {
	for in := json.NewDecoder(sh.conn); ; {
		var r Report
		if in.Decode(&r) != nil {
			return
		}
		p.mu.Lock()
		sh.bytes, p.acts = r.Bytes, append(p.acts, r.Acts...)
		for _, a := range r.Acts {
			p.now[a.Member] = a
		}
		if r.Error != "" {
			p.failed = sh.Name + ": " + r.Error
		}
		p.mu.Unlock()
	}
}

// order tells all processes to do something.
func (p *player) order(o Order) {
	for _, sh := range p.shares {
		sh.mu.Lock()
		if err := json.NewEncoder(sh.conn).Encode(o); err != nil {
			p.t.Error(err)
		}
		sh.mu.Unlock()
	}
}

// end ends the processes of members.
func (p *player) end() {
	for _, sh := range p.shares {
		sh.conn.(*net.TCPConn).CloseWrite()
		select {
		case <-sh.Done():
		case <-time.After(10 * time.Second):
			sh.Kill()
		}
		sh.conn.Close()
	}
	p.all.Wait()
}

// until waits until all members act by something.
func (p *player) until(in time.Duration, by func(Act) bool) bool {
	for end := time.Now().Add(in); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		p.mu.Lock()
		all := true
		for m := range p.members {
			all = all && by(p.now[m])
		}
		p.mu.Unlock()
		if all {
			return true
		}
	}
	return false
}

// change has operators ask for a change that was due at a time, until keepers have taken it.
func (p *player) change(due time.Duration, docBytes int) {
	p.changes++
	doc := fmt.Appendf(nil, `{"settings":%s}`, document(p.changes, docBytes))
	for try, op := 0, 0; ; try++ {
		var made api.ChangeResponse
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		err := p.keepers.call.Call(ctx, http.MethodPost, api.GenerationsPath, api.Proposal{OperationID: fmt.Sprintf("op-%d-%d", p.changes, op), Base: p.last,
			Doc: doc, Who: "operators", Why: "a play"}, &made)
		cancel()
		var no *api.RefusedError
		switch {
		case err == nil:
			p.mu.Lock()
			p.asked, p.last = append(p.asked, Asked{made.Number, due}), made.Number
			p.mu.Unlock()
			return
		case errors.As(err, &no): // as many wait as may
			op++
		}
		if time.Sleep(100 * time.Millisecond); try > 1000 {
			p.t.Errorf("no keeper takes the change: %v", err)
			return
		}
	}
}

// settled waits until the newest change is in force and all who have a session have said so.
func (p *player) settled(in time.Duration) bool {
	for end := time.Now().Add(in); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, a := range p.keepers.wan.Keepers {
			var g api.Generation
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			err := p.keepers.call.CallKeeper(ctx, a.Front, http.MethodGet, fmt.Sprintf("%s/%d", api.GenerationsPath, p.last), nil, &g)
			cancel()
			if err == nil && g.Stage == "in force" {
				return true
			}
		}
	}
	return false
}

// modes counts the members by what they act by.
func (p *player) modes() map[lease.Mode]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	by := map[lease.Mode]int{}
	for _, a := range p.now {
		by[a.Mode]++
	}
	return by
}
