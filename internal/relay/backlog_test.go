package relay

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/backlog"
	"larchrouter/internal/backlog/state"
	"larchrouter/internal/discovery"
)

// Guards against one destination that is down for long and fills the room of others, and against what waited for it being
// lost, doubled or mixed up as it is back.
func TestOneDownWhileOthersAreServed(t *testing.T) {
	ps := newPartners(t)
	p := newPlatform(t, ps.cell(7, false), ps.cell(8, true))
	r, _ := startKeeping(t, p, keeping{})
	ids := promised(t, r, many(300, 7, "down", given{})...)
	held, disk := counts(t, r)
	if held > 8 || held+disk != 300 {
		t.Fatalf("the decisions have %d, the disk %d, of 300 and a window of 8", held, disk)
	}
	shows(t, r, "svc.in_flight=300", fmt.Sprintf("svc.backlog.messages=%d", disk))
	for n := range 5 {
		ids := promised(t, r, many(40, 8, fmt.Sprint("up", n), given{})...)
		ps.await(t, (n+1)*len(ids))
	}
	if _, now := counts(t, r); now < disk {
		t.Errorf("%d came in for a destination that takes nothing", disk-now)
	}
	ps.mu.Lock()
	ps.got = nil
	ps.mu.Unlock()
	p.publish(2, true, ps.cell(7, true), ps.cell(8, true))
	ps.once(t, ids...)
	shows(t, r, "svc.in_flight=0", "svc.backlog.messages=0")
}

// Guards against thousands of destinations that are down, each with a little, and that together keep out one that is well; and
// against a return of all at once in which something is lost or doubled.
func TestThousandsDownAtOnceAndBack(t *testing.T) {
	const dests = 1000
	ps := newPartners(t)
	all := []discovery.Server{ps.cell(9000, true)}
	for d := range dests {
		all = append(all, ps.cell(d, false))
	}
	p := newPlatform(t, all...)
	r, _ := startKeeping(t, p, keeping{window: state.Load{Messages: 64, Bytes: 1 << 20}})
	var gs []given
	for n := range 3 {
		for d := range dests {
			gs = append(gs, given{id: fmt.Sprintf("d%d.%d", d, n), dest: d})
		}
	}
	ids := promised(t, r, gs...)
	held, disk := counts(t, r)
	if held > dests+64 || held+disk != len(ids) {
		t.Fatalf("the decisions have %d, the disk %d, of %d", held, disk, len(ids))
	}
	up := promised(t, r, many(200, 9000, "up", given{})...)
	ps.once(t, up...)
	ps.mu.Lock()
	ps.got = nil
	ps.mu.Unlock()
	for i := range all {
		all[i].State = "active"
	}
	p.publish(2, true, all...)
	ps.once(t, ids...)
}

// Guards against messages on disk whose time runs out unanswered, or is answered twice; and against thousands that do so at
// once and stop what can still be served.
func TestManyOutOfTimeAtOnce(t *testing.T) {
	ps := newPartners(t)
	p := newPlatform(t, ps.cell(7, false), ps.cell(8, true))
	p.notices = make(chan notice, 10000)
	r, _ := startKeeping(t, p, keeping{})
	stay := promised(t, r, many(10, 7, "stay", given{})...) // so that nothing comes in for want of room
	ids := promised(t, r, many(4000, 7, "late", given{left: 3 * time.Second})...)
	up := promised(t, r, many(50, 8, "up", given{})...)
	ends := p.ends(t, 1)
	up = append(up, promised(t, r, many(50, 8, "more", given{})...)...)
	ps.once(t, up...)
	for id, status := range p.ends(t, len(ids)-1) {
		ends[id] = status
	}
	for _, id := range ids {
		if ends[id] != deferred {
			t.Fatalf("%s ended as %q", id, ends[id])
		}
	}
	shows(t, r, fmt.Sprintf("svc.in_flight=%d", len(stay)))
	want(t, "further notices", len(p.notices), 0)
}

