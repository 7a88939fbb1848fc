package relay

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/settings"
)

// reload puts a configuration in place and has the relay take it up.
func reload(t *testing.T, r *Relay, data []byte) error {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return r.Reload(func(name string) string { return map[string]string{"BALANCER_CONFIG": path}[name] })
}

func changed(t *testing.T, data []byte, pairs ...string) []byte {
	t.Helper()
	for i := 0; i < len(pairs); i += 2 {
		if !bytes.Contains(data, []byte(pairs[i])) {
			t.Fatalf("nothing to change: %s", pairs[i])
		}
		data = bytes.Replace(data, []byte(pairs[i]), []byte(pairs[i+1]), 1)
	}
	return data
}

// Guards against settings that are not followed, or by half; against open messages that follow them; and
// against clients turned away who have not heard yet that their class is dropped.
func TestReload(t *testing.T) {
	defer func(d time.Duration) { retiredFor = d }(retiredFor)
	retiredFor = time.Hour
	calls := make(chan *receivedCall, 10)
	host := testEndpoint("s-1", newFakeHost(t, "a", calls), "taller")
	p, moved := newFakePlatform(t, host), newFakePlatform(t, host)
	r := startRelay(t, p, withAdmin)
	postMessage(t, r.Addr(), "old", "status-update") // idempotent
	open := receive(t, calls, "call")
	whole := testConfig(t, p)
	trap := changed(t, whole, p.addr(), moved.addr(), `"name":"payment"`, `"name":"trap"`)
	for n, broken := range [][]byte{nil, []byte("{"), trap[:len(trap)-9],
		changed(t, trap, `"max-attempts":6`, `"max-attempts":0`), changed(t, trap, `"give-up":16`, `"give-up":0`),
		changed(t, trap, `"settings":`, `"setting":`), changed(t, trap, `"effect":"deduplicated",`, ``),
		changed(t, trap, moved.addr(), "nowhere")} {
		if err := reload(t, r, broken); err == nil {
			t.Errorf("broken file %d is taken", n)
		}
	}
	addr, _ := r.platformAddr.Get()
	want(t, "discovery after broken files", addr, p.addr())
	shows(t, r, "svc.reloads_ok=0", "svc.reloads_failed=8")
	status, _ := postMessage(t, r.Addr(), "trapped", "trap")
	want(t, "class of a broken file", status, 400)

	next := changed(t, whole, p.addr(), moved.addr(), `"max-attempts":6`, `"max-attempts":1`,
		`"effect":"idempotent"`, `"effect":"at_most_once"`, `"name":"status-update"`, `"name":"dispatch"`, `"conn-idle":5`, `"conn-idle":8`,
		`"skus":["marketplace","customer-system"]`, `"skus":["customer-system","marketplace"]`)
	if err := reload(t, r, next); err != nil {
		t.Fatal(err)
	}
	shows(t, r, "svc.reloads_ok=1", "svc.reloads_failed=8", "svc.requests.dispatch.served=0")
	want(t, "idle time of connections to hosts", r.hostTransport.Load().IdleConnTimeout, 7500*time.Millisecond)
	want(t, "first query at the new address", receive(t, moved.queries, "query"), "")
	perCall := make(chan int, 1)
	r.post(func() { perCall <- r.hosts["s-1"].maxPerCall })
	want(t, "messages in a call to an endpoint whose kind has another number", receive(t, perCall, "number"), 5)
	postMessage(t, r.Addr(), "new", "dispatch")
	fresh := receive(t, calls, "call")
	want(t, "id", fresh.id, "new")
	status, _ = postMessage(t, r.Addr(), "late", "status-update")
	want(t, "a class just dropped", status, 202)
	late := receive(t, calls, "call")
	late.answer <- 200
	fresh.answer <- 500 // at most once now
	want(t, "notice", receive(t, moved.notices, "notice"), notice{ID: "new", Status: undeliverable})
	open.answer <- 500 // it may be repeated, as it could when it came
	again := receive(t, calls, "call")
	want(t, "id of the repeat", again.id, "old")
	again.answer <- 200
	shows(t, r, "svc.requests.dispatch.failed=1", "svc.requests.status-update.served=2")
}

// Guards against a class that is never given up, or at once, after settings dropped it; and against one
// that is dropped twice and comes back.
func TestDroppedClassesAreTakenForAWhile(t *testing.T) {
	parse := func(names ...string) settings.Settings {
		var classes []string
		for _, n := range names {
			classes = append(classes, `{"aim":2,"effect":"idempotent","give-up":16,"group":"all","name":"`+n+`","worth":1}`)
		}
		set, err := settings.Parse([]byte(`{"bounds":{"max-attempts":6},"classes":[` + strings.Join(classes, ",") +
			`],"family-info":{"workers":7},"fleet-size":3,"rules":{"cold":13,"fall":2},"tick":0.005}`))
		if err != nil {
			t.Fatal(err)
		}
		return set
	}
	s := (&standing{}).succeed(parse("a", "b"), 0)
	want(t, "a", s.class("a", time.Hour), 0)
	s = s.succeed(parse("b", "c"), time.Minute)
	want(t, "a in its time", s.class("a", time.Minute+retiredFor-1), 2)
	want(t, "a after it", s.class("a", time.Minute+retiredFor), -1)
	want(t, "c", s.class("c", time.Minute), 1)
	later := time.Minute + retiredFor/2
	s = s.succeed(parse("c"), later)
	want(t, "a in its time", s.class("a", time.Minute+retiredFor-1), 2)
	want(t, "a after it, counted from when it was dropped", s.class("a", time.Minute+retiredFor), -1)
	want(t, "b", s.class("b", time.Minute+retiredFor), 1)
	s = s.succeed(parse("a", "c"), time.Hour)
	want(t, "a is back", s.class("a", 2*time.Hour), 0)
	want(t, "classes", len(s.Classes), 2)
}
