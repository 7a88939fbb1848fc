package platform

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/lab/history"
)

// Guards against lists that a relay cannot follow. Discovery must serve the changes since a version, and the whole list for an
// unknown version. Watches must end with a change, with their timeout, and with an outage. Notices must be received throughout.
func TestDiscovery(t *testing.T) {
	env := newEnv(t, nil)
	p := NewPartners(env.Env)
	d := NewDiscovery(env.Env, p)
	var notices []string
	d.OnNotice = func(id, status string, _ time.Duration) { notices = append(notices, id+" "+status) }
	d.SetAddr("relay/0", "endpoint/1", "127.0.0.1:77")
	addr, err := d.Serve("relay/0", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	get := func(query string) (int, endpointList) {
		t.Helper()
		resp, err := http.Get("http://" + addr + "/discovery/hosts" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var a endpointList
		if resp.StatusCode == 200 {
			if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
				t.Fatal(err)
			}
		}
		return resp.StatusCode, a
	}
	whole := len(p.endpoints)
	if status, a := get(""); status != 200 || !a.Full || a.Version != 1 || len(a.Servers) != whole || a.Servers[1].Addr != "127.0.0.1:77" {
		t.Errorf("whole list: %d, %+v", status, a)
	}
	if _, a := get("?since=1&timeout_ms=1"); a.Full || a.Version != 1 || len(a.Servers) != 0 {
		t.Errorf("watch that ends with its timeout: %+v", a)
	}
	if _, a := get("?since=99&timeout_ms=1"); !a.Full {
		t.Errorf("watch from a version that does not exist yet: %+v", a)
	}
	type listResult struct {
		status int
		endpointList
	}
	watch := func(query string) chan listResult {
		ch, before := make(chan listResult, 1), env.count(history.ListRequested)
		go func() { status, a := get(query); ch <- listResult{status, a} }()
		for env.count(history.ListRequested) == before {
			time.Sleep(time.Millisecond)
		}
		return ch
	}
	w := watch("?since=1&timeout_ms=60000")
	d.SetState("endpoint/1", "leaving", nil)
	if got := <-w; got.Full || got.Version != 2 || len(got.Servers) != 1 || got.Servers[0].State != "leaving" {
		t.Errorf("watch that ends with a change: %+v", got)
	}
	left := make(chan struct{})
	d.SetState("endpoint/1", "left", func() { close(left) })
	<-left
	if _, a := get(""); len(a.Servers) != whole-1 {
		t.Errorf("%d endpoints in the whole list after one left, want %d", len(a.Servers), whole-1)
	}
	if _, a := get("?since=2"); len(a.Servers) != 1 || a.Servers[0].State != "left" {
		t.Errorf("changes since version 2: %+v", a)
	}
	w = watch("?since=3&timeout_ms=60000")
	d.SetDown(true)
	if got := <-w; got.status != 503 {
		t.Errorf("status %d for a watch at the start of an outage, want 503", got.status)
	}
	if status, _ := get(""); status != 503 {
		t.Errorf("status %d during an outage, want 503", status)
	}
	for body, want := range map[string]int{
		"{\"id\":\"a\",\"status\":\"deferred\",\"again_ms\":5}\n{\"id\":\"b\",\"status\":\"undeliverable\"}\n": 204,
		"{\"id\":\"c\",\"status\":\"gone\"}\n": 400, "nothing": 400, "{\"status\":\"deferred\"}": 400,
	} {
		resp, err := http.Post("http://"+addr+"/status", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("notice %q: status %d, want %d", body, resp.StatusCode, want)
		}
	}
	if got := strings.Join(notices, ", "); got != "a deferred, b undeliverable" {
		t.Errorf("received notices %q", got)
	}
	d.SetDown(false)
	if status, _ := get(""); status != 200 {
		t.Errorf("status %d after the outage, want 200", status)
	}
}
