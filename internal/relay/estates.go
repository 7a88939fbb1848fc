package relay

import (
	"context"
	"log/slog"
	"maps"
	"slices"

	"larchrouter/choice"
	"larchrouter/internal/estate"
	"larchrouter/internal/estate/state"
	"larchrouter/internal/journal"
)

// ownBooks is the relay as estate.Owner sees it: each call is done by the loop.
type ownBooks Relay

// done has the loop do something, and tells whether it did.
func (b *ownBooks) done(f func(*Relay)) bool {
	r := (*Relay)(b)
	over := make(chan struct{})
	r.post(func() { f(r); close(over) })
	select {
	case <-over:
		return true
	case <-r.quit:
		return false
	}
}

// Known are the estates that the folder tells of.
func (b *ownBooks) Known() (all []state.Estate) {
	b.done(func(r *Relay) {
		for _, m := range r.journal.GroupStates() {
			e := state.Estate{ID: m.Group, Name: m.Name, Epoch: m.Epoch, Owner: r.conf.Name, Writer: m.Writer, Main: m.Main, Copies: m.Copies}
			if len(m.Sets) > 0 {
				e.Holders, e.Before = m.Sets[0].Holders, m.Sets[1:]
			}
			if r.copies.streams[m.Group] == nil {
				all = append(all, e)
			}
		}
	})
	return all
}

// Mark notes an estate's sets of holders.
func (b *ownBooks) Mark(e state.Estate) (ok bool) {
	b.done(func(r *Relay) {
		s := r.copies.streams[e.ID]
		if s == nil || r.heir != nil {
			return
		}
		if err := r.markEstate(e, s.Next()); err != nil {
			slog.Error("an estate's holders are not noted", "estate", e.ID, "err", err)
			return
		}
		s.estate, ok = e, true
	})
	return ok
}

func (r *Relay) markEstate(e state.Estate, next uint64) error {
	return r.journal.Append(journal.Record{Op: journal.OpGroupState, GroupState: &journal.GroupState{Group: e.ID, Name: e.Name, Main: e.Main, Copies: e.Copies, Sets: e.Sets(),
		Copy: state.Copy{Epoch: e.Epoch, Writer: e.Writer, From: e.Writer, Have: e.Epoch, Next: next}}})
}

// Begin has an estate written by this process.
func (b *ownBooks) Begin(e state.Estate, found *estate.Found) (s *estate.Stream) {
	b.done(func(r *Relay) {
		if r.heir != nil || r.stopped || r.copies.streams[e.ID] != nil {
			return
		}
		e.Writer = r.kept.Instance
		var err error
		if s, err = r.beginEstate(e, found); err != nil {
			slog.Error("an estate is not taken up", "estate", e.ID, "err", err)
		}
	})
	return s
}

// beginEstate takes up the folder's word on an estate, or what was found at holders if that is newer.
func (r *Relay) beginEstate(e state.Estate, found *estate.Found) (*estate.Stream, error) {
	own, known := r.journal.GroupState(e.ID)
	next := max(own.Next, 1)
	theirs := found != nil && (!known || r.journal.Damaged() || found.Newer(own.Copy))
	if theirs {
		next = max(next, found.Next)
		if err := r.journal.Append(r.journal.RecordsToForget(e.ID)...); err != nil {
			return nil, err
		}
		var recs []journal.Record
		for _, rec := range found.Records {
			if rec.Op == journal.OpAccepted && rec.Entry != nil && rec.Entry.Group == e.ID && r.journal.Entry(rec.Entry.ID) == nil {
				recs = append(recs, rec)
			}
		}
		if err := r.journal.Append(recs...); err != nil {
			return nil, err
		}
	}
	if err := r.markEstate(e, next); err != nil {
		return nil, err
	}
	s := r.newStream(e, next)
	heir := e.Name != r.conf.Name || !e.Main
	n := 0
	for m := range r.journal.All() {
		if m.Group == e.ID {
			n++
			r.takeUp(m, theirs || heir) // what its owner before has out is not known
		}
	}
	if theirs {
		r.toldWaits(found.Records)
	}
	from := "its folder"
	if theirs {
		from = found.Holder
	}
	slog.Info("estate taken up", "estate", e.ID, "of", e.Name, "epoch", e.Epoch, "inherited", heir, "from", from, "messages", n)
	return s.Stream, nil
}

