package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	"larchrouter/internal/loopback"
)

// testSettings is a document that passes all checks; %d is the largest number of attempts.
const testSettings = `{"settings":{"bounds":{"cancel":true,"conn-idle":5,"cpu-us-per-request":0,"cpu-us-per-s":0,"dial-timeout":1,"max-attempts":%d,"max-retry-after":1,"most-held":10,
	"peers":false,"probes":false,"retry-after":true,"second-copies":false,"streams-per-conn":1},
	"classes":[{"name":"order","aim":1,"give-up":4,"effect":"idempotent","group":"all","late-share":0,"stream":false,"worth":1}],
	"client-habits":{"marks-retry":false},"domain-type":"deliver","family-info":{"late":"linear","notes":"","own-limits":[false],"per-call":[1],"refused-price":0,"report-x0":"","report-x1":"","workers":4,"zone-fee":[0]},
	"fleet-size":3,"goal":{"whole":1,"worst-class":0,"worst-tenant":0,"worst-window":0},"index":0,"load-report":{"columns":[],"how":"off"},"over-share-worth":0,
	"prices":{"connection":0,"cross-zone":0,"handshake":0,"late-fail":0,"moves":0,"origin":0,"peer":0,"probe":0,"registry-mode":0,"waste":0},"registry-mode":"automatic",
	"rules":{"ask-within":10,"cold":4,"cold-from":0,"drain-grace":0,"fall":2,"grace-to-answer":0,"overload-factor":0},
	"skus":["x"],"tenants":[],"tick":0.005,"tier":0,"tiers":["x"],"weights":"off","worth-by":"request","zone":0,"zones":["a"]}}`

func testDocument(attempts int) json.RawMessage { return fmt.Appendf(nil, testSettings, attempts) }

// testCluster is a cluster of keepers in this process. Each retains its addresses and its folder across restarts.
type testCluster struct {
	t       *testing.T
	configs []Config
	keepers []*Keeper
}

func newTestCluster(t *testing.T, size int, lease time.Duration) *testCluster {
	t.Helper()
	cluster := &testCluster{t: t, keepers: make([]*Keeper, size)}
	var peers []Peer
	for i := range size {
		peers = append(peers, Peer{fmt.Sprintf("keeper/%d", i), loopback.FreeAddress(t), loopback.FreeAddress(t)})
	}
	for i, p := range peers {
		config := Default()
		config.Name, config.HTTP, config.Raft, config.Dir, config.Peers = p.Name, p.HTTP, p.Raft, filepath.Join(t.TempDir(), fmt.Sprint(i)), peers
		config.Lease, config.Election = Duration(lease), Duration(150*time.Millisecond)
		cluster.configs = append(cluster.configs, config)
		cluster.start(i)
	}
	t.Cleanup(func() {
		for i := range cluster.keepers {
			cluster.stop(i)
		}
	})
	for i := range cluster.keepers {
		cluster.awaitVoter(i, 0)
	}
	return cluster
}

func (c *testCluster) start(i int) {
	c.t.Helper()
	k, err := New(c.configs[i])
	if err != nil {
		c.t.Fatal(err)
	}
	c.keepers[i] = k
}

func (c *testCluster) stop(i int) {
	c.t.Helper()
	if c.keepers[i] == nil {
		return
	}
	if err := c.keepers[i].Close(); err != nil {
		c.t.Error(err)
	}
	c.keepers[i] = nil
}

func (c *testCluster) newClient() *api.Client {
	client := &api.Client{HTTP: &http.Client{Transport: &http.Transport{}}}
	for _, conf := range c.configs {
		client.Keepers = append(client.Keepers, conf.HTTP)
	}
	return client
}

// callUntilAnswered repeats a call until a keeper accepts or refuses it.
func (c *testCluster) callUntilAnswered(client *api.Client, method, path string, in, out any) error {
	c.t.Helper()
	for deadline := time.Now().Add(60 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		err := client.Call(ctx, method, path, in, out)
		cancel()
		var refused *api.RefusedError
		if err == nil || errors.As(err, &refused) {
			return err
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("%s: no answer from any keeper: %v", path, err)
		}
	}
}

