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
	countIn = 300 * time.Millisecond
	// freshIn is for a call to go out, from when its record was written. An heir waits as long before it tries again.
	freshIn = 500 * time.Millisecond
	// copiesPart is the part of the folder's disk that is for copies of other relays' records.
	copiesPart = 0.5
	// bindIn is for the fleet address to become free: in an upgrade the process before this one has it for a moment.
	bindIn = 5 * time.Second
)

// copying is the part of the books that is copied. It belongs to the loop; nil in a relay that copies nothing.
type copying struct {
	conf    fleet.Config
	owner   *estate.Owner
	client  *http.Client
	main    uint64 // estate that takes on new messages; 0 for none yet
	streams map[uint64]*stream
	poked   atomic.Bool // the loop is to look at what counts
	looks   bool        // and will do so in a while
	fresh   int64       // bytes of a copy that messages take which are not on record yet
	// uncounted are notices that wait for their records to count.
	uncounted []*uncountedNotices
	adopted   string // writer that the process before this one was, in an upgrade
	holder    atomic.Pointer[estate.Holder]
	begun     chan struct{} // closed once new messages can be copied
}

// stream is one estate that this relay writes.
type stream struct {
	*estate.Stream
	estate state.Estate
	gates  estate.Gates
	short  time.Duration // since when too few holders have a copy; 0 while they do
}

// newCopying is nil where the configuration asks for no copies.
func newCopying(conf *fleet.Config) *copying {
	if conf == nil || conf.Copies == 0 {
		return nil
	}
	return &copying{conf: *conf, streams: map[uint64]*stream{}, begun: make(chan struct{})}
}

// estateOf is the estate that a record belongs to.
func (r *Relay) estateOf(rec journal.Record) uint64 {
	switch rec.Op {
	case journal.OpAccepted:
		return rec.Entry.Group
	case journal.OpDisabled, journal.OpRetryAfter:
		return r.copies.main
	}
	if e := r.journal.Entry(rec.ID); e != nil {
		return e.Group
	}
	return 0
}

// bind puts records on disk, and has something done once they count: at once where nothing is copied. On an error nothing
// was recorded. Records that need not count before anything else go without it.
func (r *Relay) bind(recs []journal.Record, most time.Duration, then func(counts bool)) error {
	c := r.copies
	if c == nil {
		if err := r.journal.Append(recs...); err != nil {
			return err
		}
		if then != nil {
			then(true)
		}
		return nil
	}
	of := map[*stream][]journal.Record{}
	for _, rec := range recs {
		if s := c.streams[r.estateOf(rec)]; s != nil {
			of[s] = append(of[s], rec)
		}
	}
	all := recs[:len(recs):len(recs)]
	for s, own := range of {
		all = append(all, journal.Record{Op: journal.OpGroupNext, Group: s.ID, NextRecord: s.Next() + uint64(len(own))})
	}
	if err := r.journal.Append(all...); err != nil {
		return err
	}
	left, failed := len(of), false
	for s, own := range of {
		next := s.Append(then != nil, own...)
		if then == nil {
			continue
		}
		s.gates.Add(next, r.now(), most, func(counts bool) {
			failed = failed || !counts
			if left--; left == 0 {
				then(!failed)
			}
		})
		r.lookSoon()
	}
	if left == 0 && then != nil {
		then(true)
	}
	return nil
}

// lookSoon has the loop look at gates that may have to be given up.
func (r *Relay) lookSoon() {
	if c := r.copies; !c.looks {
		c.looks = true
		time.AfterFunc(countIn/4, func() { r.post(func() { c.looks = false; r.counted() }) })
	}
}

// news has the loop look at what counts. It is called by whoever hears from holders.
func (r *Relay) news() {
	if r.copies.poked.CompareAndSwap(false, true) {
		r.post(func() { r.copies.poked.Store(false); r.counted() })
	}
}

// counted does what waited for records that count by now, and gives up what waited too long.
func (r *Relay) counted() {
	waits := false
	for _, s := range r.copies.streams {
		st, now := s.Standing(), r.now()
		switch {
		case !st.Short:
			if s.short > 0 {
				slog.Info("enough holders take copies", "estate", s.ID, "epoch", st.Epoch, "after", now-s.short)
			}
			s.short = 0
			if s.ID == r.copies.main {
				r.copies.begin()
			}
		case s.short == 0:
			s.short = now
			slog.Warn("too few holders take copies", "estate", s.ID, "epoch", st.Epoch, "holders", st.States)
		}
		risk := r.copies.conf.Short == fleet.OwnDisk && s.short > 0 && now-s.short >= countIn/2
		s.gates.Pass(st.Counted, risk, now)
		waits = waits || s.gates.Len() > 0 || s.short > 0
	}
	r.tellDue()
	if waits {
		r.lookSoon()
	}
	r.figures.copied(r.standing())
}

// takes tells whether a new message can be copied, or goes on the own disk as configured.
func (c *copying) takes(now time.Duration) bool {
	if c == nil || c.conf.Short == fleet.OwnDisk {
		return true
	}
	s := c.streams[c.main]
	return s != nil && (s.short == 0 || now-s.short < countIn)
}

// writer is the name by which holders know who writes; that of the process before, where it goes on as that.
func (c *copying) writer(instance string) string {
	for _, s := range c.streams {
		return s.estate.Writer
	}
	return instance
}

// waiting tells whether a client waits for its message to count.
func (c *copying) waiting() bool {
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
func (r *Relay) uncounted(m *message) {
	if m.over {
		return
	}
	r.events = append(r.events, choice.Withdrawn{ID: m.ID})
	r.record(journal.Record{Op: journal.OpEnd, ID: m.ID})
	r.release(m)
	r.answerUncounted(m)
}

// answerUncounted answers the client of a message that does not count and has ended here.
func (r *Relay) answerUncounted(m *message) {
	a, how := withdrawnHere(m.Entry), refusedEnd
	if a.status == http.StatusInternalServerError {
		how = failedEnd
	}
	r.figures.ended(m.Class, how)
	m.answer(a)
}