// newStream has an estate's records go to its holders from now on.
func (r *Relay) newStream(e state.Estate, next uint64) *stream {
	c := r.copies
	s := &stream{estate: e, short: max(1, r.now())}
	s.Stream = estate.NewStream(e.ID, e.Writer, next, c.client, func(ctx context.Context) (recs []journal.Record, next uint64, ok bool) {
		ok = (*ownBooks)(r).done(func(r *Relay) { recs, next = r.journal.GroupRecords(e.ID), s.Next() })
		return recs, next, ok && ctx.Err() == nil
	}, r.news, func(*state.Sealed) { c.owner.Seal(e.ID) })
	s.BatchMost = min(s.BatchMost, int(journal.CopyBatchBytes(r.conf.copyBudget())))
	c.streams[e.ID] = s
	if e.Main {
		c.main = e.ID
	}
	r.lookSoon()
	return s
}

// Lost has an estate be another's.
func (b *ownBooks) Lost(id uint64) {
	b.done(func(r *Relay) {
		c := r.copies
		s := c.streams[id]
		delete(c.streams, id)
		if c.main == id {
			c.main = 0
		}
		if r.heir != nil {
			return
		}
		ids := map[string]bool{}
		for e := range r.journal.All() {
			if e.Group == id {
				ids[e.ID] = true
			}
		}
		if s == nil && len(ids) == 0 {
			return
		}
		for id := range ids {
			if m := r.held[id]; m != nil {
				r.events = append(r.events, choice.Withdrawn{ID: id})
				m.over, m.gone = true, true
				delete(r.held, id)
				if m.fresh != nil {
					r.answerUncounted(m)
				}
			}
		}
		r.records = slices.DeleteFunc(r.records, func(rec journal.Record) bool { return ids[rec.ID] })
		old := len(r.untold)
		r.untold = slices.DeleteFunc(r.untold, func(n notice) bool { return ids[n.ID] })
		r.owed -= old - len(r.untold)
		if s != nil {
			s.gates.Drop()
		}
		if err := r.journal.Append(r.journal.RecordsToForget(id)...); err != nil {
			slog.Error("what is another's stays in the folder", "estate", id, "err", err)
		}
		slog.Warn("estate is another's", "estate", id, "messages", len(ids))
		r.figures.copied(r.standing())
	})
}

// Empty tells whether nothing is left of an estate.
func (b *ownBooks) Empty(id uint64) (empty bool) {
	b.done(func(r *Relay) {
		s := r.copies.streams[id]
		empty = s != nil && s.gates.Len() == 0 && len(r.records) == 0
		for e := range r.journal.All() {
			empty = empty && e.Group != id
		}
	})
	return empty
}

// adoptEstates goes on with the estates that the process before this one wrote, as the same writer: it has handed over.
func (r *Relay) adoptEstates(writer string) {
	c := r.copies
	marks := r.journal.GroupStates()
	for _, id := range slices.Sorted(maps.Keys(marks)) {
		m := marks[id]
		if writer == "" || m.Writer != writer {
			continue
		}
		e := state.Estate{ID: id, Name: m.Name, Epoch: m.Epoch, Owner: r.conf.Name, Writer: writer, Main: m.Main, Copies: m.Copies}
		if len(m.Sets) > 0 {
			e.Holders, e.Before = m.Sets[0].Holders, m.Sets[1:]
		}
		s := r.newStream(e, max(1, m.Next))
		s.Set(e.Epoch, e.Copies, e.Holders)
		c.owner.Adopt(s.Stream)
	}
}