func (c *testCluster) session(client *api.Client, call api.Session) (api.SessionResponse, error) {
	var response api.SessionResponse
	err := c.callUntilAnswered(client, http.MethodPost, api.SessionPath, call, &response)
	return response, err
}

func (c *testCluster) mustPost(client *api.Client, path string, in, out any) {
	c.t.Helper()
	if err := c.callUntilAnswered(client, http.MethodPost, path, in, out); err != nil {
		c.t.Fatalf("%s: %v", path, err)
	}
}

func isRefused(err error, status int) bool {
	var refused *api.RefusedError
	return errors.As(err, &refused) && refused.Status == status
}

// A change completes both its steps although the leader stops between them, and what was committed is still there after
// all keepers have restarted.
func TestChangeAcrossLeaders(t *testing.T) {
	cluster := newTestCluster(t, 3, time.Minute)
	client := cluster.newClient()
	call := api.Session{Name: "relay/0", Instance: "one"}
	if _, err := cluster.session(client, call); err != nil {
		t.Fatal(err)
	}
	change := api.Proposal{OperationID: "first", Doc: testDocument(3), Who: "test", Why: "to see"}
	var made api.ChangeResponse
	cluster.mustPost(client, api.GenerationsPath, change, &made)
	cluster.mustPost(client, api.GenerationsPath, change, &made) // repeated as after a lost answer; it has the same result
	if made.Number != 1 {
		t.Fatalf("generation %d, want 1", made.Number)
	}
	response, err := cluster.session(client, call)
	if err != nil || response.Prepared == nil || response.Prepared.Number != 1 || response.Effective != nil || len(response.Prepared.Doc) == 0 {
		t.Fatalf("%+v, %v: want generation 1 prepared", response, err)
	}
	findLeader := func() int {
		for {
			for i, k := range cluster.keepers {
				if k != nil && k.isVerifiedLeader() {
					return i
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	firstLeader := findLeader()
	cluster.stop(firstLeader)
	cluster.mustPost(client, api.ConfirmPath, api.MemberReport{Name: call.Name, Instance: call.Instance, Revision: response.Revision}, nil)
	call.Revision, call.KnownGenerations = response.Revision, []uint64{1}
	response, err = cluster.session(client, call)
	if err != nil || response.Effective == nil || response.Effective.Number != 1 || response.Prepared != nil || response.Effective.Doc != nil {
		t.Fatalf("%+v, %v: want generation 1 in effect, and its document not sent again", response, err)
	}
	cluster.start(firstLeader)
	for i := range cluster.keepers { // one after the other, so that there is a quorum
		cluster.stop(i)
		cluster.start(i)
	}
	response, err = cluster.session(client, api.Session{Name: "relay/0", Instance: "one"})
	if err != nil || response.Effective == nil || response.Effective.Number != 1 || string(response.Effective.Doc) != compactJSON(t, change.Doc) {
		t.Fatalf("%+v, %v after all keepers have restarted", response, err)
	}
}

func compactJSON(t *testing.T, data []byte) string {
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

// Without a quorum no keeper answers a session or commits an entry; both work again once there is a quorum.
func TestWithoutQuorum(t *testing.T) {
	cluster := newTestCluster(t, 3, time.Minute)
	client := cluster.newClient()
	call := api.Session{Name: "relay/0", Instance: "one"}
	if _, err := cluster.session(client, call); err != nil {
		t.Fatal(err)
	}
	cluster.stop(0)
	cluster.stop(1)
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		var response api.SessionResponse
		begin := time.Now()
		err := cluster.newClient().Call(ctx, http.MethodPost, api.SessionPath, call, &response)
		cancel()
		if err == nil && time.Since(begin) < 100*time.Millisecond && cluster.keepers[2].raft.Load().VerifyLeader().Error() != nil {
			t.Fatalf("one keeper of three answered %+v", response)
		}
	}
	var status api.Status
	if err := client.CallKeeper(context.Background(), cluster.configs[2].HTTP, http.MethodGet, api.StatusPath, nil, &status); err != nil || status.IsLeader {
		t.Fatalf("%+v, %v: want its status, and that it is not the leader", status, err)
	}
	cluster.start(0)
	if _, err := cluster.session(client, call); err != nil {
		t.Fatal(err)
	}
}

// A change does not wait for a member that is silent for its lease; a member that rejects a change ends it.
func TestSilentAndRejectingMembers(t *testing.T) {
	cluster := newTestCluster(t, 1, 400*time.Millisecond)
	client := cluster.newClient()
	if _, err := cluster.session(client, api.Session{Name: "silent", Instance: "one"}); err != nil {
		t.Fatal(err)
	}
	var made api.ChangeResponse
	cluster.mustPost(client, api.GenerationsPath, api.Proposal{OperationID: "1", Doc: testDocument(3), Who: "test"}, &made)
	var status api.Status
	for status.Effective == nil {
		status = api.Status{}
		if err := client.CallKeeper(context.Background(), cluster.configs[0].HTTP, http.MethodGet, api.StatusPath, nil, &status); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if len(status.Members) != 0 {
		t.Errorf("the silent member still has its session: %+v", status.Members)
	}
	call := api.Session{Name: "relay/0", Instance: "one"}
	response, err := cluster.session(client, call)
	if err != nil {
		t.Fatal(err)
	}
	cluster.mustPost(client, api.ConfirmPath, api.MemberReport{Name: call.Name, Instance: call.Instance, Revision: response.Revision}, nil)
	cluster.mustPost(client, api.GenerationsPath, api.Proposal{OperationID: "2", Base: 1, Doc: testDocument(4), Who: "test"}, &made)
	if response, err = cluster.session(client, call); err != nil || response.Prepared == nil {
		t.Fatalf("%+v, %v", response, err)
	}
	cluster.mustPost(client, api.RejectPath, api.MemberReport{Name: call.Name, Instance: call.Instance, Number: made.Number, Reason: "cannot"}, nil)
	var all []api.Generation
	if err := cluster.callUntilAnswered(client, http.MethodGet, api.GenerationsPath, nil, &all); err != nil || len(all) != 2 || all[1].Stage != "given up" || !strings.Contains(all[1].Reason, "cannot") {
		t.Errorf("%+v, %v: want the second generation given up, with the reason", all, err)
	}
}

// Invalid calls are refused with the right status and change nothing.
func TestRefusals(t *testing.T) {
	cluster := newTestCluster(t, 1, time.Minute)
	client := cluster.newClient()
	call := api.Session{Name: "relay/0", Instance: "one"}
	if _, err := cluster.session(client, call); err != nil {
		t.Fatal(err)
	}
	post := func(path string, in any) error {
		return cluster.callUntilAnswered(client, http.MethodPost, path, in, nil)
	}
	for name, got := range map[string]struct {
		err    error
		status int
	}{
		"no instance":                      {post(api.SessionPath, api.Session{Name: "x"}), 400},
		"a long name":                      {post(api.SessionPath, api.Session{Name: strings.Repeat("x", 300), Instance: "y"}), 400},
		"a name used twice":                {post(api.SessionPath, api.Session{Name: "relay/0", Instance: "two"}), 409},
		"an unknown member":                {post(api.ConfirmPath, api.MemberReport{Name: "x", Instance: "y"}), 410},
		"another revision":                 {post(api.ConfirmPath, api.MemberReport{Name: "relay/0", Instance: "one", Revision: 99}), 409},
		"no document":                      {post(api.GenerationsPath, api.Proposal{OperationID: "a"}), 400},
		"invalid settings":                 {post(api.GenerationsPath, api.Proposal{OperationID: "b", Doc: json.RawMessage(`{"settings":{}}`)}), 400},
		"an unknown key":                   {post(api.GenerationsPath, api.Proposal{OperationID: "c", Doc: json.RawMessage(`{"setings":{}}`)}), 400},
		"another base":                     {post(api.GenerationsPath, api.Proposal{OperationID: "d", Base: 7, Doc: testDocument(3)}), 409},
		"an unknown generation to restore": {post(api.GenerationsPath, api.Proposal{OperationID: "e", RestoreNumber: 7}), 404},
		"an unknown generation to give up": {post(api.GiveUpPath, api.GiveUp{OperationID: "f", Number: 7}), 409},
		"an unknown generation":            {cluster.callUntilAnswered(client, http.MethodGet, api.GenerationsPath+"/9", nil, nil), 404},
		"a call without op":                {post(api.GenerationsPath, api.Proposal{Doc: testDocument(3)}), 400},
	} {
		if !isRefused(got.err, got.status) {
			t.Errorf("%s: %v, want %d", name, got.err, got.status)
		}
	}
	if err := post(api.GenerationsPath, api.Proposal{OperationID: "g", Doc: testDocument(3), DryRun: true}); err != nil {
		t.Errorf("dry run of a valid change: %v", err)
	}
	var all []api.Generation
	if err := cluster.callUntilAnswered(client, http.MethodGet, api.GenerationsPath, nil, &all); err != nil || len(all) != 0 {
		t.Errorf("%+v, %v: want no generation", all, err)
	}
}

// After a recovery from one folder its keeper goes on alone, with numbers greater than any that a member has received.
func TestRecover(t *testing.T) {
	cluster := newTestCluster(t, 3, 300*time.Millisecond)
	client := cluster.newClient()
	var made api.ChangeResponse
	cluster.mustPost(client, api.GenerationsPath, api.Proposal{OperationID: "1", Doc: testDocument(3), Who: "test"}, &made)
	before, err := cluster.session(client, api.Session{Name: "relay/0", Instance: "one"})
	if err != nil || before.Effective == nil {
		t.Fatalf("%+v, %v", before, err)
	}
	var status api.Status
	for status.Effective == nil { // wait until that keeper has the change as well
		if err := client.CallKeeper(context.Background(), cluster.configs[1].HTTP, http.MethodGet, api.StatusPath, nil, &status); err != nil {
			t.Fatal(err)
		}
	}
	for i := range cluster.keepers {
		cluster.stop(i)
	}
	alone := cluster.configs[1]
	alone.Peers = []Peer{alone.Peers[1]}
	if err := Recover(alone); err != nil {
		t.Fatal(err)
	}
	if err := Recover(Config{Name: "x", HTTP: "x:1", Raft: "x:2", Dir: t.TempDir(), Lease: alone.Lease, Election: alone.Election, Log: "text"}); err == nil {
		t.Error("recovery of an empty folder succeeded")
	}
	cluster.configs[1] = alone
	cluster.start(1)
	after, err := cluster.session(client, api.Session{Name: "relay/0", Instance: "one"})
	if err != nil || after.Effective == nil || after.Effective.Number <= before.Effective.Number || after.Revision <= before.Revision+1000 || after.Effective.Digest != before.Effective.Digest {
		t.Fatalf("%+v, %v after %+v", after, err, before)
	}
}

// Of several processes that begin a session with the same name at once, exactly one succeeds.
func TestOneNameOneProcess(t *testing.T) {
	cluster := newTestCluster(t, 3, time.Minute)
	client := cluster.newClient()
	var wait sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for i := range 6 {
		wait.Go(func() {
			if _, err := cluster.session(client, api.Session{Name: "relay/0", Instance: fmt.Sprint(i)}); err == nil {
				mu.Lock()
				defer mu.Unlock()
				accepted++
			} else if !isRefused(err, http.StatusConflict) {
				t.Error(err)
			}
		})
	}
	wait.Wait()
	if accepted != 1 {
		t.Errorf("%d processes have a session with the name, want 1", accepted)
	}
}

// Guards against a keeper that ends a session before the lease has expired by the member's clock, whatever the order of
// answers, checks and elections, and with any drift of the two clocks up to the allowed one.
func TestSessionOutlastsMemberLease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const lease, drift = 1000.0, 0.01
		table := newLeaseTable(lease*time.Millisecond, drift)
		began := time.Now()
		rate := rapid.Float64Range(1/(1+drift), 1).Draw(rt, "rate of the member's clock")
		now, leaseEnd := 0.0, 0.0 // true time in milliseconds: now, and when the member's lease ends
		key := sessionKey{"relay", "one"}
		active := false
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += rapid.Float64Range(0, 400).Draw(rt, "later")
			action := rapid.SampledFrom([]string{"ask", "look", "look just before it ends", "elect"}).Draw(rt, "what")
			if action == "look just before it ends" {
				now = max(now, leaseEnd-rapid.Float64Range(0.001, 15).Draw(rt, "before"))
			}
			at := began.Add(time.Duration(now * float64(time.Millisecond)))
			switch action {
			case "ask":
				asked := now
				now += rapid.Float64Range(0, 300).Draw(rt, "time in flight")
				if table.renew(key, began.Add(time.Duration(now*float64(time.Millisecond)))) {
					leaseEnd, active = max(leaseEnd, asked+lease/rate), true
				}
			case "look", "look just before it ends":
				if table.expire(key, at) {
					if active && now < leaseEnd {
						rt.Fatalf("ended at %.1f, but the member's lease lasts until %.1f", now, leaseEnd)
					}
					table.remove(key)
					active = false
				}
			case "elect":
				table.elect(at)
			}
		}
	})
}

// Guards against an invalid configuration file that is accepted, or whose error does not name the key or line.
func TestInvalidConfiguration(t *testing.T) {
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

// Guards against a call whose body makes a keeper panic.
func FuzzCalls(f *testing.F) {
	f.Add([]byte(`{"name":"a","instance":"b"}`))
	f.Add([]byte(`{"op":"x","doc":{"settings":{}}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, into := range []any{&api.Session{}, &api.MemberReport{}, &api.Proposal{}, &api.GiveUp{}} {
			decode(body, into)
		}
		CheckDocument(body)
	})
}

// awaitLeader waits until a keeper is the leader and returns its index, or -1 after the given time; 0 means no limit.
func (c *testCluster) awaitLeader(within time.Duration) int {
	for deadline := time.Now().Add(within); within == 0 || time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for i, k := range c.keepers {
			if k != nil && k.isVerifiedLeader() {
				return i
			}
		}
	}
	return -1
}

// awaitVoter waits until a keeper has its vote and, unless generation is 0, has that generation in effect.
func (c *testCluster) awaitVoter(i int, generation uint64) {
	c.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		leader := c.awaitLeader(time.Second)
		if leader < 0 || c.keepers[i].raft.Load() == nil {
			continue
		}
		future := c.keepers[leader].raft.Load().GetConfiguration() // the leader's, since the keeper's own may be behind
		status := c.keepers[i].status()
		if future.Error() != nil || generation != 0 && (status.Effective == nil || status.Effective.Number != generation) {
			continue
		}
		for _, s := range future.Configuration().Servers {
			if string(s.ID) == c.configs[i].Name && s.Suffrage == raft.Voter {
				return
			}
		}
	}
	c.t.Fatalf("keeper %d does not get its vote back, or does not receive generation %d", i, generation)
}

// A keeper that comes back with an empty folder catches up and gets its vote back. Until then it must not vote, as it
// could elect a keeper that lacks committed entries.
func TestKeeperWithEmptyFolderRejoins(t *testing.T) {
	cluster := newTestCluster(t, 3, 300*time.Millisecond)
	client := cluster.newClient()
	var made api.ChangeResponse
	change := func(op string, base uint64) {
		t.Helper()
		cluster.mustPost(client, api.GenerationsPath, api.Proposal{OperationID: op, Base: base, Doc: testDocument(3), Who: "test"}, &made)
	}
	change("1", 0)
	cluster.awaitVoter(0, 1)
	wipe := func(i int) {
		t.Helper()
		cluster.stop(i)
		if err := os.RemoveAll(cluster.configs[i].Dir); err != nil {
			t.Fatal(err)
		}
	}
	wipe(2)
	cluster.start(2)
	cluster.awaitVoter(2, 1)
	cluster.stop(0) // the other keepers go on
	change("2", 1)
	cluster.awaitVoter(2, 2)
	cluster.start(0)
	cluster.awaitVoter(0, 2)

	// Keeper 1 has not received the third change, keeper 0, which has, is down, and keeper 2, which had, is wiped.
	cluster.stop(1)
	change("3", 2)
	cluster.awaitVoter(0, 3)
	cluster.awaitVoter(2, 3)
	wipe(2)
	cluster.stop(0)
	cluster.start(1)
	cluster.start(2)
	if i := cluster.awaitLeader(1500 * time.Millisecond); i >= 0 {
		t.Fatalf("keeper %d is the leader, and the third change is lost", i)
	}
	cluster.start(0)
	for i := range cluster.keepers {
		cluster.awaitVoter(i, 3)
	}
}

func logEntry(data []byte) *raft.Log { return &raft.Log{Index: 7, Type: raft.LogCommand, Data: data} }
