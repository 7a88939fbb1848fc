package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/estate"
	"larchrouter/internal/estate/state"
	"larchrouter/internal/fleet"
	"larchrouter/internal/journal"
)

// The story of these tests: a relay that kept its machine told six ends 0.2 to 1.5 s too late while it was short of holders for
// 4 and 6 s. Its holders were well. Their log said "refuses (507): journal: disk budget used up": a copy has a sixteenth of a
// relay's disk, of which 128 KiB were kept free, so it was full with 19 messages of 600 bytes, while its owner took on over a
// thousand. A full copy takes no ends either, for they come behind what it has no room for. After 2 s other holders took the whole
// copy, and were full with the next message. An end that was due waited for a holder's word all that time.

// copierWith is a relay that copies to so many holders, all of them well and with as much disk as it has.
func copierWith(t *testing.T, holders int, diskMB float64) (*Relay, *stream) {
	t.Helper()
	own, err := journal.Open(t.TempDir(), int64(diskMB*copiesPart*1e6))
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{began: time.Now().Add(-time.Minute), inbox: make(chan func(), 1024), quit: make(chan struct{}), conf: Config{DiskMB: diskMB},
		books: books{journal: own, held: map[string]*message{}, notices: newNoticeSender(nil, nil, nil, nil),
			copies: &copying{conf: fleet.Config{Copies: holders - 1}, streams: map[uint64]*stream{}, begun: make(chan struct{}), client: &http.Client{}}}}
	r.kept = fleet.Open(t.TempDir(), "w", fleet.File{})
	r.dests = map[int]*waiting{7: {}}
	r.set.Store(&standing{})
	t.Cleanup(func() { close(r.quit) })
	e := state.Estate{ID: 1, Name: "r", Epoch: 1, Owner: "r", Writer: "w", Main: true, Copies: holders - 1}
	for i := range holders {
		h, err := estate.OpenHolder(t.TempDir(), int64(diskMB*copiesPart*1e6))
		if err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		h.Serve(l)
		t.Cleanup(h.Close)
		e.Holders = append(e.Holders, state.Holder{Name: fmt.Sprint("holder-", i), Addr: l.Addr().String(), Folder: h.Folder})
	}
	if err := r.markEstate(e, 1); err != nil {
		t.Fatal(err)
	}
	s := r.newStream(e, 1)
	s.Set(e.Epoch, e.Copies, e.Holders)
	t.Cleanup(s.Close)
	return r, s
}

// turns plays the loop's turns until something holds.
func (r *Relay) turns(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.After(20 * time.Second); !holds(); {
		select {
		case f := <-r.inbox:
			f()
			r.flush()
			r.takeOn()
		case <-deadline:
			t.Fatalf("it does not come about: %s", what)
		}
	}
}

// arrives has a message come in, and returns the channel of its answer.
func arrives(r *Relay, id string, body int) chan answer {
	in := &intake{ctx: context.Background(), reply: make(chan answer, 1), due: r.now() + time.Hour, entry: &journal.Entry{ID: id, Class: "c", Dest: 7,
		Due: time.Now().Add(time.Hour).UnixMilli(), Body: make([]byte, body), Terms: &choice.Terms{Class: choice.Class{Effect: choice.Safe}}}}
	r.take(in)
	r.takeOn()
	return in.reply
}

// Guards against a relay that takes on more than its holders have room for: it is refused by all of them, with what it has to
// tell of ends, though none has failed.
func TestARelayTakesOnWhatItsHoldersHaveRoomFor(t *testing.T) {
	for _, body := range []int{10, 600, 5000} {
		t.Run(fmt.Sprint(body), func(t *testing.T) {
			r, s := copierWith(t, 3, 3)
			r.turns(t, "enough holders", func() bool { return s.short == 0 })
			for round := range 3 {
				var held []string
				for i := 0; ; i++ {
					id := fmt.Sprintf("m%d-%d", round, i)
					reply := arrives(r, id, body)
					r.turns(t, "an answer", func() bool { return len(reply) > 0 })
					if a := <-reply; a.status != http.StatusAccepted {
						break
					}
					held = append(held, id)
				}
				if len(held) < 5 {
					t.Fatalf("%d messages of %d bytes are taken on", len(held), body)
				}
				r.counted()
				want(t, "records that do not count", s.gates.Len(), 0)
				want(t, "spans without enough holders", s.short, 0)
				// What is held ends, which its holders have room for in any case.
				for _, id := range held {
					r.record(journal.Record{Op: journal.OpTry, ID: id, At: time.Now().UnixMilli(), WaitMs: 100})
					r.finish(r.held[id], servedEnd)
				}
				r.flush()
				end := s.Next()
				r.turns(t, "the ends count", func() bool { return s.Standing().Counted >= end })
			}
		})
	}
}

// Guards against an end that is due and waits for a holder's word: it comes too late, and for nothing, since by then no heir may
// deliver the message any more. One that is not due yet does wait: an heir could deliver what its client hands in again.
func TestADueEndWaitsForNoHolder(t *testing.T) {
	r, _ := copier(t, fleet.Refuse)
	due := time.Now().Add(300 * time.Millisecond)
	for id, at := range map[string]time.Time{"due": due, "not due": due.Add(time.Hour)} {
		m := &message{Entry: &journal.Entry{ID: id, Class: "c", Group: 1, Due: at.UnixMilli()}}
		if err := r.bind([]journal.Record{{Op: journal.OpAccepted, Entry: m.Entry}}, 0, nil); err != nil {
			t.Fatal(err)
		}
		r.held[id] = m
		r.give(m, notice{ID: id, Status: undeliverable})
	}
	r.flush()
	r.counted()
	queued := func() int { r.notices.mu.Lock(); defer r.notices.mu.Unlock(); return len(r.notices.queue) }
	want(t, "notices before they count or are due", queued(), 0)
	r.turns(t, "a notice", func() bool { return queued() > 0 })
	if late := time.Since(due); late < 0 || late > 250*time.Millisecond {
		t.Errorf("it is told %v after its message's time", late)
	}
	want(t, "notices", queued(), 1)
	want(t, "the one that is due", r.notices.queue[0].ID, "due")
	want(t, "notices owed", r.owed, 2)
}

// Guards against an end that is told though it is not on record: a start would deliver the message. It waits to be recorded once.
func TestADueEndThatIsNotRecordedWaits(t *testing.T) {
	r, _ := copier(t, fleet.Refuse)
	m := &message{Entry: &journal.Entry{ID: "due", Class: "c", Group: 1, Due: time.Now().Add(-time.Second).UnixMilli()}}
	if err := r.bind([]journal.Record{{Op: journal.OpAccepted, Entry: m.Entry}}, 0, nil); err != nil {
		t.Fatal(err)
	}
	r.held["due"] = m
	r.give(m, notice{ID: "due", Status: undeliverable})
	r.journal.StopWriting(errors.New("the disk is full"))
	for range 3 {
		r.flush()
		r.counted()
	}
	want(t, "notices told before they are on record", len(r.notices.queue), 0)
	if err := r.journal.Compact(); err != nil { // it can be written again
		t.Fatal(err)
	}
	r.flush()
	r.counted()
	want(t, "notices told", len(r.notices.queue), 1)
	want(t, "notices owed", r.owed, 1)
}
