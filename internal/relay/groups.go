package relay

import (
	"context"
	"log/slog"
	"maps"
	"slices"

	"larchrouter/choice"
	"larchrouter/internal/journal"
	"larchrouter/internal/replication"
	"larchrouter/internal/replication/state"
)

// groupRecords implements the interface by which replication.Owner uses the relay. The loop runs each call.
type groupRecords Relay

// runInLoop has the loop run a function and reports whether it did; false means that the relay is stopping.
func (g *groupRecords) runInLoop(action func(*Relay)) bool {
	r := (*Relay)(g)
	finished := make(chan struct{})
	r.post(func() { action(r); close(finished) })
	select {
	case <-finished:
		return true
	case <-r.quit:
		return false
	}
}

// StoredGroups returns the replication groups that the journal records but that no stream serves yet.
func (g *groupRecords) StoredGroups() (groups []state.Group) {
	g.runInLoop(func(r *Relay) {
		for _, groupState := range r.journal.GroupStates() {
			group := state.Group{ID: groupState.Group, Name: groupState.Name, Epoch: groupState.Epoch, Owner: r.config.Name, Writer: groupState.Writer, Main: groupState.Main, Copies: groupState.Copies}
			if len(groupState.Sets) > 0 {
				group.Replicas, group.EarlierSets = groupState.Sets[0].Replicas, groupState.Sets[1:]
			}
			if r.replication.streams[groupState.Group] == nil {
				groups = append(groups, group)
			}
		}
	})
	return groups
}

// RecordReplicas records a replication group's sets of replicas, and reports whether it did.
func (g *groupRecords) RecordReplicas(group state.Group) (ok bool) {
	g.runInLoop(func(r *Relay) {
		stream := r.replication.streams[group.ID]
		if stream == nil || r.nextProcess != nil {
			return
		}
		if err := r.recordGroup(group, stream.Next()); err != nil {
			slog.Error("cannot record the replicas of a replication group", "estate", group.ID, "err", err)
			return
		}
		stream.group, ok = group, true
	})
	return ok
}

// recordGroup records a replication group, its sets of replicas and the number of its next record in the journal.
func (r *Relay) recordGroup(group state.Group, next uint64) error {
	return r.journal.Append(journal.Record{Op: journal.OpGroupState, GroupState: &journal.GroupState{Group: group.ID, Name: group.Name, Main: group.Main, Copies: group.Copies, Sets: group.ReplicaSets(),
		Copy: state.Copy{Epoch: group.Epoch, Writer: group.Writer, ContentWriter: group.Writer, ContentEpoch: group.Epoch, Next: next}}})
}

// StartWriting makes this process the writer of a replication group. It returns nil if that fails.
func (g *groupRecords) StartWriting(group state.Group, found *replication.FoundCopy) (stream *replication.Stream) {
	g.runInLoop(func(r *Relay) {
		if r.nextProcess != nil || r.stopped || r.replication.streams[group.ID] != nil {
			return
		}
		group.Writer = r.fleetConfig.Instance
		var err error
		if stream, err = r.beginGroup(group, found); err != nil {
			slog.Error("cannot begin a replication group", "estate", group.ID, "err", err)
		}
	})
	return stream
}

// beginGroup resumes a replication group from this relay's journal, or from the records found at replicas if those
// are newer.
func (r *Relay) beginGroup(group state.Group, found *replication.FoundCopy) (*replication.Stream, error) {
	groupState, recorded := r.journal.GroupState(group.ID)
	next := max(groupState.Next, 1)
	useReplica := found != nil && (!recorded || r.journal.Damaged() || found.Newer(groupState.Copy))
	if useReplica {
		next = max(next, found.Next)
		if err := r.journal.Append(r.journal.RecordsToForget(group.ID)...); err != nil {
			return nil, err
		}
		var missing []journal.Record
		for _, record := range found.Records {
			if record.Op == journal.OpAccepted && record.Entry != nil && record.Entry.Group == group.ID && r.journal.Entry(record.Entry.ID) == nil {
				missing = append(missing, record)
			}
		}
		if err := r.journal.Append(missing...); err != nil {
			return nil, err
		}
	}
	if err := r.recordGroup(group, next); err != nil {
		return nil, err
	}
	stream := r.newGroupStream(group, next)
	takenOver := r.takenOver(group)
	resumed := 0
	for entry := range r.journal.All() {
		if entry.Group == group.ID {
			resumed++
			r.resume(entry, useReplica || takenOver) // the previous owner may have calls in flight
		}
	}
	if useReplica {
		r.applyRecordedWaits(found.Records)
	}
	source := "state directory"
	if useReplica {
		source = found.Replica
	}
	slog.Info("replication group begun", "estate", group.ID, "of", group.Name, "epoch", group.Epoch, "inherited", takenOver, "from", source, "messages", resumed)
	return stream.Stream, nil
}

