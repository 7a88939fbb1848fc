package relay

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/estate"
	"larchrouter/internal/estate/state"
	"larchrouter/internal/fleet"
	"larchrouter/internal/journal"
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

// replication is the replicated part of messageRecords. It belongs to the loop, except for the fields of atomic
// types, and is nil in a relay that replicates nothing.
type replication struct {
	conf           fleet.Config
	owner          *estate.Owner
	client         *http.Client
	main           uint64 // ID of the group that accepts new messages; 0 for none yet
	streams        map[uint64]*groupStream
	checkPosted    atomic.Bool // a commit check is in the loop's inbox
	checkScheduled bool        // a commit check is scheduled by a timer
	// unrecordedBytes is how many bytes of a copy the messages need that are accepted but not recorded yet.
	unrecordedBytes int64
	// uncommitted has the notices whose records are not committed yet.
	uncommitted   []*uncountedNotices
	adoptedWriter string // after an upgrade: the writer name of the previous process
	replica       atomic.Pointer[estate.Holder]
	ready         chan struct{} // closed once new messages can be replicated
}

// groupStream is a replication group that this relay writes.
type groupStream struct {
	*estate.Stream
	group      state.Estate
	gates      estate.Gates
	shortSince time.Duration // when too few replicas began to have a copy; 0 while enough do
}

// newReplication returns nil if the configuration asks for no copies.
func newReplication(conf *fleet.Config) *replication {
	if conf == nil || conf.Copies == 0 {
		return nil
	}
	return &replication{conf: *conf, streams: map[uint64]*groupStream{}, ready: make(chan struct{})}
}

// groupOf returns the ID of the replication group that a record belongs to; 0 for none.
func (r *Relay) groupOf(rec journal.Record) uint64 {
	switch rec.Op {
	case journal.OpTaken:
		return rec.Entry.Estate
	case journal.OpByHand, journal.OpWait:
		return r.replication.main
	}
	if e := r.journal.Entry(rec.ID); e != nil {
		return e.Estate
	}
	return 0
}

// bind writes records to disk and calls then(true) once they are committed, which is at once where nothing is
// replicated. It calls then(false) if they are not committed within the timeout (0 for no limit), or if their group
// becomes another relay's. then may be nil if nothing depends on the records. On an error nothing was recorded and
// then is not called.
func (r *Relay) bind(records []journal.Record, timeout time.Duration, then func(committed bool)) error {
	c := r.replication
	if c == nil {
		if err := r.journal.Append(records...); err != nil {
			return err
		}
		if then != nil {
			then(true)
		}
		return nil
	}
	byStream := map[*groupStream][]journal.Record{}
	for _, rec := range records {
		if s := c.streams[r.groupOf(rec)]; s != nil {
			byStream[s] = append(byStream[s], rec)
		}
	}
	entries := records[:len(records):len(records)]
	for s, streamRecords := range byStream {
		entries = append(entries, journal.Record{Op: journal.OpCount, Estate: s.ID, Next: s.Next() + uint64(len(streamRecords))})
	}
	if err := r.journal.Append(entries...); err != nil {
		return err
	}
	remaining, failed := len(byStream), false
	for s, streamRecords := range byStream {
		next := s.Append(then != nil, streamRecords...)
		if then == nil {
			continue
		}
		s.gates.Add(next, r.now(), timeout, func(committed bool) {
			failed = failed || !committed
			if remaining--; remaining == 0 {
				then(!failed)
			}
		})
		r.scheduleCommitCheck()
	}
	if remaining == 0 && then != nil {
		then(true)
	}
	return nil
}

// scheduleCommitCheck schedules a check for records that were not committed in time.
func (r *Relay) scheduleCommitCheck() {
	if c := r.replication; !c.checkScheduled {
		c.checkScheduled = true
		time.AfterFunc(commitTimeout/4, func() { r.post(func() { c.checkScheduled = false; r.checkCommits() }) })
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
	for _, s := range r.replication.streams {
		standing, now := s.Standing(), r.now()
		switch {
		case !standing.Short:
			if s.shortSince > 0 {
				slog.Info("enough replicas accept copies", "estate", s.ID, "epoch", standing.Epoch, "after", now-s.shortSince)
			}
			s.shortSince = 0
			if s.ID == r.replication.main {
				r.replication.markReady()
			}
		case s.shortSince == 0:
			s.shortSince = now
			slog.Warn("too few replicas accept copies", "estate", s.ID, "epoch", standing.Epoch, "holders", standing.States)
		}
		risk := r.replication.conf.Short == fleet.OwnDisk && s.shortSince > 0 && now-s.shortSince >= commitTimeout/2
		s.gates.Pass(standing.Counted, risk, now)
		checkAgain = checkAgain || s.gates.Len() > 0 || s.shortSince > 0
	}
	r.tellDue()
	if checkAgain {
		r.scheduleCommitCheck()
	}
	r.figures.copied(r.replicationFigures())
}

// accepts reports whether a new message can be replicated, or is accepted on the own disk alone because the
// configuration says so.
func (c *replication) accepts(now time.Duration) bool {
	if c == nil || c.conf.Short == fleet.OwnDisk {
		return true
	}
	s := c.streams[c.main]
	return s != nil && (s.shortSince == 0 || now-s.shortSince < commitTimeout)
}

// writer returns the name by which replicas know the writing process. It is that of the previous process if this one
// continues as the same writer.
func (c *replication) writer(instance string) string {
	for _, s := range c.streams {
		return s.group.Writer
	}
	return instance
}

// hasUncommitted reports whether a client waits for its message to be committed.
func (c *replication) hasUncommitted() bool {
	if c == nil {
		return false
	}
	for _, s := range c.streams {
		if s.gates.Len() > 0 {
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
	a, ending := withdrawnHere(m.Entry), refusedEnd
	if a.status == http.StatusInternalServerError {
		ending = failedEnd
	}
	r.figures.ended(m.Class, ending)
	m.answer(a)
}
