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

// What the relay holds for others is copied to further relays, and what binds it counts only once it is there: the relay's
// part of package estate. docs/estates.md has the design.

const (
	// countIn is for a message's record to count: its client waits 400 ms for the answer.
	commitTimeout = 300 * time.Millisecond
	// freshIn is for a call to go out, from when its record was written. An heir waits as long before it tries again.
	callStartTimeout = 500 * time.Millisecond
	// copiesPart is the part of the folder's disk that is for copies of other relays' records.
	replicaDiskShare = 0.5
	// bindIn is for the fleet address to become free: in an upgrade the process before this one has it for a moment.
	fleetListenTimeout = 5 * time.Second
)

// copying is the part of the books that is copied. It belongs to the loop; nil in a relay that copies nothing.
type replication struct {
	conf            fleet.Config
	owner           *estate.Owner
	client          *http.Client
	main            uint64 // estate that takes on new messages; 0 for none yet
	streams         map[uint64]*groupStream
	checkPosted     atomic.Bool // the loop is to look at what counts
	checkScheduled  bool        // and will do so in a while
	unrecordedBytes int64       // bytes of a copy that messages take which are not on record yet
	// uncounted are notices that wait for their records to count.
	uncommitted   []*uncountedNotices
	adoptedWriter string // writer that the process before this one was, in an upgrade
	replica       atomic.Pointer[estate.Holder]
	ready         chan struct{} // closed once new messages can be copied
}

// stream is one estate that this relay writes.
type groupStream struct {
	*estate.Stream
	group      state.Estate
	gates      estate.Gates
	shortSince time.Duration // since when too few holders have a copy; 0 while they do
}

// newCopying is nil where the configuration asks for no copies.
func newReplication(conf *fleet.Config) *replication {
	if conf == nil || conf.Copies == 0 {
		return nil
	}
	return &replication{conf: *conf, streams: map[uint64]*groupStream{}, ready: make(chan struct{})}
}

// estateOf is the estate that a record belongs to.
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

// bind puts records on disk, and has something done once they count: at once where nothing is copied. On an error nothing
// was recorded. Records that need not count before anything else go without it.
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
	all := records[:len(records):len(records)]
	for s, streamRecords := range byStream {
		all = append(all, journal.Record{Op: journal.OpCount, Estate: s.ID, Next: s.Next() + uint64(len(streamRecords))})
	}
	if err := r.journal.Append(all...); err != nil {
		return err
	}
	left, failed := len(byStream), false
	for s, streamRecords := range byStream {
		next := s.Append(then != nil, streamRecords...)
		if then == nil {
			continue
		}
		s.gates.Add(next, r.now(), timeout, func(committed bool) {
			failed = failed || !committed
			if left--; left == 0 {
				then(!failed)
			}
		})
		r.scheduleCommitCheck()
	}
	if left == 0 && then != nil {
		then(true)
	}
	return nil
}

// lookSoon has the loop look at gates that may have to be given up.
func (r *Relay) scheduleCommitCheck() {
	if c := r.replication; !c.checkScheduled {
		c.checkScheduled = true
		time.AfterFunc(commitTimeout/4, func() { r.post(func() { c.checkScheduled = false; r.checkCommits() }) })
	}
}

// news has the loop look at what counts. It is called by whoever hears from holders.
func (r *Relay) postCommitCheck() {
	if r.replication.checkPosted.CompareAndSwap(false, true) {
		r.post(func() { r.replication.checkPosted.Store(false); r.checkCommits() })
	}
}

// counted does what waited for records that count by now, and gives up what waited too long.
func (r *Relay) checkCommits() {
	checkAgain := false
	for _, s := range r.replication.streams {
		standing, now := s.Standing(), r.now()
		switch {
		case !standing.Short:
			if s.shortSince > 0 {
				slog.Info("enough holders take copies", "estate", s.ID, "epoch", standing.Epoch, "after", now-s.shortSince)
			}
			s.shortSince = 0
			if s.ID == r.replication.main {
				r.replication.markReady()
			}
		case s.shortSince == 0:
			s.shortSince = now
			slog.Warn("too few holders take copies", "estate", s.ID, "epoch", standing.Epoch, "holders", standing.States)
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

// takes tells whether a new message can be copied, or goes on the own disk as configured.
func (c *replication) accepts(now time.Duration) bool {
	if c == nil || c.conf.Short == fleet.OwnDisk {
		return true
	}
	s := c.streams[c.main]
	return s != nil && (s.shortSince == 0 || now-s.shortSince < commitTimeout)
}

// writer is the name by which holders know who writes; that of the process before, where it goes on as that.
func (c *replication) writer(instance string) string {
	for _, s := range c.streams {
		return s.group.Writer
	}
	return instance
}

// waiting tells whether a client waits for its message to count.
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

// uncounted ends a message whose record did not count in time. A holder that cannot be reached may have it all the same,
// and an heir deliver it: where that must not happen twice its client is not told that it may come again.
func (r *Relay) endUncommitted(m *message) {
	if m.ended {
		return
	}
	r.events = append(r.events, choice.Withdrawn{ID: m.ID})
	r.record(journal.Record{Op: journal.OpEnd, ID: m.ID})
	r.release(m)
	r.answerUncommitted(m)
}

// answerUncounted answers the client of a message that does not count and has ended here.
func (r *Relay) answerUncommitted(m *message) {
	a, ending := withdrawnHere(m.Entry), refusedEnd
	if a.status == http.StatusInternalServerError {
		ending = failedEnd
	}
	r.figures.ended(m.Class, ending)
	m.answer(a)
}
