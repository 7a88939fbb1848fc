package relay

import (
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/backlog"
	"larchrouter/internal/journal"
)

// orderStatusUpdates makes status updates an ordered class: its messages are delivered in the order of their keys.
func orderStatusUpdates(conf *Config) {
	for i := range conf.Settings.Classes {
		conf.Settings.Classes[i].Ordered = conf.Settings.Classes[i].Name == "status-update"
	}
}

// Guards against a key whose order is lost across the disk, when its head is in the window, its middle on disk, its
// tail new, and restarts come between; and against messages that overtake others of their key at another destination.
func TestOrderOfKeyAcrossDisk(t *testing.T) {
	endpoint := newRecordingEndpoint(t)
	p := newFakePlatform(t, endpoint.server(7, false), endpoint.server(8, true))
	options := backlogOptions{stateDir: t.TempDir(), changeConfig: orderStatusUpdates}
	r, stop := startBacklogRelay(t, p, options)
	var ids []string
	submitKeyed := func(n int) {
		for range n {
			ids = append(ids, submitAccepted(t, r, testMessage{id: fmt.Sprint("k.", len(ids)), dest: 7, order: "k"})...)
			submitAccepted(t, r, testMessage{id: fmt.Sprint("other.", len(ids)), dest: 7})
		}
	}
	submitKeyed(15)
	a := submit(t, r, testMessage{id: "astray", dest: 8, order: "k"})[0]
	want(t, "the key for another destination", a.status, 503)
	want(t, "a retry time is given", a.retryAfter > 0, true)
	stop()
	r, stop = startBacklogRelay(t, p, options)
	submitKeyed(5)
	stop()
	r, _ = startBacklogRelay(t, p, options)
	submitKeyed(5)
	p.publish(2, true, endpoint.server(7, true), endpoint.server(8, true))
	submitKeyed(5) // new messages while the head is delivered
	received := endpoint.awaitMessages(t, 2*len(ids))
	n := 0
	for _, id := range received {
		if strings.HasPrefix(id, "k.") {
			if id != ids[n] {
				t.Fatalf("%s arrived, want %s", id, ids[n])
			}
			n++
		}
	}
	want(t, "messages of the key", n, len(ids))
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	if endpoint.maxInFlight > 1 && endpoint.inFlight["k"] > 1 {
		t.Error("two messages of the key were in flight at once")
	}
}

// Guards against messages on disk that are lost because the next start has less: their class is not in its settings,
// or their destination is not in its list.
func TestRestartWithFewerClassesAndDestinations(t *testing.T) {
	endpoint := newRecordingEndpoint(t)
	p := newFakePlatform(t, endpoint.server(7, false), endpoint.server(8, false))
	options := backlogOptions{stateDir: t.TempDir()}
	r, stop := startBacklogRelay(t, p, options)
	remaining := submitAccepted(t, r, numberedMessages(30, 7, "kept", testMessage{class: "payment"})...)
	removed := submitAccepted(t, r, numberedMessages(20, 8, "gone", testMessage{timeLeft: 2 * time.Second})...)
	stop()
	p = newFakePlatform(t, endpoint.server(7, true))
	options.changeConfig = func(conf *Config) {
		conf.Backlog.DiskMB = 0.001
		conf.Settings.Classes = conf.Settings.Classes[:2:2]
		want(t, "dropped class", conf.Settings.Classes[1].Name, "status-update")
	}
	r, _ = startBacklogRelay(t, p, options)
	endpoint.expectOnce(t, remaining...)
	ends := p.collectNotices(t, len(removed))
	for _, id := range removed {
		want(t, "end of a message whose destination was removed", ends[id], deferred)
	}
	awaitMetrics(t, r, "svc.in_flight=0")
}

