package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"pgregory.net/rapid"

	"larchrouter/internal/keeper/api"
)

// testSettings are settings that pass every check; %d is the number of attempts.
const testSettings = `{"settings":{"bounds":{"max-attempts":%d,"most-held":10,"conn-idle":5,"dial-timeout":1},"classes":[{"name":"order","aim":1,"give-up":4,"effect":"idempotent","group":"all","worth":1}],
	"family-info":{"workers":4,"per-call":[1]},"fleet-size":3,"rules":{"cold":4,"fall":2,"ask-within":10},"skus":["x"],"tick":0.005,"zones":["a"]}}`

func doc(attempts int) json.RawMessage { return fmt.Appendf(nil, testSettings, attempts) }

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// group is several keepers in this process, at addresses and folders that stay theirs.
type group struct {
	t     *testing.T
	confs []Config
	up    []*Keeper
}

func newGroup(t *testing.T, n int, lease time.Duration) *group {
	t.Helper()
	g := &group{t: t, up: make([]*Keeper, n)}
	var peers []Peer
	for i := range n {
		peers = append(peers, Peer{fmt.Sprintf("keeper/%d", i), freeAddr(t), freeAddr(t)})
	}
	for i, p := range peers {
		c := Default()
		c.Name, c.HTTP, c.Raft, c.Dir, c.Peers = p.Name, p.HTTP, p.Raft, filepath.Join(t.TempDir(), fmt.Sprint(i)), peers
		c.Lease, c.Election = Duration(lease), Duration(150*time.Millisecond)
		g.confs = append(g.confs, c)
		g.start(i)
	}
	t.Cleanup(func() {
		for i := range g.up {
			g.stop(i)
		}
	})
	for i := range g.up {
		g.voter(i, 0)
	}
	return g
}

func (g *group) start(i int) {
	g.t.Helper()
	k, err := New(g.confs[i])
	if err != nil {
		g.t.Fatal(err)
	}
	g.up[i] = k
}

func (g *group) stop(i int) {
	g.t.Helper()
	if g.up[i] == nil {
		return
	}
	if err := g.up[i].Close(); err != nil {
		g.t.Error(err)
	}
	g.up[i] = nil
}

func (g *group) client() *api.Client {
	c := &api.Client{HTTP: &http.Client{Transport: &http.Transport{}}}
	for _, conf := range g.confs {
		c.Keepers = append(c.Keepers, conf.HTTP)
	}
	return c
}

// insist makes a call until a keeper answers it, one way or the other.
func (g *group) insist(c *api.Client, method, path string, in, out any) error {
	g.t.Helper()
	for end := time.Now().Add(60 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		err := c.Call(ctx, method, path, in, out)
		cancel()
		var no *api.Refused
		if err == nil || errors.As(err, &no) {
			return err
		}
		if time.Now().After(end) {
			g.t.Fatalf("%s: no keeper answers: %v", path, err)
		}
	}
}

func (g *group) session(c *api.Client, s api.Session) (api.Standing, error) {
	var out api.Standing
	err := g.insist(c, http.MethodPost, api.SessionPath, s, &out)
	return out, err
}

func (g *group) must(c *api.Client, path string, in, out any) {
	g.t.Helper()
	if err := g.insist(c, http.MethodPost, path, in, out); err != nil {
		g.t.Fatalf("%s: %v", path, err)
	}
}

func refused(err error, status int) bool {
	var no *api.Refused
	return errors.As(err, &no) && no.Status == status
}

