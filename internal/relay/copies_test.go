package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/estate/state"
	"larchrouter/internal/fleet"
	"larchrouter/internal/journal"
)

// copier is a relay that copies to holders of whom none answers.
func copier(t *testing.T, short string) (*Relay, *stream) {
	t.Helper()
	r := &Relay{began: time.Now().Add(-time.Minute), inbox: make(chan func(), 64), quit: make(chan struct{}),
		books: books{journal: openJournal(t), held: map[string]*message{}, notices: newNoticeSender(nil, nil, nil, nil),
			copies: &copying{conf: fleet.Config{Copies: 1, Short: short}, streams: map[uint64]*stream{}, begun: make(chan struct{}), client: http.DefaultClient}}}
	r.kept = fleet.Open(t.TempDir(), "w", fleet.File{})
	t.Cleanup(func() { close(r.quit) })
	e := state.Estate{ID: 1, Name: "r", Epoch: 1, Owner: "r", Writer: "w", Main: true, Copies: 1, Holders: []state.Holder{{Name: "gone", Addr: "127.0.0.1:1", Folder: "f"}}}
	if err := r.markEstate(e, 1); err != nil {
		t.Fatal(err)
	}
	s := r.newStream(e, 1)
	s.Set(e.Epoch, e.Copies, e.Holders)
	t.Cleanup(s.Close)
	return r, s
}

// takeOn has a message be recorded, as a step does.
func takeOn(t *testing.T, r *Relay, id string, effect choice.Effect) (*message, chan answer) {
	t.Helper()
	in := &intake{ctx: context.Background(), reply: make(chan answer, 1)}
	m := &message{Entry: &journal.Entry{ID: id, Class: "c", Group: 1, Terms: &choice.Terms{Class: choice.Class{Effect: effect}}}, fresh: []*intake{in}}
	r.held[id] = m
	if err := r.bind([]journal.Record{{Op: journal.OpAccepted, Entry: m.Entry}}, countIn, func(counts bool) {
		if counts {
			m.answer(answer{status: http.StatusAccepted})
		} else {
			r.uncounted(m)
		}
	}); err != nil {
		t.Fatal(err)
	}
	return m, in.reply
}

// Guards against a promise that no holder has: a client is told nothing until its message counts, then that it is refused, or
// where it must not run twice that nobody knows; and what was recorded of it is taken back.
func TestNothingIsPromisedWithoutCopies(t *testing.T) {
	r, _ := copier(t, fleet.Refuse)
	_, keyed := takeOn(t, r, "m1", choice.Keyed)
	_, once := takeOn(t, r, "m2", choice.Unsafe)
	r.counted()
	if len(keyed)+len(once) > 0 {
		t.Fatal("a client is answered before its message counts")
	}
	r.began = r.began.Add(-countIn) // so long later
	r.counted()
	if a := <-keyed; a.status != http.StatusServiceUnavailable || a.after <= 0 {
		t.Errorf("one that may come again: %+v", a)
	}
	if a := <-once; a.status != http.StatusInternalServerError {
		t.Errorf("one that must not run twice: %+v", a)
	}
	r.flush()
	if len(r.held) > 0 || r.journal.Len() > 0 {
		t.Errorf("%d held, %d on record", len(r.held), r.journal.Len())
	}
	if r.copies.takes(r.now()) {
		t.Error("it takes on more")
	}
	if n := r.standing(); n.short != 1 || n.atRisk != 0 {
		t.Errorf("it tells %+v", n)
	}
}

// Guards against a relay that refuses although it is to go on by its own disk, or that does so without telling.
func TestOwnDisk(t *testing.T) {
	r, _ := copier(t, fleet.OwnDisk)
	_, reply := takeOn(t, r, "m1", choice.Unsafe)
	r.counted()
	r.began = r.began.Add(-countIn)
	r.counted()
	if a := <-reply; a.status != http.StatusAccepted || !r.copies.takes(r.now()) {
		t.Errorf("answered %+v", a)
	}
	if n := r.standing(); n.short != 1 || n.atRisk != 1 {
		t.Errorf("it tells %+v, want one at risk", n)
	}
}

