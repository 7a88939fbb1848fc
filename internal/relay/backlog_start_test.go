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
func ordered(conf *Config) {
	for i := range conf.Settings.Classes {
		conf.Settings.Classes[i].Ordered = conf.Settings.Classes[i].Name == "status-update"
	}
}

// Guards against a key whose order is lost by way of the disk: its head in the window, its middle on disk, its tail new, and a
// restart between; and against one that overtakes itself at another destination.
func TestOrderOfAKey(t *testing.T) {
	ps := newPartners(t)
	p := newPlatform(t, ps.cell(7, false), ps.cell(8, true))
	k := keeping{state: t.TempDir(), change: ordered}
	r, stop := startKeeping(t, p, k)
	var ids []string
	hand := func(n int) {
		for range n {
			ids = append(ids, promised(t, r, given{id: fmt.Sprint("k.", len(ids)), dest: 7, order: "k"})...)
			promised(t, r, given{id: fmt.Sprint("other.", len(ids)), dest: 7})
		}
	}
	hand(15)
	a := give(t, r, given{id: "astray", dest: 8, order: "k"})[0]
	want(t, "the key for another destination", a.status, 503)
	want(t, "and when to come again", a.after > 0, true)
	stop()
	r, stop = startKeeping(t, p, k)
	hand(5)
	stop()
	r, _ = startKeeping(t, p, k)
	hand(5)
	p.publish(2, true, ps.cell(7, true), ps.cell(8, true))
	hand(5) // new ones while the head goes
	got := ps.await(t, 2*len(ids))
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
	if ps.most > 1 && ps.out["k"] > 1 {
		t.Error("two of the key were out at once")
	}
}

// Guards against settings that are lost by way of the disk: a class that the settings of the next start do not know, and a
// destination that its list does not have.
func TestAStartWithLess(t *testing.T) {
	ps := newPartners(t)
	p := newPlatform(t, ps.cell(7, false), ps.cell(8, false))
	k := keeping{state: t.TempDir()}
	r, stop := startKeeping(t, p, k)
	kept := promised(t, r, many(30, 7, "kept", given{class: "payment"})...)
	gone := promised(t, r, many(20, 8, "gone", given{left: 2 * time.Second})...)
	stop()
	p = newPlatform(t, ps.cell(7, true))
	k.change = func(conf *Config) {
		conf.Backlog.DiskMB = 0.001
		conf.Settings.Classes = conf.Settings.Classes[:2:2]
		want(t, "dropped class", conf.Settings.Classes[1].Name, "status-update")
	}
	r, _ = startKeeping(t, p, k)
	ps.once(t, kept...)
	ends := p.ends(t, len(gone))
	for _, id := range gone {
		want(t, "end of one whose destination is gone", ends[id], deferred)
	}
	shows(t, r, "svc.in_flight=0")
}

// Guards against a stop that waits for what lies on disk, and against its loss by that.
func TestStopLeavesTheBacklogOnDisk(t *testing.T) {
	ps := newPartners(t)
	p := newPlatform(t, ps.cell(7, false))
	k := keeping{state: t.TempDir()}
	r, _ := startKeeping(t, p, k)
	promised(t, r, many(20, 7, "m", given{})...)
	inLoop(t, r, func() { // nothing but the disk has anything
		for _, m := range r.held {
			r.events = append(r.events, choice.Withdrawn{ID: m.ID})
			r.record(journal.Record{Op: journal.OpEnd, ID: m.ID})
			r.drop(m)
		}
		r.draining.Store(true)
		want(t, "idle with messages on disk alone", r.idle(), true)
	})
	_, disk := counts(t, r)
	begin := time.Now()
	r.Drain()
	if took := time.Since(begin); took > stopSending {
		t.Errorf("the stop took %v", took)
	}
	r, _ = startKeeping(t, newPlatform(t, ps.cell(7, true)), k)
	want(t, "messages that came", len(ps.await(t, disk)), disk)
	shows(t, r, "svc.in_flight=0")
}

// Guards against a hand-over that loses, doubles or reorders what lies on disk, or that leaves the relay without it as it fails.
func TestHandOverWithABacklog(t *testing.T) {
	ps := newPartners(t)
	p := newPlatform(t, ps.cell(7, false), ps.cell(8, true))
	k := keeping{state: t.TempDir(), change: ordered}
	old, _ := startKeeping(t, p, k)
	up(t, old.Addr())
	var ids []string
	hand := func(r *Relay, n int) {
		for range n {
			ids = append(ids, promised(t, r, given{id: fmt.Sprint("k.", len(ids)), dest: 7, order: "k"})...)
		}
	}
	hand(old, 20)
	for _, says := range []string{"hello", handoverHello, handoverHello + "mine!\n"} {
		conn, err := net.Dial("unix", filepath.Join(k.state, handoverName))
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, says)
		if says == handoverHello { // it opens all, as it would, and dies
			r, err := backlog.Open(filepath.Join(k.state, backlogName), backlog.Options{DiskBytes: 8e6})
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
	k.change = func(conf *Config) { ordered(conf); conf.Listen = listen }
	next, _ := startKeeping(t, p, k)
	shows(t, next, fmt.Sprintf("svc.in_flight=%d", len(ids)))
	shows(t, old, "svc.in_flight=0")
	if text := metrics(t, old); strings.Contains(text, "svc.backlog") {
		t.Errorf("the process that handed over tells of a backlog: %s", text)
	}
	hand(next, 5)
	promised(t, old, given{id: "passed", dest: 8}) // by way of the old one
	p.publish(2, true, ps.cell(7, true), ps.cell(8, true))
	got := ps.await(t, len(ids)+1)
	n := 0
	for _, id := range got {
		if id != "passed" {
			want(t, "next of the key", id, ids[n])
			n++
		}
	}
	shows(t, next, "svc.in_flight=0", "svc.backlog.messages=0")
}

func metrics(t *testing.T, r *Relay) string {
	t.Helper()
	_, text := operate(t, r, "GET", "/metrics")
	return text
}

// Guards against a relay that goes on without its backlog: it must take nothing on until it can be opened.
func TestABacklogThatCannotBeOpenedAgain(t *testing.T) {
	r, _, ps, p, ids := startFaulty(t, "status-update")
	open := openStore
	t.Cleanup(func() { openStore = open })
	inLoop(t, r, func() {
		openStore = func(string, backlog.Options) (store, error) { return nil, errDisk }
		r.overflow.shut()
		r.openAgain()
	})
	shows(t, r, "svc.backlog.shut=1")
	for dest := range 2 {
		a := give(t, r, given{id: "m", dest: 7 + dest})[0]
		want(t, "answer while it is shut", a.status, 503)
	}
	inLoop(t, r, func() { openStore = open })
	shows(t, r, "svc.backlog.shut=0")
	p.publish(2, true, ps.cell(7, true), ps.cell(8, true))
	ps.once(t, ids...)
}