// A change goes through both its steps across the death of the leader between them, and of another keeper with an
// empty disk; what was agreed on is there after all have restarted.
func TestChangeAcrossLeaders(t *testing.T) {
	g := newGroup(t, 3, time.Minute)
	c := g.client()
	m := api.Session{Name: "relay/0", Instance: "one"}
	if _, err := g.session(c, m); err != nil {
		t.Fatal(err)
	}
	change := api.Proposal{Op: "first", Doc: doc(3), Who: "test", Why: "to see"}
	var made api.Made
	g.must(c, api.GenerationsPath, change, &made)
	g.must(c, api.GenerationsPath, change, &made) // the answer was lost: it is made once more, and is the same
	if made.Number != 1 {
		t.Fatalf("generation %d, want 1", made.Number)
	}
	s, err := g.session(c, m)
	if err != nil || s.Next == nil || s.Next.Number != 1 || s.Force != nil || len(s.Next.Doc) == 0 {
		t.Fatalf("%+v, %v: want generation 1 prepared", s, err)
	}
	lead := func() int {
		for {
			for i, k := range g.up {
				if k != nil && k.verified() {
					return i
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	was := lead()
	g.stop(was)
	g.must(c, api.ConfirmPath, api.Word{Name: m.Name, Instance: m.Instance, Turn: s.Turn}, nil)
	m.Turn, m.Have = s.Turn, []uint64{1}
	s, err = g.session(c, m)
	if err != nil || s.Force == nil || s.Force.Number != 1 || s.Next != nil || s.Force.Doc != nil {
		t.Fatalf("%+v, %v: want generation 1 in force, and its document not sent again", s, err)
	}
	g.start(was)
	for i := range g.up { // one after the other, so that most are up
		g.stop(i)
		g.start(i)
	}
	s, err = g.session(c, api.Session{Name: "relay/0", Instance: "one"})
	if err != nil || s.Force == nil || s.Force.Number != 1 || string(s.Force.Doc) != compact(t, change.Doc) {
		t.Fatalf("%+v, %v after all have restarted", s, err)
	}
}

func compact(t *testing.T, data []byte) string {
	t.Helper()
	var v json.RawMessage
	if err := json.Unmarshal(data, &v); err != nil {
		t.Fatal(err)
	}
	out, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(out)
}

// Without most keepers nothing is answered as current, and nothing is agreed on; all goes on once they are back.
func TestWithoutMajority(t *testing.T) {
	g := newGroup(t, 3, time.Minute)
	c := g.client()
	m := api.Session{Name: "relay/0", Instance: "one"}
	if _, err := g.session(c, m); err != nil {
		t.Fatal(err)
	}
	g.stop(0)
	g.stop(1)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		var s api.Standing
		begin := time.Now()
		err := g.client().Call(ctx, http.MethodPost, api.SessionPath, m, &s)
		cancel()
		if err == nil && time.Since(begin) < 100*time.Millisecond && g.up[2].raft.Load().VerifyLeader().Error() != nil {
			t.Fatalf("one keeper of three answered %+v", s)
		}
	}
	var st api.Status
	if err := c.Ask(context.Background(), g.confs[2].HTTP, http.MethodGet, api.StatusPath, nil, &st); err != nil || st.Leads {
		t.Fatalf("%+v, %v: want to be told what it knows, and that it does not lead", st, err)
	}
	g.start(0)
	if _, err := g.session(c, m); err != nil {
		t.Fatal(err)
	}
}

// A member that is silent for its lease is not waited for; one that rejects a change ends it.
func TestSilentAndRejecting(t *testing.T) {
	g := newGroup(t, 1, 400*time.Millisecond)
	c := g.client()
	if _, err := g.session(c, api.Session{Name: "silent", Instance: "one"}); err != nil {
		t.Fatal(err)
	}
	var made api.Made
	g.must(c, api.GenerationsPath, api.Proposal{Op: "1", Doc: doc(3), Who: "test"}, &made)
	var st api.Status
	for st.Force == nil {
		st = api.Status{}
		if err := c.Ask(context.Background(), g.confs[0].HTTP, http.MethodGet, api.StatusPath, nil, &st); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if len(st.Members) != 0 {
		t.Errorf("the silent one has its session yet: %+v", st.Members)
	}
	m := api.Session{Name: "relay/0", Instance: "one"}
	s, err := g.session(c, m)
	if err != nil {
		t.Fatal(err)
	}
	g.must(c, api.ConfirmPath, api.Word{Name: m.Name, Instance: m.Instance, Turn: s.Turn}, nil)
	g.must(c, api.GenerationsPath, api.Proposal{Op: "2", Base: 1, Doc: doc(4), Who: "test"}, &made)
	if s, err = g.session(c, m); err != nil || s.Next == nil {
		t.Fatalf("%+v, %v", s, err)
	}
	g.must(c, api.RejectPath, api.Word{Name: m.Name, Instance: m.Instance, Number: made.Number, Reason: "cannot"}, nil)
	var all []api.Generation
	if err := g.insist(c, http.MethodGet, api.GenerationsPath, nil, &all); err != nil || len(all) != 2 || all[1].Stage != "given up" || !strings.Contains(all[1].Reason, "cannot") {
		t.Errorf("%+v, %v: want the second given up, and why", all, err)
	}
}

// What makes no sense is refused with its reason, and changes nothing.
func TestRefusals(t *testing.T) {
	g := newGroup(t, 1, time.Minute)
	c := g.client()
	m := api.Session{Name: "relay/0", Instance: "one"}
	if _, err := g.session(c, m); err != nil {
		t.Fatal(err)
	}
	post := func(path string, in any) error { return g.insist(c, http.MethodPost, path, in, nil) }
	for name, got := range map[string]struct {
		err    error
		status int
	}{
		"no instance":           {post(api.SessionPath, api.Session{Name: "x"}), 400},
		"a long name":           {post(api.SessionPath, api.Session{Name: strings.Repeat("x", 300), Instance: "y"}), 400},
		"a name used twice":     {post(api.SessionPath, api.Session{Name: "relay/0", Instance: "two"}), 409},
		"a member unknown":      {post(api.ConfirmPath, api.Word{Name: "x", Instance: "y"}), 410},
		"an older turn":         {post(api.ConfirmPath, api.Word{Name: "relay/0", Instance: "one", Turn: 99}), 409},
		"no document":           {post(api.GenerationsPath, api.Proposal{Op: "a"}), 400},
		"settings of no use":    {post(api.GenerationsPath, api.Proposal{Op: "b", Doc: json.RawMessage(`{"settings":{}}`)}), 400},
		"an unknown key":        {post(api.GenerationsPath, api.Proposal{Op: "c", Doc: json.RawMessage(`{"setings":{}}`)}), 400},
		"another base":          {post(api.GenerationsPath, api.Proposal{Op: "d", Base: 7, Doc: doc(3)}), 409},
		"no such generation":    {post(api.GenerationsPath, api.Proposal{Op: "e", To: 7}), 404},
		"nothing to give up":    {post(api.GiveUpPath, api.Withdrawal{Op: "f", Number: 7}), 409},
		"an unknown generation": {g.insist(c, http.MethodGet, api.GenerationsPath+"/9", nil, nil), 404},
		"a call without op":     {post(api.GenerationsPath, api.Proposal{Doc: doc(3)}), 400},
	} {
		if !refused(got.err, got.status) {
			t.Errorf("%s: %v, want %d", name, got.err, got.status)
		}
	}
	if err := post(api.GenerationsPath, api.Proposal{Op: "g", Doc: doc(3), DryRun: true}); err != nil {
		t.Errorf("a sound change, not made: %v", err)
	}
	var all []api.Generation
	if err := g.insist(c, http.MethodGet, api.GenerationsPath, nil, &all); err != nil || len(all) != 0 {
		t.Errorf("%+v, %v: want none made", all, err)
	}
}

// A keeper whose folder is all that is left goes on alone, with numbers that no member has heard of.
func TestRecover(t *testing.T) {
	g := newGroup(t, 3, 300*time.Millisecond)
	c := g.client()
	var made api.Made
	g.must(c, api.GenerationsPath, api.Proposal{Op: "1", Doc: doc(3), Who: "test"}, &made)
	s, err := g.session(c, api.Session{Name: "relay/0", Instance: "one"})
	if err != nil || s.Force == nil {
		t.Fatalf("%+v, %v", s, err)
	}
	var st api.Status
	for st.Force == nil { // it has heard as well
		if err := c.Ask(context.Background(), g.confs[1].HTTP, http.MethodGet, api.StatusPath, nil, &st); err != nil {
			t.Fatal(err)
		}
	}
	for i := range g.up {
		g.stop(i)
	}
	alone := g.confs[1]
	alone.Peers = []Peer{alone.Peers[1]}
	if err := Recover(alone); err != nil {
		t.Fatal(err)
	}
	if err := Recover(Config{Name: "x", HTTP: "x:1", Raft: "x:2", Dir: t.TempDir(), Lease: alone.Lease, Election: alone.Election, Log: "text"}); err == nil {
		t.Error("an empty folder is recovered")
	}
	g.confs[1] = alone
	g.start(1)
	after, err := g.session(c, api.Session{Name: "relay/0", Instance: "one"})
	if err != nil || after.Force == nil || after.Force.Number <= s.Force.Number || after.Turn <= s.Turn+1000 || after.Force.Sum != s.Force.Sum {
		t.Fatalf("%+v, %v after %+v", after, err, s)
	}
}

// Two processes that call at once with one name: one has it.
func TestOneNameOneProcess(t *testing.T) {
	g := newGroup(t, 3, time.Minute)
	c := g.client()
	var wait sync.WaitGroup
	var mu sync.Mutex
	had := 0
	for i := range 6 {
		wait.Go(func() {
			if _, err := g.session(c, api.Session{Name: "relay/0", Instance: fmt.Sprint(i)}); err == nil {
				mu.Lock()
				defer mu.Unlock()
				had++
			} else if !refused(err, http.StatusConflict) {
				t.Error(err)
			}
		})
	}
	wait.Wait()
	if had != 1 {
		t.Errorf("%d processes have the name, want 1", had)
	}
}

// Guards against a keeper that ends a session before its member's clock does: whatever the order of answers and looks,
// elections and drift of the two clocks up to the one allowed.
func TestLeaseEndsAfterItsMembers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const lease, drift = 1000.0, 0.01
		l := newLeases(lease*time.Millisecond, drift)
		began := time.Now()
		rate := rapid.Float64Range(1/(1+drift), 1).Draw(rt, "rate of the member's clock")
		now, until := 0.0, 0.0 // true milliseconds: the member's lease ends then
		s := session{"relay", "one"}
		held := false
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += rapid.Float64Range(0, 400).Draw(rt, "later")
			what := rapid.SampledFrom([]string{"ask", "look", "look just before it ends", "elect"}).Draw(rt, "what")
			if what == "look just before it ends" {
				now = max(now, until-rapid.Float64Range(0.001, 15).Draw(rt, "before"))
			}
			at := began.Add(time.Duration(now * float64(time.Millisecond)))
			switch what {
			case "ask":
				asked := now
				now += rapid.Float64Range(0, 300).Draw(rt, "on its way")
				if l.renew(s, began.Add(time.Duration(now*float64(time.Millisecond)))) {
					until, held = max(until, asked+lease/rate), true
				}
			case "look", "look just before it ends":
				if l.end(s, at) {
					if held && now < until {
						rt.Fatalf("ended at %.1f, and its member holds it until %.1f", now, until)
					}
					l.ended(s)
					held = false
				}
			case "elect":
				l.elect(at)
			}
		}
	})
}

