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

// endWithoutRecord ends a message undelivered while the journal cannot be written.
func (g *noticeRig) endWithoutRecord(id string) {
	done := make(chan struct{})
	g.post(func() {
		defer close(done)
		e := &journal.Entry{ID: id, Class: "payment", Dest: 7, Due: time.Now().Add(time.Hour).UnixMilli()}
		if err := g.journal.Append(journal.Record{Op: journal.OpAccepted, Entry: e}); err != nil {
			g.t.Error(err)
		}
		g.journal.StopWriting(errors.New("no disk"))
		m := &message{Entry: e}
		g.pending[id] = m
		g.endWithNotice(m, notice{ID: id, Status: undeliverable})
	})
	<-done
	synctest.Wait()
}

// repair makes the journal writable again.
func (g *noticeRig) repair() {
	g.post(func() {
		if err := g.journal.Compact(); err != nil {
			g.t.Error(err)
		}
	})
}

// errorTimes is a log handler that records when errors were logged.
type errorTimes struct {
	slog.Handler
	mu    sync.Mutex
	times []time.Time
}

func (f *errorTimes) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelError
}

func (f *errorTimes) Handle(context.Context, slog.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.times = append(f.times, time.Now())
	return nil
}

// drain returns the times so far and forgets them.
func (f *errorTimes) drain() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := f.times
	f.times = nil
	return times
}

// Guards against a notice that is sent before its record is written, against an end that waits long for the next
// attempt at its record because nothing else wakes the loop, and against a number of attempts that grows with the
// events that arrive meanwhile.
func TestFailedRecordIsRetriedSoon(t *testing.T) {
	for name, iterations := range map[string]int{"nothing comes in": 0, "much comes in": 1000} {
		t.Run(name, func(t *testing.T) {
			failures := &errorTimes{Handler: slog.DiscardHandler}
			log := slog.Default()
			slog.SetDefault(slog.New(failures))
			defer slog.SetDefault(log)
			p := &memoryPlatform{}
			inNoticeRig(t, p, func(g *noticeRig) {
				g.endWithoutRecord("m")
				for range iterations {
					g.post(func() {})
					synctest.Wait()
				}
				failures.drain()
				const duration, maxGap = 10 * time.Second, 100 * time.Millisecond
				last := time.Now()
				time.Sleep(duration)
				synctest.Wait()
				attempts := failures.drain()
				for _, at := range attempts {
					if gap := at.Sub(last); gap > maxGap {
						t.Errorf("no attempt at a record for %v", gap)
					}
					last = at
				}
				if n := len(attempts); n < int(duration/maxGap) || n > int(2*duration/maxGap) {
					t.Errorf("%d attempts in %v", n, duration)
				}
				want(t, "POSTs before the record", p.postCount(), 0)
				g.repair()
				g.wantAcceptedBy(p, duration, "m")
			})
		})
	}
}
