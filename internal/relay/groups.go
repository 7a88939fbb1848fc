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

// groupRecords implements the interface by which estate.Owner uses the relay. The loop runs each call.
type groupRecords Relay

// runInLoop has the loop run a function and reports whether it did; false means that the relay is stopping.
func (b *groupRecords) runInLoop(action func(*Relay)) bool {
	r := (*Relay)(b)
	finished := make(chan struct{})
	r.post(func() { action(r); close(finished) })
	select {
	case <-finished:
		return true
	case <-r.quit:
		return false
	}
}

// Known returns the replication groups that the journal records but that no stream serves yet.
func (b *groupRecords) Known() (known []state.Estate) {
	b.runInLoop(func(r *Relay) {
		for _, mark := range r.journal.Marks() {
			group := state.Estate{ID: mark.Estate, Name: mark.Name, Epoch: mark.Epoch, Owner: r.conf.Name, Writer: mark.Writer, Main: mark.Main, Copies: mark.Copies}
			if len(mark.Sets) > 0 {
				group.Holders, group.Before = mark.Sets[0].Holders, mark.Sets[1:]
			}
			if r.replication.streams[mark.Estate] == nil {
				known = append(known, group)
			}
		}
	})
	return known
}

// Mark records a replication group's sets of replicas, and reports whether it did.
func (b *groupRecords) Mark(group state.Estate) (ok bool) {
	b.runInLoop(func(r *Relay) {
		s := r.replication.streams[group.ID]
		if s == nil || r.nextProcess != nil {
			return
		}
		if err := r.markGroup(group, s.Next()); err != nil {
			slog.Error("cannot record the replicas of a replication group", "estate", group.ID, "err", err)
			return
		}
		s.group, ok = group, true
	})
	return ok
}

func (r *Relay) markGroup(group state.Estate, next uint64) error {
	return r.journal.Append(journal.Record{Op: journal.OpMark, Mark: &journal.Mark{Estate: group.ID, Name: group.Name, Main: group.Main, Copies: group.Copies, Sets: group.Sets(),
		Copy: state.Copy{Epoch: group.Epoch, Writer: group.Writer, From: group.Writer, Have: group.Epoch, Next: next}}})
}

// Begin makes this process the writer of a replication group. It returns nil if that fails.
func (b *groupRecords) Begin(group state.Estate, found *estate.Found) (s *estate.Stream) {
	b.runInLoop(func(r *Relay) {
		if r.nextProcess != nil || r.stopped || r.replication.streams[group.ID] != nil {
			return
		}
		group.Writer = r.kept.Instance
		var err error
		if s, err = r.beginGroup(group, found); err != nil {
			slog.Error("cannot begin a replication group", "estate", group.ID, "err", err)
		}
	})
	return s
}

// beginGroup resumes a replication group from this relay's journal, or from the records found at replicas if those
// are newer.
func (r *Relay) beginGroup(group state.Estate, found *estate.Found) (*estate.Stream, error) {
	mark, marked := r.journal.Mark(group.ID)
	next := max(mark.Next, 1)
	useReplica := found != nil && (!marked || r.journal.Damaged() || found.Newer(mark.Copy))
	if useReplica {
		next = max(next, found.Next)
		if err := r.journal.Append(r.journal.Forget(group.ID)...); err != nil {
			return nil, err
		}
		var missing []journal.Record
		for _, rec := range found.Records {
			if rec.Op == journal.OpTaken && rec.Entry != nil && rec.Entry.Estate == group.ID && r.journal.Entry(rec.Entry.ID) == nil {
				missing = append(missing, rec)
			}
		}
		if err := r.journal.Append(missing...); err != nil {
			return nil, err
		}
	}
	if err := r.markGroup(group, next); err != nil {
		return nil, err
	}
	s := r.newGroupStream(group, next)
	takenOver := group.Name != r.conf.Name || !group.Main
	resumed := 0
	for entry := range r.journal.All() {
		if entry.Estate == group.ID {
			resumed++
			r.resume(entry, useReplica || takenOver) // the previous owner may have calls in flight
		}
	}
	if useReplica {
		r.applyRecordedWaits(found.Records)
	}
	source := "state directory"
	if useReplica {
		source = found.Holder
	}
	slog.Info("replication group begun", "estate", group.ID, "of", group.Name, "epoch", group.Epoch, "inherited", takenOver, "from", source, "messages", resumed)
	return s.Stream, nil
}

