package relay

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/fleet"
	"larchrouter/internal/journal"
	"larchrouter/internal/replication"
	"larchrouter/internal/replication/state"
)

// The relay's part of replication: the records of a replication group are copied to its replicas, and a record on
// which an answer or a call depends is committed only once enough replicas have it. docs/estates.md describes the
// design.

const (
	// commitTimeout bounds how long a message's record may take to be committed. Its client waits 400 ms for the
	// answer.
	commitTimeout = 300 * time.Millisecond
	// callStartTimeout is how long after its record was written a call may still be sent. A successor waits that
	// long, too, before it tries the message again.
	callStartTimeout = 500 * time.Millisecond
	// replicaDiskShare is the fraction of the state directory's disk budget that is for copies of other relays'
	// records.
	replicaDiskShare = 0.5
	// fleetListenTimeout bounds the wait for the fleet address to become free. During an upgrade the previous process
	// still has it for a moment.
	fleetListenTimeout = 5 * time.Second
)

// replicationState is the replicated part of messageRecords. It belongs to the loop, and is nil in a relay that replicates
// nothing.
type replicationState struct {
	config         fleet.Config
	owner          *replication.Owner
	client         *http.Client
	main           uint64 // ID of the group that accepts new messages; 0 for none yet
	streams        map[uint64]*groupStream
	checkPosted    atomic.Bool // a commit check is in the loop's inbox
	checkScheduled bool        // a commit check is scheduled by a timer
	// unrecordedBytes is how many bytes of a copy the messages need that are accepted but not recorded yet.
	unrecordedBytes int64
	// uncommitted has the notices whose records are not committed yet.
	uncommitted   []*uncommittedNotices
	adoptedWriter string // after an upgrade: the writer name of the previous process
	replica       atomic.Pointer[replication.ReplicaServer]
	ready         chan struct{} // closed once new messages can be replicated
}

// groupStream is a replication group that this relay writes.
type groupStream struct {
	*replication.Stream
	group         state.Group
	commitWaiters replication.CommitWaiters
	shortSince    time.Duration // since when too few replicas have a copy; 0 while enough do
}

// newReplication returns nil if the configuration asks for no copies.
func newReplication(config *fleet.Config) *replicationState {
	if config == nil || config.Copies == 0 {
		return nil
	}
	return &replicationState{config: *config, streams: map[uint64]*groupStream{}, ready: make(chan struct{})}
}

// groupOf returns the ID of the replication group that a record belongs to; 0 for none.
func (r *Relay) groupOf(record journal.Record) uint64 {
	switch record.Op {
	case journal.OpAccepted:
		return record.Entry.Group
	case journal.OpDisabled, journal.OpRetryAfter:
		return r.replication.main
	}
	if e := r.journal.Entry(record.ID); e != nil {
		return e.Group
	}
	return 0
}

// commitRecords writes records to disk and calls onCommit(true) once they are committed, which is at once where nothing is
// replicated. It calls onCommit(false) if they are not committed within the timeout (0 for no limit), or if their group
// becomes another relay's. onCommit may be nil if nothing depends on the records. On an error nothing was recorded
// and onCommit is not called.
func (r *Relay) commitRecords(records []journal.Record, timeout time.Duration, onCommit func(committed bool)) error {
	rep := r.replication
	if rep == nil {
		if err := r.journal.Append(records...); err != nil {
			return err
		}
		if onCommit != nil {
			onCommit(true)
		}
		return nil
	}
	byStream := map[*groupStream][]journal.Record{}
	for _, record := range records {
		if stream := rep.streams[r.groupOf(record)]; stream != nil {
			byStream[stream] = append(byStream[stream], record)
		}
	}
	entries := records[:len(records):len(records)]
	for stream, streamRecords := range byStream {
		entries = append(entries, journal.Record{Op: journal.OpGroupNext, Group: stream.ID, NextRecord: stream.Next() + uint64(len(streamRecords))})
	}
	if err := r.journal.Append(entries...); err != nil {
		return err
	}
	remaining, failed := len(byStream), false
	for stream, streamRecords := range byStream {
		next := stream.Append(onCommit != nil, streamRecords...)
		if onCommit == nil {
			continue
		}
		stream.commitWaiters.Add(next, r.now(), timeout, func(committed bool) {
			failed = failed || !committed
			if remaining--; remaining == 0 {
				onCommit(!failed)
			}
		})
		r.scheduleCommitCheck()
	}
	if remaining == 0 && onCommit != nil {
		onCommit(true)
	}
	return nil
}

