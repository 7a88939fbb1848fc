package relay

import (
	"testing"
	"time"
)

// Seen: under load a message that may be repeated ended undeliverable 70 ms after its process had restarted, with no second call.
// Cause: the lease had run out, and the decisions heard of it with the follower's first word; until then each of their calls was
// withheld, and used up an attempt. Here that first word does not come.
func TestExpiredListAtStartUsesNoAttempt(t *testing.T) {
	platform := newFakePlatform(t, testEndpoint("s-1", newScriptedHost(t, answerStatus(500)).addr, "taller"))
	dir := t.TempDir()
	sendAndDropOutcomes(t, platform, dir, "job-order", "m1") // leaves a journal, and no lease
	conf, err := readTestConfig(t, testConfig(t, platform), dir)
	if err != nil {
		t.Fatal(err)
	}
	withAdmin(&conf)
	relay, err := New(conf)
	if err != nil {
		t.Fatal(err)
	}
	relay.listSource = silentSource{}
	done := make(chan struct{})
	go func() { relay.Serve(); close(done) }()
	t.Cleanup(func() { relay.stop(); <-done })
	select {
	case n := <-platform.notices:
		t.Fatalf("%s is told to be %s", n.ID, n.Status)
	case <-time.After(500 * time.Millisecond):
	}
	shows(t, relay, "svc.in_flight=1", "svc.list.expired=1", "svc.withheld.list_too_old=0")
}
