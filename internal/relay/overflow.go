package relay

import (
	"iter"
	"slices"
	"time"

	"larchrouter/internal/backlog"
	"larchrouter/internal/backlog/state"
	"larchrouter/internal/journal"
)

// The messages beyond the Chooser's window, which wait on disk. docs/backlog.md describes the design; backlog.go and
// backlog_load.go use what is declared here.

const (
	// maxWindowMessages, with the messages that one turn moves, stays below the limit on pending notices.
	maxWindowMessages = 4096
	// messageOverhead is how many bytes a message takes beside its body, in memory and in the journal.
	messageOverhead = 1024
	// checkAllInterval is how often all destinations are checked: capacity grows for each one as messages of others
	// end.
	checkAllInterval = 250 * time.Millisecond
	// recentlyServedPeriod is how long a destination counts as served after a delivery.
	recentlyServedPeriod = 10 * time.Second
)

// store is the backlog on disk, which package backlog implements.
type store interface {
	Put(ms ...backlog.Message) error
	Next(dest, n, bytes int) ([]backlog.StoredMessage, error)
	Due(before int64, n int) ([]backlog.StoredMessage, error)
	NextDue() (int64, bool)
	Remove(dest int, places ...uint64) error
	Find(dest int, id string) (backlog.StoredMessage, bool, error)
	DestOfKey(order string) (dest int, ok bool)
	Len() int
	LenOf(dest int) int
	Dests() iter.Seq[int]
	Bytes() int64
	TakeDamageReports() []error
	Close() error
}

// overflow is what waits outside of the Chooser's window. It belongs to the loop, and is nil in a relay without a
// backlog.
type overflow struct {
	store         store  // nil while the directory cannot be opened; nothing is accepted then
	dir           string // of the store, in the state directory
	diskBytes     int64  // limit for the store
	window        state.Window
	queued        []*message            // to be stored by the next step
	moving        []*movingMessage      // in the journal, but still on disk
	resentIDs     recentIDs             // messages sent on a second connection
	checkQueue    []int                 // destinations that may have capacity
	checkQueued   map[int]bool          // the destinations in checkQueue
	lastServed    map[int]time.Duration // when a message to a destination was last delivered
	lastCheckAll  time.Duration         // when all destinations were last checked
	readRetryAt   time.Duration         // after a failed read, the time of the next one
	removeRetryAt time.Duration         // after a failed removal, the time of the next one
	timer         *time.Timer
	moreWork      bool // there is more to do than one turn did
	fenced        bool // older versions refuse to start on the state directory
	refused       int  // messages refused because the store was full or failed
	noSpaceErrors errorThrottle
}

// movingMessage is a message on its way from disk to the Chooser.
type movingMessage struct {
	entry     *journal.Entry
	place     uint64 // sequence number on disk; 0 once it is removed from there
	submitted bool   // the Chooser has it
}

func newOverflow(dir string, diskBytes int64, windowTotal state.Load) *overflow {
	return &overflow{dir: dir, diskBytes: diskBytes, window: state.Window{Capacity: windowTotal, Alpha: 1}, checkQueued: map[int]bool{}, lastServed: map[int]time.Duration{},
		timer: time.NewTimer(0)}
}

// len returns how many messages are only on disk, or are about to be stored.
func (o *overflow) len() int {
	if o == nil || o.store == nil {
		return 0
	}
	n := o.store.Len() + len(o.queued)
	for _, m := range o.moving {
		if m.submitted && m.place > 0 {
			n--
		}
	}
	return n
}

// broken reports whether the store could not be opened, so that its content is unknown.
func (o *overflow) broken() bool { return o != nil && o.store == nil }

// closeStore closes the store.
func (o *overflow) closeStore() {
	if o != nil && o.store != nil {
		o.store.Close()
		o.store, o.moreWork = nil, false
	}
}

// tick returns the channel of the timer for the next check; nil without a backlog.
func (o *overflow) tick() <-chan time.Time {
	if o == nil {
		return nil
	}
	return o.timer.C
}

// hasMoreWork reports whether another turn should load more at once.
func (o *overflow) hasMoreWork() bool { return o != nil && o.moreWork }

// enter counts a message into the window.
func (o *overflow) enter(m *message) {
	if o != nil && m.cost == 0 {
		m.cost, m.resent = messageOverhead+len(m.Body)*4/3, m.resent || o.resentIDs.has(m.ID)
		o.window.Admit(m.Dest, m.cost)
	}
}

// leave counts a message that has ended out of the window, and queues a check of its destination.
func (o *overflow) leave(m *message, now time.Duration) {
	if o == nil || m.cost == 0 {
		return
	}
	o.window.Remove(m.Dest, m.cost, m.served, now)
	if m.cost = 0; m.served {
		o.lastServed[m.Dest] = now
	}
	o.queueCheck(m.Dest)
}

// capacityBytes returns how many bytes one turn may load of a destination that has capacity.
func (o *overflow) capacityBytes(dest int, now time.Duration) int {
	return min(maxMovedBytes, o.window.AvailableBytes(dest, now))
}

// capacity returns how many messages of a destination may be loaded. While the journal is crowded, destinations that
// were not recently served load none.
func (o *overflow) capacity(dest int, now time.Duration, crowded bool) int {
	if at, ok := o.lastServed[dest]; crowded && !(ok && now-at < recentlyServedPeriod) {
		return 0
	}
	return o.window.Available(dest, now)
}

// queueCheck queues a destination that has messages on disk to be checked for capacity.
func (o *overflow) queueCheck(dest int) {
	if !o.checkQueued[dest] && o.store != nil && o.store.LenOf(dest) > 0 {
		o.checkQueued[dest] = true
		o.checkQueue = append(o.checkQueue, dest)
	}
}

// nextCheck removes the first destination from the check queue and returns it.
func (o *overflow) nextCheck() int {
	dest := o.checkQueue[0]
	o.checkQueue = o.checkQueue[1:]
	delete(o.checkQueued, dest)
	return dest
}

// checkAll queues checks of all destinations, every checkAllInterval.
func (o *overflow) checkAll(now time.Duration) {
	if now-o.lastCheckAll < checkAllInterval {
		return
	}
	o.lastCheckAll = now
	for dest := range o.store.Dests() {
		o.queueCheck(dest)
	}
	for dest, at := range o.lastServed {
		if now-at >= recentlyServedPeriod {
			delete(o.lastServed, dest)
		}
	}
}

// mustWait reports whether a message has to wait on disk: others of its destination do, or it has no capacity.
func (o *overflow) mustWait(dest int, now time.Duration, crowded bool) bool {
	return o.store.LenOf(dest) > 0 || o.capacity(dest, now, crowded) == 0 ||
		slices.ContainsFunc(o.queued, func(m *message) bool { return m.Dest == dest })
}

// keyPendingElsewhere reports whether messages of an order key wait here for a destination other than dest.
func (o *overflow) keyPendingElsewhere(order string, dest int) bool {
	if order == "" {
		return false
	}
	at, ok := o.store.DestOfKey(order)
	return ok && at != dest || slices.ContainsFunc(o.queued, func(m *message) bool { return m.OrderKey == order && m.Dest != dest })
}