// takenOver reports whether a replication group had another owner before this relay, or before it restarted.
func (r *Relay) takenOver(group state.Group) bool {
	return group.Name != r.config.Name || !group.Main
}

// newGroupStream starts sending a group's records to its replicas.
func (r *Relay) newGroupStream(group state.Group, next uint64) *groupStream {
	rep := r.replication
	stream := &groupStream{group: group, shortSince: max(1, r.now())}
	stream.Stream = replication.NewStream(group.ID, group.Writer, next, rep.client, func(ctx context.Context) (records []journal.Record, next uint64, ok bool) {
		ok = (*groupRecords)(r).runInLoop(func(r *Relay) { records, next = r.journal.GroupRecords(group.ID), stream.Next() })
		return records, next, ok && ctx.Err() == nil
	}, r.postCommitCheck, func(*state.FencedError) { rep.owner.Fence(group.ID) })
	stream.MaxBatchBytes = min(stream.MaxBatchBytes, int(journal.CopyBatchBytes(r.config.copyBudget())))
	rep.streams[group.ID] = stream
	if group.Main {
		rep.main = group.ID
	}
	r.scheduleCommitCheck()
	return stream
}

// OwnershipLost stops all work on a replication group that another relay now owns.
func (g *groupRecords) OwnershipLost(id uint64) {
	g.runInLoop(func(r *Relay) {
		rep := r.replication
		stream := rep.streams[id]
		delete(rep.streams, id)
		if rep.main == id {
			rep.main = 0
		}
		if r.nextProcess != nil {
			return
		}
		ids := map[string]bool{}
		for entry := range r.journal.All() {
			if entry.Group == id {
				ids[entry.ID] = true
			}
		}
		if stream == nil && len(ids) == 0 {
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
		r.pendingRecords = slices.DeleteFunc(r.pendingRecords, func(record journal.Record) bool { return ids[record.ID] })
		countBefore := len(r.unrecordedNotices)
		r.unrecordedNotices = slices.DeleteFunc(r.unrecordedNotices, func(n notice) bool { return ids[n.ID] })
		r.pendingNotices -= countBefore - len(r.unrecordedNotices)
		if stream != nil {
			stream.commitWaiters.Abort()
		}
		if err := r.journal.Append(r.journal.RecordsToForget(id)...); err != nil {
			slog.Error("cannot remove a replication group of another relay from the journal", "estate", id, "err", err)
		}
		slog.Warn("replication group is owned by another relay", "estate", id, "messages", len(ids))
		r.metrics.setReplication(r.replicationFigures())
	})
}

// IsEmpty reports whether no message and no record of a replication group is left.
func (g *groupRecords) IsEmpty(id uint64) (empty bool) {
	g.runInLoop(func(r *Relay) {
		stream := r.replication.streams[id]
		empty = stream != nil && stream.commitWaiters.Len() == 0 && len(r.pendingRecords) == 0
		for entry := range r.journal.All() {
			empty = empty && entry.Group != id
		}
	})
	return empty
}

// adoptGroups continues the replication groups of the previous process after a handover, as the same writer.
func (r *Relay) adoptGroups(writer string) {
	rep := r.replication
	groupStates := r.journal.GroupStates()
	for _, id := range slices.Sorted(maps.Keys(groupStates)) {
		groupState := groupStates[id]
		if writer == "" || groupState.Writer != writer {
			continue
		}
		group := state.Group{ID: id, Name: groupState.Name, Epoch: groupState.Epoch, Owner: r.config.Name, Writer: writer, Main: groupState.Main, Copies: groupState.Copies}
		if len(groupState.Sets) > 0 {
			group.Replicas, group.EarlierSets = groupState.Sets[0].Replicas, groupState.Sets[1:]
		}
		stream := r.newGroupStream(group, max(1, groupState.Next))
		stream.SetReplicas(group.Epoch, group.Copies, group.Replicas)
		rep.owner.AdoptStream(stream.Stream)
	}
}