// Guards against a file that is read by half, or with what it does not mean.
func TestBadFiles(t *testing.T) {
	good := "dir = \"/x\"\n"
	if c, err := Parse([]byte(good)); err != nil || c.Lease != Duration(10*time.Second) {
		t.Fatal(c, err)
	}
	for text, want := range map[string]string{
		"":                                     "dir",
		good + "leese = \"3s\"":                "line 2: leese",
		good + "lease = \"3\"":                 "line 2",
		good + "lease = \"1h\"":                "lease",
		good + "drift = 2.0":                   "drift",
		good + "http = \"nowhere\"":            "http",
		good + "log = \"xml\"":                 "log",
		good + "source = \"here\"":             "source",
		good + "[[peer]]\nname = \"x\"":        "not among",
		good + "[[peer]]\n[[peer]]":            "1, 3 or 5",
		good + "name = ":                       "line 2",
		good + "election = \"1ms\"\nname=\"\"": "election",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// Guards against a call that makes a keeper panic.
func FuzzCalls(f *testing.F) {
	f.Add([]byte(`{"name":"a","instance":"b"}`))
	f.Add([]byte(`{"op":"x","doc":{"settings":{}}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, into := range []any{&api.Session{}, &api.Word{}, &api.Proposal{}, &api.Withdrawal{}} {
			decode(body, into)
		}
		Check(body)
	})
}

// leads waits until a keeper leads, and says which; a time of 0 is for as long as it takes.
func (g *group) leads(within time.Duration) int {
	for end := time.Now().Add(within); within == 0 || time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i, k := range g.up {
			if k != nil && k.verified() {
				return i
			}
		}
	}
	return -1
}

// voter waits until a keeper has its vote, and knows of a generation unless that is 0.
func (g *group) voter(i int, generation uint64) {
	g.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		l := g.leads(time.Second)
		if l < 0 || g.up[i].raft.Load() == nil {
			continue
		}
		f := g.up[l].raft.Load().GetConfiguration() // its own may be behind
		st := g.up[i].status()
		if f.Error() != nil || generation != 0 && (st.Force == nil || st.Force.Number != generation) {
			continue
		}
		for _, s := range f.Configuration().Servers {
			if string(s.ID) == g.confs[i].Name && s.Suffrage == raft.Voter {
				return
			}
		}
	}
	g.t.Fatalf("keeper %d does not get its vote back, or does not know of generation %d", i, generation)
}

// A keeper that comes back with an empty folder learns all and gets its vote back; until then it helps nobody to lead
// who has not heard of what was agreed on.
func TestEmptyFolder(t *testing.T) {
	g := newGroup(t, 3, 300*time.Millisecond)
	c := g.client()
	var made api.Made
	change := func(op string, base uint64) {
		t.Helper()
		g.must(c, api.GenerationsPath, api.Proposal{Op: op, Base: base, Doc: doc(3), Who: "test"}, &made)
	}
	change("1", 0)
	g.voter(0, 1)
	wipe := func(i int) {
		t.Helper()
		g.stop(i)
		if err := os.RemoveAll(g.confs[i].Dir); err != nil {
			t.Fatal(err)
		}
	}
	wipe(2)
	g.start(2)
	g.voter(2, 1)
	g.stop(0) // the others go on
	change("2", 1)
	g.voter(2, 2)
	g.start(0)
	g.voter(0, 2)

	// One has not heard of the third change, the one that has is down, the other that had is wiped.
	g.stop(1)
	change("3", 2)
	g.voter(0, 3)
	g.voter(2, 3)
	wipe(2)
	g.stop(0)
	g.start(1)
	g.start(2)
	if i := g.leads(1500 * time.Millisecond); i >= 0 {
		t.Fatalf("keeper %d leads, and the third change is lost", i)
	}
	g.start(0)
	for i := range g.up {
		g.voter(i, 3)
	}
}

func entry(data []byte) *raft.Log { return &raft.Log{Index: 7, Type: raft.LogCommand, Data: data} }