// Guards against a message that is put a second time, or lost, as its client comes again; and against one whose client left
// unanswered that stays.
func TestRepeatsAndWithdrawalsOnDisk(t *testing.T) {
	r, f, ps, p, ids := startFaulty(t, "status-update")
	last := ids[len(ids)-1]
	promised(t, r, given{id: last, dest: 7}, given{id: last, dest: 7})
	promised(t, r, given{id: "twice", dest: 7}, given{id: "twice", dest: 7}) // of one turn, as likely as not
	ids = append(ids, "twice")
	shows(t, r, "svc.in_flight=31")
	leave := func(id string) int {
		req := httptest.NewRequest("POST", "/api", strings.NewReader("body of "+id))
		for k, v := range map[string]string{"X-Request-Id": id, "X-Class": "status-update", "X-Deadline-Ms": "60000", "X-Addressing": "dest=7"} {
			req.Header.Set(k, v)
		}
		gone := &leaver{Context: t.Context()}
		gone.there.Store(1)
		w, done := httptest.NewRecorder(), make(chan bool)
		go func() { r.serveAPI(w, req.WithContext(gone)); close(done) }()
		wait(t, done, "answer")
		return w.Code
	}
	want(t, "a client that leaves", leave("left"), 503)
	shows(t, r, "svc.in_flight=31")
	leave(last) // it came twice before: it goes on
	shows(t, r, "svc.in_flight=31")
	inLoop(t, r, func() { f.out = errDisk })
	want(t, "a client that leaves what cannot be taken out", leave("stays"), 202)
	inLoop(t, r, func() { f.out, f.find = nil, errDisk })
	want(t, "while nothing can be found", give(t, r, given{id: last, dest: 7})[0].status, 503)
	inLoop(t, r, func() { f.find = nil })
	p.publish(2, true, ps.cell(7, true), ps.cell(8, true))
	ps.once(t, append(ids, "stays")...)
	promised(t, r, given{id: last, dest: 7}) // over by now
	shows(t, r, "svc.in_flight=0")
	want(t, "messages that came", len(ps.await(t, 32)), 32)
}

// Guards against a message in doubt that is sent as if it were new where a second time does harm; and against one that cannot
// be read and has no end.
func TestDoubtAndDamage(t *testing.T) {
	for class, status := range map[string]string{"payment": undeliverable, "job-order": undeliverable, "status-update": ""} {
		r, f, ps, p, ids := startFaulty(t, class)
		held, _ := counts(t, r)
		inLoop(t, r, func() { f.doubt = true })
		if status == "" {
			inLoop(t, r, func() {
				f.store.Put(backlog.Message{ID: "strange", Dest: 7, Due: time.Now().Add(time.Minute).UnixMilli(), Data: []byte{99}})
			})
		}
		p.publish(2, true, ps.cell(7, true), ps.cell(8, true))
		if status == "" {
			ps.once(t, ids...)
			want(t, "end of one that cannot be read", p.ends(t, 1)["strange"], undeliverable)
		} else {
			ps.once(t, ids[:held]...)
			for id, got := range p.ends(t, len(ids)-held) {
				want(t, class+" "+id+" ends", got, status)
			}
		}
		shows(t, r, "svc.in_flight=0")
	}
}

// Guards against a message that never goes for its size: it is larger than all of the window.
func TestAMessageLargerThanTheWindow(t *testing.T) {
	ps := newPartners(t)
	p := newPlatform(t, ps.cell(7, false))
	r, _ := startKeeping(t, p, keeping{window: state.Load{Messages: 4, Bytes: 8 << 10}})
	var all []given
	for i := range 6 {
		id := fmt.Sprint("m.", i)
		all = append(all, given{id: id, dest: 7, body: strings.Repeat("x", 60<<10)})
	}
	promised(t, r, all...)
	held, _ := counts(t, r)
	want(t, "held by the decisions", held, 1)
	p.publish(2, true, ps.cell(7, true))
	ps.await(t, 6)
	shows(t, r, "svc.in_flight=0")
	for id, body := range ps.body {
		want(t, "length of "+id, len(body), 60<<10)
	}
}
