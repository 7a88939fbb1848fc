package estate

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"larchrouter/internal/estate/state"
)

// begin takes an estate up, in a goroutine of its own: its holders may take long to answer.
func (o *Owner) begin(ctx context.Context, e *state.Estate, before string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.begins[e.ID] >= e.Epoch && o.begins[e.ID] != 0 || o.streams[e.ID] != nil {
		return
	}
	o.begins[e.ID] = e.Epoch
	est := *e
	o.done.Go(func() {
		fctx, cancel := context.WithCancel(ctx)
		defer cancel()
		found, err := Find(fctx, o.Client, Promise{Estate: est.ID, Epoch: est.Epoch, Writer: o.Instance, Before: before}, est.Sets())
		var sealed *state.Sealed
		if errors.As(err, &sealed) {
			slog.Warn("an estate is another's", "estate", est.ID, "epoch", sealed.Epoch, "remedy", sealed.Remedy())
			o.lose(est.ID)
			return
		}
		if err != nil {
			return
		}
		s := o.Books.Begin(est, found)
		o.mu.Lock()
		defer o.mu.Unlock()
		if s == nil {
			time.AfterFunc(askEvery, func() { // no room, say: once more
				o.mu.Lock()
				defer o.mu.Unlock()
				delete(o.begins, est.ID)
			})
			return
		}
		if ctx.Err() != nil {
			s.Close()
			return
		}
		o.streams[est.ID] = s
		s.Set(est.Epoch, est.Copies, est.Holders)
	})
}

// mind keeps a stream's holders as the keepers have them, and asks for others where some fail.
func (o *Owner) mind(ctx context.Context, e *state.Estate, s *Stream) {
	now := s.Standing()
	if e.Epoch > now.Epoch {
		if o.Books.Mark(*e) {
			slog.Info("an estate has another epoch", "estate", e.ID, "epoch", e.Epoch, "holders", e.Holders, "sets_before", len(e.Before))
			s.Set(e.Epoch, e.Copies, e.Holders)
		}
		return
	}
	word := state.Word{ID: e.ID, Epoch: e.Epoch, Instance: e.Writer}
	switch {
	case now.Filled && len(e.Before) > 0 && now.Epoch == e.Epoch:
		o.say(ctx, state.Event{Filled: &word})
	case !e.Main && o.Books.Empty(e.ID):
		if o.say(ctx, state.Event{Close: &word}) {
			s.Close()
			Drop(ctx, o.Client, Promise{Estate: e.ID, Epoch: e.Epoch, Writer: e.Writer}, e.Sets())
			o.lose(e.ID)
		}
	case (len(now.Gone) > 0 || now.Holders <= e.Copies) && o.due():
		slog.Info("other holders are asked for", "estate", e.ID, "epoch", e.Epoch, "gone", now.Gone, "holders", now.Holders)
		o.say(ctx, state.Event{Replace: &state.Replace{Word: word, Gone: now.Gone}})
	}
}

// Seal takes in that another writes an estate.
func (o *Owner) Seal(id uint64) {
	o.mu.Lock()
	delete(o.heard, id)
	o.mu.Unlock()
	o.lose(id)
}

// lose gives an estate up.
func (o *Owner) lose(id uint64) {
	o.mu.Lock()
	s := o.streams[id]
	delete(o.streams, id)
	delete(o.begins, id)
	o.mu.Unlock()
	if s != nil {
		s.Close()
	}
	o.Books.Lost(id)
}
