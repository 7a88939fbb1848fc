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

// ordered has a class whose messages go in the order of their keys.
func orderStatusUpdates(conf *Config) {
	for i := range conf.Settings.Classes {
		conf.Settings.Classes[i].Ordered = conf.Settings.Classes[i].Name == "status-update"
	}
}

// Guards against a key whose order is lost by way of the disk: its head in the window, its middle on disk, its tail new, and a
// restart between; and against one that overtakes itself at another destination.
func TestOrderOfKeyAcrossDisk(t *testing.T) {
	ps := newRecordingEndpoint(t)
	p := newPlatform(t, ps.server(7, false), ps.server(8, true))
	k := backlogOptions{state: t.TempDir(), change: orderStatusUpdates}
	r, stop := startBacklogRelay(t, p, k)
	var ids []string
	hand := func(n int) {
		for range n {
			ids = append(ids, submitAccepted(t, r, testMessage{id: fmt.Sprint("k.", len(ids)), dest: 7, order: "k"})...)
			submitAccepted(t, r, testMessage{id: fmt.Sprint("other.", len(ids)), dest: 7})
		}
	}
	hand(15)
	a := submit(t, r, testMessage{id: "astray", dest: 8, order: "k"})[0]
	want(t, "the key for another destination", a.status, 503)
	want(t, "and when to come again", a.after > 0, true)
	stop()
	r, stop = startBacklogRelay(t, p, k)
	hand(5)
	stop()
	r, _ = startBacklogRelay(t, p, k)
	hand(5)
	p.publish(2, true, ps.server(7, true), ps.server(8, true))
	hand(5) // new ones while the head goes
	got := ps.awaitMessages(t, 2*len(ids))
	n := 0
	for _, id := range got {
		if strings.HasPrefix(id, "k.") {
			if id != ids[n] {
				t.Fatalf("%s came where it was the turn of %s", id, ids[n])
			}
			n++
		}
	}
	want(t, "messages of the key", n, len(ids))
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.maxInFlight > 1 && ps.inFlight["k"] > 1 {
		t.Error("two of the key were out at once")
	}
}

// Guards against settings that are lost by way of the disk: a class that the settings of the next start do not know, and a
// destination that its list does not have.
func TestRestartWithFewerClassesAndDestinations(t *testing.T) {
	ps := newRecordingEndpoint(t)
	p := newPlatform(t, ps.server(7, false), ps.server(8, false))
	k := backlogOptions{state: t.TempDir()}
	r, stop := startBacklogRelay(t, p, k)
	listed := submitAccepted(t, r, numberedMessages(30, 7, "kept", testMessage{class: "payment"})...)
	removed := submitAccepted(t, r, numberedMessages(20, 8, "gone", testMessage{timeLeft: 2 * time.Second})...)
	stop()
	p = newPlatform(t, ps.server(7, true))
	k.change = func(conf *Config) {
		conf.Backlog.DiskMB = 0.001
		conf.Settings.Classes = conf.Settings.Classes[:2:2]
		want(t, "dropped class", conf.Settings.Classes[1].Name, "status-update")
	}
	r, _ = startBacklogRelay(t, p, k)
	ps.expectOnce(t, listed...)
	ends := p.collectNotices(t, len(removed))
	for _, id := range removed {
		want(t, "end of one whose destination is gone", ends[id], deferred)
	}
	shows(t, r, "svc.in_flight=0")
}

// Guards against a stop that waits for what lies on disk, and against its loss by that.
func TestStopLeavesTheBacklogOnDisk(t *testing.T) {
	ps := newRecordingEndpoint(t)
	p := newPlatform(t, ps.server(7, false))
	k := backlogOptions{state: t.TempDir()}
	r, _ := startBacklogRelay(t, p, k)
	submitAccepted(t, r, numberedMessages(20, 7, "m", testMessage{})...)
	runInLoop(t, r, func() { // nothing but the disk has anything
		for _, m := range r.pending {
			r.events = append(r.events, choice.Withdrawn{ID: m.ID})
			r.record(journal.Record{Op: journal.OpEnd, ID: m.ID})
			r.forget(m)
		}
		r.draining.Store(true)
		want(t, "idle with messages on disk alone", r.idle(), true)
	})
	_, disk := pendingAndStored(t, r)
	begin := time.Now()
	r.Drain()
	if took := time.Since(begin); took > stopSending {
		t.Errorf("the stop took %v", took)
	}
	r, _ = startBacklogRelay(t, newPlatform(t, ps.server(7, true)), k)
	want(t, "messages that came", len(ps.awaitMessages(t, disk)), disk)
	shows(t, r, "svc.in_flight=0")
}