// newGroupStream starts sending a group's records to its replicas.
func (r *Relay) newGroupStream(group state.Estate, next uint64) *groupStream {
	c := r.replication
	s := &groupStream{group: group, shortSince: max(1, r.now())}
	s.Stream = estate.NewStream(group.ID, group.Writer, next, c.client, func(ctx context.Context) (records []journal.Record, next uint64, ok bool) {
		ok = (*groupRecords)(r).runInLoop(func(r *Relay) { records, next = r.journal.Whole(group.ID), s.Next() })
		return records, next, ok && ctx.Err() == nil
	}, r.postCommitCheck, func(*state.Sealed) { c.owner.Seal(group.ID) })
	s.BatchMost = min(s.BatchMost, int(journal.CopyBatch(r.conf.copyBudget())))
	c.streams[group.ID] = s
	if group.Main {
		c.main = group.ID
	}
	r.scheduleCommitCheck()
	return s
}

// Lost stops all work on a replication group that another relay now owns.
func (b *groupRecords) Lost(id uint64) {
	b.runInLoop(func(r *Relay) {
		c := r.replication
		s := c.streams[id]
		delete(c.streams, id)
		if c.main == id {
			c.main = 0
		}
		if r.nextProcess != nil {
			return
		}
		ids := map[string]bool{}
		for e := range r.journal.All() {
			if e.Estate == id {
				ids[e.ID] = true
			}
		}
		if s == nil && len(ids) == 0 {
			return
		}
		for id := range ids {
			if m := r.pending[id]; m != nil {
				r.events = append(r.events, choice.Withdrawn{ID: id})
				m.ended, m.transferred = true, true
				delete(r.pending, id)
				if m.unanswered != nil {
					r.answerUncommitted(m)
				}
			}
		}
		r.pendingRecords = slices.DeleteFunc(r.pendingRecords, func(rec journal.Record) bool { return ids[rec.ID] })
		countBefore := len(r.unrecordedNotices)
		r.unrecordedNotices = slices.DeleteFunc(r.unrecordedNotices, func(n notice) bool { return ids[n.ID] })
		r.pendingNotices -= countBefore - len(r.unrecordedNotices)
		if s != nil {
			s.gates.Drop()
		}
		if err := r.journal.Append(r.journal.Forget(id)...); err != nil {
			slog.Error("cannot remove a replication group of another relay from the journal", "estate", id, "err", err)
		}
		slog.Warn("replication group is owned by another relay", "estate", id, "messages", len(ids))
		r.figures.copied(r.replicationFigures())
	})
}

// Empty reports whether no message and no record of a replication group is left.
func (b *groupRecords) Empty(id uint64) (empty bool) {
	b.runInLoop(func(r *Relay) {
		s := r.replication.streams[id]
		empty = s != nil && s.gates.Len() == 0 && len(r.pendingRecords) == 0
		for e := range r.journal.All() {
			empty = empty && e.Estate != id
		}
	})
	return empty
}

// adoptGroups continues the replication groups of the previous process after a handover, as the same writer.
func (r *Relay) adoptGroups(writer string) {
	c := r.replication
	marks := r.journal.Marks()
	for _, id := range slices.Sorted(maps.Keys(marks)) {
		mark := marks[id]
		if writer == "" || mark.Writer != writer {
			continue
		}
		group := state.Estate{ID: id, Name: mark.Name, Epoch: mark.Epoch, Owner: r.conf.Name, Writer: writer, Main: mark.Main, Copies: mark.Copies}
		if len(mark.Sets) > 0 {
			group.Holders, group.Before = mark.Sets[0].Holders, mark.Sets[1:]
		}
		s := r.newGroupStream(group, max(1, mark.Next))
		s.Set(group.Epoch, group.Copies, group.Holders)
		c.owner.Adopt(s.Stream)
	}
}