// Guards against a call that goes although its record does not count, or counted too late for an heir to know.
func TestCallsWaitForTheirRecord(t *testing.T) {
	r, s := copier(t, fleet.Refuse)
	m, _ := takeOn(t, r, "m1", choice.Keyed)
	for name, written := range map[string]time.Time{"not counted": time.Now(), "too late": time.Now().Add(-freshIn)} {
		r.events = nil
		c := &call{host: &host{id: "h"}, members: []*message{m}, sends: []choice.Send{{ID: "m1", Host: "h", Timeout: time.Minute}}}
		r.startCounted(c, written, name == "too late")
		if len(r.events) != 1 || r.events[0].(choice.Result).Outcome != choice.NotSent || m.call != nil {
			t.Errorf("%s: %+v", name, r.events)
		}
	}
	// What is another's is neither answered as taken on nor sent, told or ended here.
	go func() {
		for {
			select {
			case f := <-r.inbox:
				f()
			case <-r.quit:
				return
			}
		}
	}()
	(*ownBooks)(r).Lost(s.ID)
	over := make(chan struct{})
	r.post(func() {
		defer close(over)
		if !m.over || !m.gone || len(r.held) > 0 || r.journal.Len() > 0 || r.copies.main != 0 || r.copies.takes(r.now()) {
			t.Errorf("after it became another's: %+v, %d held, %d on record, main %d", m, len(r.held), r.journal.Len(), r.copies.main)
		}
	})
	<-over
}

// Guards against a client that is told to hand a message in again while holders may still have it: an heir would deliver it, too.
func TestAWithdrawalWaitsForItsCopies(t *testing.T) {
	r, _ := copier(t, fleet.Refuse)
	m, _ := takeOn(t, r, "m1", choice.Keyed)
	said := make(chan bool, 1)
	want(t, "it is withdrawn", r.withdraw(m.ID, func(counts bool) { said <- counts }), true)
	r.counted()
	want(t, "words on it before it counts", len(said), 0)
	r.began = r.began.Add(-countIn) // so long later
	r.counted()
	want(t, "it counts", wait(t, said, "word"), false)
	r.flush()
	want(t, "messages on record", r.journal.Len(), 0)
	for effect, status := range map[choice.Effect]int{choice.Keyed: http.StatusServiceUnavailable, choice.Unsafe: http.StatusInternalServerError} {
		e := &journal.Entry{Terms: &choice.Terms{Class: choice.Class{Effect: effect}}}
		want(t, "status where it does not count", withdrawnHere(e).status, status)
	}
}

// Guards against a second attempt at a message of another relay's estate right after a restart: the first, of its owner before,
// may still be out, whatever this relay's folder tells.
func TestARestartLeavesAloneWhatAnOwnerBeforeHasOut(t *testing.T) {
	for name, atOnce := range map[string]bool{"r": true, "another": false} {
		r, s := copier(t, fleet.Refuse)
		delete(r.copies.streams, s.ID)
		r.set.Store(&standing{})
		now := time.Now().UnixMilli()
		e := &journal.Entry{ID: "m1", Class: "c", Dest: 7, Group: 1, Due: now + time.Minute.Milliseconds(), Terms: &choice.Terms{Class: choice.Class{Effect: choice.Safe}}}
		if err := r.journal.Append(journal.Record{Op: journal.OpAccepted, Entry: e}, journal.Record{Op: journal.OpTry, ID: "m1", At: now, WaitMs: 30_000}); err != nil {
			t.Fatal(err)
		}
		r.conf.Name = "r"
		begun, err := r.beginEstate(state.Estate{ID: 1, Name: name, Epoch: 2, Owner: "r", Writer: "w2", Main: true, Copies: 1}, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(begun.Close)
		want(t, "messages held", len(r.held), 1)
		want(t, "estate of "+name+": the decisions have it at once", len(r.events) == 1, atOnce)
	}
}
