package relay

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"larchrouter/internal/discovery"
)

// Guards against rejecting a complete file because the file before it had members that WIRE calls optional: the relay then
// goes on by the old address of discovery, and its notices are lost.
func TestFileWithoutOptionalMembersIsApplied(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	p := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
	original := testConfig(t, p)
	const class, addedClass = `"classes":[{`, `"classes":[{"name":"stock-query","aim":3,"effect":"idempotent","give-up":6,"late-share":0.3,"stream":false,"worth":1},{`
	first := replaceOnce(t, original, class, class+`"aim-stretch":2,"keep-order":true,`, `"rules":{`, `"rules":{"order-settle":1,"later-rule":1,`,
		`"prices":{`, `"prices":{"fleet":0.1,`, `"limits":{`, `"later-object":{"a":1},"admin_addr":"127.0.0.1:0","limits":{`)
	config, err := readTestConfig(t, first, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	r := startRelay(t, p, func(c *Config) { state := c.StateDir; *c = config; c.StateDir = state; withAdminAddr(c) })
	moved := newFakePlatform(t)
	withClass := replaceOnce(t, first, class, addedClass)
	for _, step := range []struct {
		name string
		file []byte
	}{
		{"a class without optional members", withClass},
		{"roll back", first},
		{"no optional members at all", replaceOnce(t, original, class, addedClass)},
		{"roll back", first},
		{"discovery elsewhere", replaceOnce(t, original, class, addedClass, p.addr(), moved.addr())},
	} {
		if err := reloadConfig(t, r, step.file); err != nil {
			t.Errorf("%s: %v", step.name, err)
		}
	}
	addr, _ := r.platformAddr.Get()
	want(t, "discovery address", addr, moved.addr())
	awaitMetrics(t, r, "svc.reloads_ok=5", "svc.reloads_failed=0")
}

// Guards against a file that is applied though it was truncated or replaced in part: whichever byte it ends at, and
// whichever required member it lacks.
func TestIncompleteFileIsRejected(t *testing.T) {
	p := newFakePlatform(t, testEndpoint("s-1", "127.0.0.1:1", "taller"))
	complete := testConfig(t, p)
	r := startRelay(t, p, withAdminAddr)
	for end := 0; end < len(complete); end += 7 {
		if err := reloadConfig(t, r, complete[:end]); err == nil {
			t.Fatalf("applied, though truncated after %d of %d bytes", end, len(complete))
		}
	}
	for _, member := range []string{"name", "seed", "limits", "disk_mb", "known", "servers", "cell", "settings", "goal", "worst-class", "prices", "waste",
		"classes", "stream", "aim", "group", "window", "tenants", "zone-fee", "notes", "marks-retry", "ask-within", "columns", "zones"} {
		quoted := []byte(`"` + member + `":`)
		if !bytes.Contains(complete, quoted) {
			t.Fatalf("%s is not in the file", member)
		}
		lacking := bytes.Replace(complete, quoted, []byte(`"other":`), 1)
		if err := reloadConfig(t, r, lacking); err == nil {
			t.Errorf("applied without %s", member)
		}
	}
	if err := reloadConfig(t, r, complete); err != nil {
		t.Error(err)
	}
}

// Guards against notices that are lost because the platform moves with a file that the relay rejects.
func TestNoticesFollowRejectedFile(t *testing.T) {
	for name, damage := range map[string]func(file []byte) []byte{
		"an invalid value": func(file []byte) []byte { return replaceOnce(t, file, `"max-attempts":6`, `"max-attempts":0`) },
		"truncated":        func(file []byte) []byte { return file[:len(file)-9] },
	} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan *receivedCall, 10)
			var hosts []discovery.Server
			for dest := 7; dest <= 9; dest++ { // one for each message: an error makes the next call to an endpoint wait
				host := testEndpoint(fmt.Sprint("s-", dest), newFakeHost(t, fmt.Sprint(dest), calls), "taller")
				host.Cell = dest
				hosts = append(hosts, host)
			}
			p, moved := newFakePlatform(t, hosts...), newFakePlatform(t, hosts...)
			r := startRelay(t, p, withAdminAddr)
			endUndelivered := func(id string, dest int) {
				postMessage(t, r.Addr(), id, "payment", "X-Addressing", fmt.Sprint("dest=", dest)) // at_most_once: an error ends it
				receive(t, calls, "call").answer <- 500
			}
			if err := reloadConfig(t, r, damage(replaceOnce(t, testConfig(t, p), p.addr(), moved.addr()))); err == nil {
				t.Fatal("the file was applied")
			}
			endUndelivered("before", 7)
			want(t, "notice while the old address answers", receive(t, p.notices, "notice"), notice{ID: "before", Status: undeliverable})
			awaitNoPendingNotice(t, r) // otherwise it may be sent again
			p.Listener.Close()
			p.CloseClientConnections()
			endUndelivered("behind", 8)
			want(t, "notice once it is gone", receive(t, moved.notices, "notice"), notice{ID: "behind", Status: undeliverable})
			awaitNoPendingNotice(t, r)
			if err := reloadConfig(t, r, nil); err == nil {
				t.Fatal("the empty file was applied")
			}
			endUndelivered("later", 9)
			want(t, "notice after a rejected file without an address", receive(t, moved.notices, "notice"), notice{ID: "later", Status: undeliverable})
		})
	}
}

// awaitNoPendingNotice waits until the platform has accepted all notices.
func awaitNoPendingNotice(t *testing.T, r *Relay) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		pending := make(chan int, 1)
		r.post(func() { pending <- r.pendingNotices })
		if receive(t, pending, "number of notices") == 0 {
			return
		}
	}
	t.Fatal("notices are pending after 30 s")
}
