package relay

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"larchrouter/internal/backlog"
	"larchrouter/internal/backlog/entry"
	"larchrouter/internal/journal"
	"larchrouter/internal/remedy"
	"larchrouter/internal/steady"
)

// From the disk to the decisions.

// leastWait bounds how often the loop looks at what it cannot bring in yet. lastLook has room for it.
const leastWait = 5 * time.Millisecond

// bring has messages come in from disk: those whose time is all but up, which the decisions end, and the oldest of each
// destination that has room. One turn does a bounded part of it.
func (r *Relay) bring() {
	o, now := r.overflow, r.now()
	if o == nil || r.stopped || r.heir != nil {
		return
	}
	o.more = false
	if r.draining.Load() { // what lies on disk stays there
		return
	}
	defer r.lookAgain()
	if now < o.rest {
		return
	}
	if o.store == nil {
		if err := r.openFolder(); err != nil {
			r.cannotRead("backlog not opened", err, comeBack)
			return
		}
	}
	r.handIn()
	o.sweep(now)
	left := moveMost
	if r.mayEnd() {
		hs, err := o.store.Due(steady.Now().Add(r.lastLook()).UnixMilli(), left+len(o.moved))
		if err != nil {
			r.cannotRead("backlog not read", err, comeBack)
			return
		}
		hs = slices.DeleteFunc(hs, func(h backlog.StoredMessage) bool {
			return slices.ContainsFunc(o.moved, func(m *moved) bool { return m.entry.ID == h.ID })
		})
		left -= len(hs)
		o.more = left <= 0
		if !r.move(hs) {
			return
		}
	}
	if len(o.moved) > 0 { // nothing goes off the disk: only what must end comes in
		return
	}
	for n := 0; left > 0 && n < lookMost && len(o.look) > 0; n++ {
		dest := o.next()
		room := o.room(dest, now, r.journal.NearlyFull())
		if room == 0 || o.store.LenOf(dest) == 0 {
			continue
		}
		hs, err := o.store.Next(dest, min(room, left), moveBytes)
		if err != nil {
			r.cannotRead("backlog not read", err, comeBack)
			return
		}
		left -= max(1, len(hs))
		if !r.move(hs) {
			return
		}
		if len(hs) < room { // what is left of it comes when it is its turn again
			o.lookAt(dest)
		}
	}
	o.more = o.more || len(o.look) > 0
	r.toldOfDamage()
}

// mayEnd tells whether messages on disk whose time is up may come in: taking on never waits for their notices.
func (r *Relay) mayEnd() bool {
	return r.owed < maxOwed/2 && (!r.journal.NearlyFull() || r.owed < 4*moveMost)
}

// cannotRead has the folder be left alone for a while.
func (r *Relay) cannotRead(what string, err error, rest time.Duration) {
	r.overflow.rest, r.overflow.more = r.now()+rest, false
	slog.Error(what, "err", err, "remedy", remedy.Of(err))
}

// lookAgain has the loop look again in a while, and as the first message's time is up.
func (r *Relay) lookAgain() {
	o := r.overflow
	if o.store != nil && o.store.Len() == 0 && len(o.moved) == 0 {
		return
	}
	wait := sweepEach
	if o.store != nil {
		if due, ok := o.store.NextDue(); ok {
			wait = min(wait, steady.Until(due)-r.lastLook())
		}
	}
	o.timer.Reset(max(wait, o.rest-r.now(), leastWait))
}

// move records messages as taken on from disk, then has them off it.
func (r *Relay) move(hs []backlog.StoredMessage) bool {
	o := r.overflow
	var recs []journal.Record
	var fresh []*moved
	size := 0
	for i, h := range hs {
		if size += len(h.Data); i > 0 && size > moveBytes {
			o.more = true
			break
		}
		e, err := entry.Unpack(h)
		if err != nil { // without terms it ends as undeliverable
			slog.Error("message on disk cannot be read", "err", err, "remedy", remedy.Of(err))
			e = &journal.Entry{ID: h.ID, Dest: h.Dest, Due: h.Due}
		}
		known := r.journal.Entry(h.ID) != nil // then the journal has the last word
		if !known {
			recs = append(recs, journal.Record{Op: journal.OpAccepted, Entry: e})
		}
		fresh = append(fresh, &moved{entry: e, place: h.Sequence, known: known})
	}
	o.moved = append(o.moved, fresh...)
	if err := r.journal.Append(recs...); err != nil {
		o.moved = slices.DeleteFunc(o.moved, func(m *moved) bool { return slices.Contains(fresh, m) })
		if wait := comeBack; errors.Is(err, journal.ErrFull) {
			o.rest, o.more = r.now()+sweepEach/10, false
		} else {
			r.cannotRead("messages not brought in", err, wait)
		}
		return false
	}
	r.handIn()
	return true
}

// handIn gives the decisions what the journal has and the disk has no more. One that the decisions had before could end in the
// journal and come back from disk, so they wait; but not past their time: then they end as untried ones either way.
func (r *Relay) handIn() {
	o := r.overflow
	of, failed, now := map[int][]uint64{}, map[int]bool{}, r.now()
	for _, m := range o.moved {
		if failed[m.entry.Dest] = now < o.retry; m.place > 0 && now >= o.retry {
			of[m.entry.Dest] = append(of[m.entry.Dest], m.place)
		}
	}
	for dest, places := range of {
		if err := o.store.Remove(dest, places...); err != nil {
			slog.Error("messages not taken off the disk", "messages", len(places), "err", err, "remedy", remedy.Of(err))
			failed[dest], o.retry = true, now+sweepEach
		}
	}
	last := steady.Now().Add(r.lastLook()).UnixMilli()
	kept := o.moved[:0]
	for _, m := range o.moved {
		off := m.place == 0 || !failed[m.entry.Dest]
		if !m.known && (off || m.entry.Due <= last) {
			r.takeUpNow(m.entry, false)
			m.known = true
		}
		if !off {
			kept = append(kept, m)
		}
	}
	clear(o.moved[len(kept):])
	o.moved = kept
}