// Guards against a hand-over that loses, doubles or reorders what lies on disk, or that leaves the relay without it as it fails.
func TestHandoverWithBacklog(t *testing.T) {
	ps := newRecordingEndpoint(t)
	p := newPlatform(t, ps.server(7, false), ps.server(8, true))
	k := backlogOptions{state: t.TempDir(), change: orderStatusUpdates}
	old, _ := startBacklogRelay(t, p, k)
	up(t, old.Addr())
	var ids []string
	hand := func(r *Relay, n int) {
		for range n {
			ids = append(ids, submitAccepted(t, r, testMessage{id: fmt.Sprint("k.", len(ids)), dest: 7, order: "k"})...)
		}
	}
	hand(old, 20)
	for _, sent := range []string{"hello", handoverHello, handoverHello + "mine!\n"} {
		conn, err := net.Dial("unix", filepath.Join(k.state, handoverSocket))
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, sent)
		if sent == handoverHello { // it opens all, as it would, and dies
			r, err := backlog.Open(filepath.Join(k.state, backlogFolder), backlog.Options{Disk: 8e6})
			if err != nil {
				t.Fatal(err)
			}
			r.Close()
		}
		conn.Close()
		hand(old, 5)
	}
	shows(t, old, fmt.Sprintf("svc.in_flight=%d", len(ids)), "svc.backlog.shut=0")
	listen := old.Addr()
	k.change = func(conf *Config) { orderStatusUpdates(conf); conf.Listen = listen }
	next, _ := startBacklogRelay(t, p, k)
	shows(t, next, fmt.Sprintf("svc.in_flight=%d", len(ids)))
	shows(t, old, "svc.in_flight=0")
	if text := metricsText(t, old); strings.Contains(text, "svc.backlog") {
		t.Errorf("the process that handed over tells of a backlog: %s", text)
	}
	hand(next, 5)
	submitAccepted(t, old, testMessage{id: "passed", dest: 8}) // by way of the old one
	p.publish(2, true, ps.server(7, true), ps.server(8, true))
	got := ps.awaitMessages(t, len(ids)+1)
	n := 0
	for _, id := range got {
		if id != "passed" {
			want(t, "next of the key", id, ids[n])
			n++
		}
	}
	shows(t, next, "svc.in_flight=0", "svc.backlog.messages=0")
}

func metricsText(t *testing.T, r *Relay) string {
	t.Helper()
	_, text := operate(t, r, "GET", "/metrics")
	return text
}

// Guards against a relay that goes on without its backlog: it must take nothing on until it can be opened.
func TestBacklogThatCannotBeReopened(t *testing.T) {
	r, _, ps, p, ids := startFaultyRelay(t, "status-update")
	open := openStore
	t.Cleanup(func() { openStore = open })
	runInLoop(t, r, func() {
		openStore = func(string, backlog.Options) (store, error) { return nil, errDisk }
		r.overflow.close()
		r.reopenBacklog()
	})
	shows(t, r, "svc.backlog.shut=1")
	for dest := range 2 {
		a := submit(t, r, testMessage{id: "m", dest: 7 + dest})[0]
		want(t, "answer while it is shut", a.status, 503)
	}
	runInLoop(t, r, func() { openStore = open })
	shows(t, r, "svc.backlog.shut=0")
	p.publish(2, true, ps.server(7, true), ps.server(8, true))
	ps.expectOnce(t, ids...)
}
