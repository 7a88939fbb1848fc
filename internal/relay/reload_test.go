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

// reloadConfig writes a configuration file and makes the relay reload it.
func reloadConfig(t *testing.T, r *Relay, data []byte) error {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return r.Reload(func(name string) string { return map[string]string{"BALANCER_CONFIG": path}[name] })
}

func replaceOnce(t *testing.T, data []byte, pairs ...string) []byte {
	t.Helper()
	for i := 0; i < len(pairs); i += 2 {
		if !bytes.Contains(data, []byte(pairs[i])) {
			t.Fatalf("text to replace not found: %s", pairs[i])
		}
		data = bytes.Replace(data, []byte(pairs[i]), []byte(pairs[i+1]), 1)
	}
	return data
}

// Guards against settings that are not applied, or only in part; against open messages that change with them; and
// against rejecting clients that do not know yet that their class was removed.
func TestReload(t *testing.T) {
	defer func(d time.Duration) { earlierTermsGrace = d }(earlierTermsGrace)
	earlierTermsGrace = time.Hour
	calls := make(chan *receivedCall, 10)
	host := testEndpoint("s-1", newFakeHost(t, "a", calls), "taller")
	p, moved := newFakePlatform(t, host), newFakePlatform(t, host)
	r := startRelay(t, p, withAdminAddr)
	postMessage(t, r.Addr(), "old", "status-update") // idempotent
	openCall := receive(t, calls, "call")
	original := testConfig(t, p)
	trapped := replaceOnce(t, original, p.addr(), moved.addr(), `"name":"payment"`, `"name":"trap"`)
	for n, broken := range [][]byte{nil, []byte("{"), trapped[:len(trapped)-9],
		replaceOnce(t, trapped, `"max-attempts":6`, `"max-attempts":0`), replaceOnce(t, trapped, `"give-up":16`, `"give-up":0`),
		replaceOnce(t, trapped, `"settings":`, `"setting":`), replaceOnce(t, trapped, `"effect":"deduplicated",`, ``),
		replaceOnce(t, trapped, moved.addr(), "nowhere")} {
		if err := reloadConfig(t, r, broken); err == nil {
			t.Errorf("broken file %d was applied", n)
		}
	}
	addr, _ := r.platformAddr.Get()
	want(t, "discovery address after broken files", addr, p.addr())
	awaitMetrics(t, r, "svc.reloads_ok=0", "svc.reloads_failed=8")
	status, _ := postMessage(t, r.Addr(), "trapped", "trap")
	want(t, "status for a class of a broken file", status, 400)

	next := replaceOnce(t, original, p.addr(), moved.addr(), `"max-attempts":6`, `"max-attempts":1`,
		`"effect":"idempotent"`, `"effect":"at_most_once"`, `"name":"status-update"`, `"name":"dispatch"`, `"conn-idle":5`, `"conn-idle":8`,
		`"skus":["marketplace","customer-system"]`, `"skus":["customer-system","marketplace"]`)
	if err := reloadConfig(t, r, next); err != nil {
		t.Fatal(err)
	}
	awaitMetrics(t, r, "svc.reloads_ok=1", "svc.reloads_failed=8", "svc.requests.dispatch.served=0")
	want(t, "idle time of connections to hosts", r.hostTransport.Load().IdleConnTimeout, 7500*time.Millisecond)
	want(t, "first query at the new address", receive(t, moved.queries, "query"), "")
	perCall := make(chan int, 1)
	r.post(func() { perCall <- r.hosts["s-1"].maxPerCall })
	want(t, "messages per call to an endpoint whose kind has a new number", receive(t, perCall, "number"), 5)
	postMessage(t, r.Addr(), "new", "dispatch")
	newCall := receive(t, calls, "call")
	want(t, "id", newCall.id, "new")
	status, _ = postMessage(t, r.Addr(), "late", "status-update")
	want(t, "status for a class just dropped", status, 202)
	lateCall := receive(t, calls, "call")
	lateCall.answer <- 200
	awaitMetrics(t, r, "svc.requests.status-update.served=1") // a success after the failures would begin a slow start
	newCall.answer <- 500                                     // its class is at_most_once now
	want(t, "notice", receive(t, moved.notices, "notice"), notice{ID: "new", Status: undeliverable})
	openCall.answer <- 500 // it may be repeated, as its class allowed when it was accepted
	repeated := receive(t, calls, "call")
	want(t, "id of the repeat", repeated.id, "old")
	repeated.answer <- 200
	awaitMetrics(t, r, "svc.requests.dispatch.failed=1", "svc.requests.status-update.served=2")
}

// Guards against a class that is accepted forever, or not at all, after the settings dropped it, and against one
// that stays retired across a second reload and later returns.
func TestDroppedClassesAreAcceptedTemporarily(t *testing.T) {
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
	known := func(active *activeSettings, class string, now time.Duration) bool {
		return active.termsFor(class, false, now) != nil
	}
	active := (&activeSettings{}).replacedBy(parse("a", "b"), 0)
	want(t, "a", known(active, "a", time.Hour), true)
	active = active.replacedBy(parse("b", "c"), time.Minute)
	want(t, "a within the grace period", known(active, "a", time.Minute+earlierTermsGrace-1), true)
	want(t, "a after the grace period", known(active, "a", time.Minute+earlierTermsGrace), false)
	want(t, "c", known(active, "c", time.Minute), true)
	want(t, "index of c", active.classIndex("c"), 1)
	want(t, "index of a, which is removed", active.classIndex("a"), 2)
	later := time.Minute + earlierTermsGrace/2
	active = active.replacedBy(parse("c"), later)
	want(t, "a within the grace period", known(active, "a", time.Minute+earlierTermsGrace-1), true)
	want(t, "a after the grace period, counted from its removal", known(active, "a", time.Minute+earlierTermsGrace), false)
	want(t, "b", known(active, "b", time.Minute+earlierTermsGrace), true)
	want(t, "b after the grace period", known(active, "b", later+earlierTermsGrace), false)
	active = active.replacedBy(parse("a", "c"), time.Hour)
	want(t, "a is back", known(active, "a", 2*time.Hour), true)
	want(t, "index of a", active.classIndex("a"), 0)
	want(t, "classes", len(active.Classes), 2)
}