// Guards against a stop that waits for the messages on disk, or that loses them.
func TestStopLeavesTheBacklogOnDisk(t *testing.T) {
	endpoint := newRecordingEndpoint(t)
	p := newFakePlatform(t, endpoint.server(7, false))
	options := backlogOptions{stateDir: t.TempDir()}
	r, _ := startBacklogRelay(t, p, options)
	submitAccepted(t, r, numberedMessages(20, 7, "m", testMessage{})...)
	runInLoop(t, r, func() { // removes all messages that are not only on disk
		for _, m := range r.pending {
			r.events = append(r.events, choice.Withdrawn{ID: m.ID})
			r.record(journal.Record{Op: journal.OpEnd, ID: m.ID})
			r.forget(m)
		}
		r.draining.Store(true)
		want(t, "idle with messages on disk alone", r.isIdle(), true)
	})
	_, stored := pendingAndStored(t, r)
	begin := time.Now()
	r.Drain()
	if took := time.Since(begin); took > stopCallsAfter {
		t.Errorf("the stop took %v", took)
	}
	r, _ = startBacklogRelay(t, newFakePlatform(t, endpoint.server(7, true)), options)
	want(t, "messages that arrived", len(endpoint.awaitMessages(t, stored)), stored)
	awaitMetrics(t, r, "svc.in_flight=0")
}

// Guards against a handover that loses, duplicates or reorders messages on disk, or that leaves the relay without its
// backlog if it fails.
func TestHandoverWithBacklog(t *testing.T) {
	endpoint := newRecordingEndpoint(t)
	p := newFakePlatform(t, endpoint.server(7, false), endpoint.server(8, true))
	options := backlogOptions{stateDir: t.TempDir(), changeConfig: orderStatusUpdates}
	old, _ := startBacklogRelay(t, p, options)
	checkUp(t, old.Addr())
	var ids []string
	submitKeyed := func(r *Relay, n int) {
		for range n {
			ids = append(ids, submitAccepted(t, r, testMessage{id: fmt.Sprint("k.", len(ids)), dest: 7, order: "k"})...)
		}
	}
	submitKeyed(old, 20)
	for _, sent := range []string{"hello", handoverHello, handoverHello + "mine!\n"} {
		conn, err := net.Dial("unix", filepath.Join(options.stateDir, handoverSocket))
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, sent)
		if sent == handoverHello { // opens the backlog, as a next process does, and dies
			r, err := backlog.Open(filepath.Join(options.stateDir, backlogFolder), backlog.Options{DiskBytes: 8e6})
			if err != nil {
				t.Fatal(err)
			}
			r.Close()
		}
		conn.Close()
		submitKeyed(old, 5)
	}
	awaitMetrics(t, old, fmt.Sprintf("svc.in_flight=%d", len(ids)), "svc.backlog.shut=0")
	listen := old.Addr()
	options.changeConfig = func(conf *Config) { orderStatusUpdates(conf); conf.Listen = listen }
	next, _ := startBacklogRelay(t, p, options)
	awaitMetrics(t, next, fmt.Sprintf("svc.in_flight=%d", len(ids)))
	awaitMetrics(t, old, "svc.in_flight=0")
	if text := metricsText(t, old); strings.Contains(text, "svc.backlog") {
		t.Errorf("the process that handed over reports a backlog: %s", text)
	}
	submitKeyed(next, 5)
	submitAccepted(t, old, testMessage{id: "passed", dest: 8}) // through the previous process
	p.publish(2, true, endpoint.server(7, true), endpoint.server(8, true))
	received := endpoint.awaitMessages(t, len(ids)+1)
	n := 0
	for _, id := range received {
		if id != "passed" {
			want(t, "next message of the key", id, ids[n])
			n++
		}
	}
	awaitMetrics(t, next, "svc.in_flight=0", "svc.backlog.messages=0")
}

func metricsText(t *testing.T, r *Relay) string {
	t.Helper()
	_, text := operatorCall(t, r, "GET", "/metrics")
	return text
}

// Guards against a relay that continues without its backlog: it must accept nothing until the backlog can be opened.
func TestBacklogThatCannotBeReopened(t *testing.T) {
	r, _, endpoint, p, ids := startFaultyRelay(t, "status-update")
	open := openStore
	t.Cleanup(func() { openStore = open })
	runInLoop(t, r, func() {
		openStore = func(string, backlog.Options) (store, error) { return nil, errDisk }
		r.overflow.closeStore()
		r.reopenBacklog()
	})
	awaitMetrics(t, r, "svc.backlog.shut=1")
	for dest := range 2 {
		a := submit(t, r, testMessage{id: "m", dest: 7 + dest})[0]
		want(t, "answer while the backlog is closed", a.status, 503)
	}
	runInLoop(t, r, func() { openStore = open })
	awaitMetrics(t, r, "svc.backlog.shut=0")
	p.publish(2, true, endpoint.server(7, true), endpoint.server(8, true))
	endpoint.expectOnce(t, ids...)
}