// scheduleCommitCheck schedules a check for records that were not committed in time.
func (r *Relay) scheduleCommitCheck() {
	if rep := r.replication; !rep.checkScheduled {
		rep.checkScheduled = true
		time.AfterFunc(commitTimeout/4, func() { r.post(func() { rep.checkScheduled = false; r.checkCommits() }) })
	}
}

// postCommitCheck has the loop check which records are committed. Any goroutine that receives from replicas calls it.
func (r *Relay) postCommitCheck() {
	if r.replication.checkPosted.CompareAndSwap(false, true) {
		r.post(func() { r.replication.checkPosted.Store(false); r.checkCommits() })
	}
}

// checkCommits runs what waited for records that are committed by now, and gives up what waited too long.
func (r *Relay) checkCommits() {
	checkAgain := false
	for _, stream := range r.replication.streams {
		status, now := stream.Status(), r.now()
		switch {
		case !status.UnderReplicated:
			if stream.shortSince > 0 {
				slog.Info("enough replicas accept copies", "estate", stream.ID, "epoch", status.Epoch, "after", now-stream.shortSince)
			}
			stream.shortSince = 0
			if stream.ID == r.replication.main {
				r.replication.markReady()
			}
		case stream.shortSince == 0:
			stream.shortSince = now
			slog.Warn("too few replicas accept copies", "estate", stream.ID, "epoch", status.Epoch, "holders", status.ReplicaStates)
		}
		useOwnDisk := r.replication.config.OnShortage == fleet.ShortageOwnDisk && stream.shortSince > 0 && now-stream.shortSince >= commitTimeout/2
		stream.commitWaiters.Release(status.Committed, useOwnDisk, now)
		checkAgain = checkAgain || stream.commitWaiters.Len() > 0 || stream.shortSince > 0
	}
	r.sendDueNotices()
	if checkAgain {
		r.scheduleCommitCheck()
	}
	r.metrics.setReplication(r.replicationFigures())
}

// accepts reports whether a new message can be replicated, or is accepted on this relay's disk alone because the
// configuration says so.
func (rep *replicationState) accepts(now time.Duration) bool {
	if rep == nil || rep.config.OnShortage == fleet.ShortageOwnDisk {
		return true
	}
	stream := rep.streams[rep.main]
	return stream != nil && (stream.shortSince == 0 || now-stream.shortSince < commitTimeout)
}

// writer returns the name by which replicas know the writing process. It is that of the previous process if this one
// continues as the same writer.
func (rep *replicationState) writer(instance string) string {
	for _, stream := range rep.streams {
		return stream.group.Writer
	}
	return instance
}

// hasUncommitted reports whether a client waits for its message to be committed.
func (rep *replicationState) hasUncommitted() bool {
	if rep == nil {
		return false
	}
	for _, stream := range rep.streams {
		if stream.commitWaiters.Len() > 0 {
			return true
		}
	}
	return false
}

// endUncommitted ends a message whose record was not committed in time. A replica that cannot be reached may have the
// record all the same, and a successor may deliver the message. Where a second delivery would do harm, the client is
// therefore not told to retry.
func (r *Relay) endUncommitted(m *message) {
	if m.ended {
		return
	}
	r.events = append(r.events, choice.Withdrawn{ID: m.ID})
	r.record(journal.Record{Op: journal.OpEnd, ID: m.ID})
	r.release(m)
	r.answerUncommitted(m)
}

// answerUncommitted answers the client of a message that has ended here without being committed.
func (r *Relay) answerUncommitted(m *message) {
	response, ending := withdrawnLocally(m.Entry), outcomeRefused
	if response.status == http.StatusInternalServerError {
		ending = outcomeFailed
	}
	r.metrics.countOutcome(m.Class, ending)
	m.answer(response)
}
