package estate

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"larchrouter/internal/estate/state"
	"larchrouter/internal/remedy"
	"larchrouter/internal/steady"
)

// tie is what one holder's goroutine knows beside the Follower: what was sent to it, and its clock.
type tie struct {
	s     *Stream
	f     *state.Follower
	sent  uint64 // first record not sent yet
	again bool   // something failed: go on from what it has
	seen  bool   // it has answered, so something is known of its clock
	ahead int64  // by which its clock shows more than this one, milliseconds, at the least
	at    time.Time
	slots chan struct{}
}

// follow keeps one holder up to date until it is none any more.
func (s *Stream) follow(ctx context.Context, f *state.Follower) {
	t := &tie{s: s, f: f, slots: make(chan struct{}, underWay)}
	for pause := firstPause; ctx.Err() == nil; {
		s.mu.Lock()
		if f.Whole && f.Acked < s.first { // what it lacks is no longer kept
			f.Whole = false
		}
		whole, again, wake := f.Whole, t.again, s.wake
		s.mu.Unlock()
		switch {
		case again:
			t.drain()
			s.mu.Lock()
			t.sent, t.again = f.Acked, false
			s.mu.Unlock()
			rest(ctx, pause)
			pause = min(2*pause, longPause)
		case !whole:
			t.drain()
			if t.fill(ctx) {
				pause = firstPause
			}
		case !t.next(ctx):
			select {
			case <-wake:
			case <-ctx.Done():
			}
		default:
			pause = firstPause
		}
	}
}

func rest(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// drain waits until nothing is on its way.
func (t *tie) drain() {
	for range underWay {
		t.slots <- struct{}{}
	}
	for range underWay {
		<-t.slots
	}
}

// next sends the records that follow, and tells whether there were any.
func (t *tie) next(ctx context.Context) bool {
	s := t.s
	s.mu.Lock()
	if t.sent < t.f.Acked {
		t.sent = t.f.Acked
	}
	if t.sent < s.first || t.sent >= s.w.Next {
		behind := t.sent < s.first
		t.again = behind
		s.mu.Unlock()
		return behind
	}
	b := Batch{Estate: s.ID, Epoch: s.w.Epoch, Writer: s.writer, First: t.sent}
	for i, n := int(t.sent-s.first), 0; i < len(s.queue) && (n == 0 || n+s.sizes[i] <= s.BatchMost); i++ {
		b.Records = append(b.Records, s.queue[i].Shifted(t.ahead))
		n += s.sizes[i]
	}
	t.sent += uint64(len(b.Records))
	s.mu.Unlock()
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		return true
	}
	go func() {
		defer func() { <-t.slots }()
		t.send(ctx, b)
	}()
	return true
}

// fill sends all that there is.
func (t *tie) fill(ctx context.Context) bool {
	s := t.s
	if !t.seen {
		s.mu.Lock()
		p := Promise{Estate: s.ID, Epoch: s.w.Epoch, Writer: s.writer}
		s.mu.Unlock()
		var out Promised
		asked, back, err := call(ctx, s.client, t.f.Holder, PromisePath, p, &out, unixMilli)
		if err != nil {
			t.failed(ctx, err)
			return false
		}
		t.learn(asked, back, out.Clock)
	}
	recs, next, ok := s.whole(ctx)
	if !ok {
		rest(ctx, firstPause)
		return false
	}
	for i := range recs {
		recs[i] = recs[i].Shifted(t.ahead)
	}
	s.mu.Lock()
	epoch := s.w.Epoch
	s.mu.Unlock()
	return t.send(ctx, Batch{Estate: s.ID, Epoch: epoch, Writer: s.writer, First: next, Whole: true, Records: recs})
}

func unixMilli() int64 { return steady.UnixMilli() }

// learn takes in what a holder's clock showed: at the latest then it was as late there as as it shows, so it is ahead by so
// much at the least.
func (t *tie) learn(_, back, clock int64) {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	if ahead := clock - back; !t.seen || ahead > t.ahead || time.Since(t.at) > clockFor {
		t.ahead, t.at, t.seen = ahead, time.Now(), true
	}
}

// send makes one call, and takes its answer in.
func (t *tie) send(ctx context.Context, b Batch) bool {
	var out Taken
	asked, back, err := call(ctx, t.s.client, t.f.Holder, CopyPath, b, &out, unixMilli)
	if err != nil {
		t.failed(ctx, err)
		return false
	}
	t.learn(asked, back, out.Clock)
	s := t.s
	s.mu.Lock()
	s.w.Took(t.f, out.Next, b.Whole, s.now())
	s.trim()
	s.mu.Unlock()
	s.news()
	return true
}

// failed takes in that a holder did not take what it was sent.
func (t *tie) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s := t.s
	var sealed *state.Sealed
	var behind *state.Behind
	var forgot *Forgot
	s.mu.Lock()
	first := t.f.Failed == state.Fine
	t.again = true
	switch {
	case errors.As(err, &sealed) && sealed.Writer == s.writer:
		// It was on its way as the epoch became another: it goes once more.
		s.mu.Unlock()
		return
	case errors.As(err, &behind):
		t.f.Whole, t.f.Acked = behind.Whole, min(t.f.Acked, behind.Next)
		s.mu.Unlock()
		return
	}
	s.w.Failing(t.f, s.now(), errors.As(err, &forgot))
	shut := s.shut
	s.mu.Unlock()
	if first {
		slog.Warn("a holder takes no records", "estate", s.ID, "holder", t.f.Name, "err", err, "remedy", remedy.Of(err))
	}
	s.news()
	if sealed != nil && !shut {
		s.over(sealed)
	}
}
