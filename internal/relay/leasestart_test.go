package relay

import (
	"testing"
	"time"
)

// Guards against attempts that are used up at a start under an expired lease. A repeatable message ended undeliverable
// 70 ms after its process had restarted under load, without a second call: the Chooser learned of the expired lease
// only with the first update of the list's follower, and each call before that was withheld and used up an attempt.
// Here that first update never comes.
func TestExpiredListAtStartUsesNoAttempt(t *testing.T) {
	platform := newFakePlatform(t, testEndpoint("s-1", newScriptedHost(t, answerStatus(500)).addr, "taller"))
	dir := t.TempDir()
	sendAndDropOutcomes(t, platform, dir, "job-order", "m1") // leaves a journal, and no lease
	config, err := readTestConfig(t, testConfig(t, platform), dir)
	if err != nil {
		t.Fatal(err)
	}
	withAdminAddr(&config)
	relay, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	relay.listSource = silentSource{}
	done := make(chan struct{})
	go func() { relay.Serve(); close(done) }()
	t.Cleanup(func() { relay.stop(); <-done })
	select {
	case n := <-platform.notices:
		t.Fatalf("notice that %s is %s, want none", n.ID, n.Status)
	case <-time.After(500 * time.Millisecond):
	}
	awaitMetrics(t, relay, "svc.in_flight=1", "svc.list.expired=1", "svc.withheld.list_too_old=0")
}
