package relay

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"larchrouter/internal/journal"
)

// giveUnwritten has a message end undelivered while the journal cannot be written.
func (g *noticeRig) giveUnwritten(id string) {
	done := make(chan struct{})
	g.post(func() {
		defer close(done)
		e := &journal.Entry{ID: id, Class: "payment", Dest: 7, Due: time.Now().Add(time.Hour).UnixMilli()}
		if err := g.journal.Append(journal.Record{Op: journal.OpAccepted, Entry: e}); err != nil {
			g.t.Error(err)
		}
		g.journal.StopWriting(errors.New("no disk"))
		m := &message{Entry: e}
		g.held[id] = m
		g.give(m, notice{ID: id, Status: undeliverable})
	})
	<-done
	synctest.Wait()
}

// repair lets the journal be written again.
func (g *noticeRig) repair() {
	g.post(func() {
		if err := g.journal.Compact(); err != nil {
			g.t.Error(err)
		}
	})
}

// failureTimes is when errors were logged.
type failureTimes struct {
	slog.Handler
	mu  sync.Mutex
	all []time.Time
}

func (f *failureTimes) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelError
}

func (f *failureTimes) Handle(context.Context, slog.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, time.Now())
	return nil
}

// take returns the times so far, and forgets them.
func (f *failureTimes) take() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := f.all
	f.all = nil
	return all
}

// Guards against a notice before the record of what it says; against an end that waits long for the next attempt at its record,
// with nothing else that wakes the loop; and against attempts that grow in number with all that comes in meanwhile.
func TestARecordIsTriedAgainSoon(t *testing.T) {
	for name, turns := range map[string]int{"nothing comes in": 0, "much comes in": 1000} {
		t.Run(name, func(t *testing.T) {
			failures := &failureTimes{Handler: slog.DiscardHandler}
			log := slog.Default()
			slog.SetDefault(slog.New(failures))
			defer slog.SetDefault(log)
			p := &memoryPlatform{}
			inNoticeRig(t, p, func(g *noticeRig) {
				g.giveUnwritten("m")
				for range turns {
					g.post(func() {})
					synctest.Wait()
				}
				failures.take()
				const lasts, soon = 10 * time.Second, 100 * time.Millisecond
				last := time.Now()
				time.Sleep(lasts)
				synctest.Wait()
				attempts := failures.take()
				for _, at := range attempts {
					if gap := at.Sub(last); gap > soon {
						t.Errorf("no attempt at a record for %v", gap)
					}
					last = at
				}
				if n := len(attempts); n < int(lasts/soon) || n > int(2*lasts/soon) {
					t.Errorf("%d attempts in %v", n, lasts)
				}
				want(t, "POSTs before the record", p.posted(), 0)
				g.repair()
				g.takenBy(p, lasts, "m")
			})
		})
	}
}
