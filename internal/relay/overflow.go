package relay

import (
	"iter"
	"slices"
	"time"

	"larchrouter/internal/backlog"
	"larchrouter/internal/backlog/state"
	"larchrouter/internal/journal"
)

// What the decisions have no room for lies on disk. docs/backlog.md has the design; backlog.go carries it out.

const (
	maxWindowMessages = 4096 // messages; with what one turn moves it stays below what can be owed
	messageOverhead   = 1024 // bytes that a message takes beside its body, in memory and in the journal
	// sweepEach is how often all destinations are looked at: room grows for each as others end.
	checkAllInterval = 250 * time.Millisecond
	// lively is for how long a destination counts as served that took a message.
	recentlyServed = 10 * time.Second
)

// store is what lies on disk; package backlog has it.
type store interface {
	Put(ms ...backlog.Message) error
	Next(dest, n, bytes int) ([]backlog.Held, error)
	Due(before int64, n int) ([]backlog.Held, error)
	NextDue() (int64, bool)
	Out(dest int, places ...uint64) error
	Find(dest int, id string) (backlog.Held, bool, error)
	Key(order string) (dest int, ok bool)
	Len() int
	LenOf(dest int) int
	Dests() iter.Seq[int]
	Bytes() int64
	Damage() []error
	Close() error
}

// overflow is what waits outside of the window of the decisions. It belongs to the loop; nil in a relay without a backlog.
type overflow struct {
	store         store  // nil while the folder cannot be opened: then nothing is taken on
	dir           string // that lasts
	diskBytes     int64  // bytes
	window        state.Window
	queued        []*message       // to be put with the next step
	moving        []*movingMessage // in the journal, and on disk still
	resentIDs     recentIDs        // ids that came on a second connection
	checkQueue    []int            // destinations that may have room
	checkQueued   map[int]bool
	lastServed    map[int]time.Duration // when a destination last took a message
	lastCheckAll  time.Duration
	readRetryAt   time.Duration // until then nothing is read: it failed
	removeRetryAt time.Duration // until then nothing is taken off: it failed
	timer         *time.Timer
	moreWork      bool // there is more to do than one turn did
	fenced        bool // older versions do not start on the folder
	refused       int  // for want of room, or as the folder failed
}

// moved is a message between disk and decisions.
type movingMessage struct {
	entry     *journal.Entry
	place     uint64 // on disk; 0 if it is off
	submitted bool   // it has been handed in
}

func newOverflow(dir string, diskBytes int64, windowTotal state.Load) *overflow {
	return &overflow{dir: dir, diskBytes: diskBytes, window: state.Window{Total: windowTotal, Alpha: 1}, checkQueued: map[int]bool{}, lastServed: map[int]time.Duration{},
		timer: time.NewTimer(0)}
}

// len is how many messages are on disk alone, or about to be.
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

// broken tells whether it is not known what lies on disk.
func (o *overflow) broken() bool { return o != nil && o.store == nil }

// shut gives the folder up.
func (o *overflow) close() {
	if o != nil && o.store != nil {
		o.store.Close()
		o.store, o.moreWork = nil, false
	}
}

// tick has the loop look again.
func (o *overflow) tick() <-chan time.Time {
	if o == nil {
		return nil
	}
	return o.timer.C
}

// unfinished tells whether there is more to do at once.
func (o *overflow) hasMoreWork() bool { return o != nil && o.moreWork }

// enter counts what the decisions get.
func (o *overflow) enter(m *message) {
	if o != nil && m.cost == 0 {
		m.cost, m.resent = messageOverhead+len(m.Body)*4/3, m.resent || o.resentIDs.has(m.ID)
		o.window.Enter(m.Dest, m.cost)
	}
}

// leave counts what has ended.
func (o *overflow) leave(m *message, now time.Duration) {
	if o == nil || m.cost == 0 {
		return
	}
	o.window.Leave(m.Dest, m.cost, m.served, now)
	if m.cost = 0; m.served {
		o.lastServed[m.Dest] = now
	}
	o.queueCheck(m.Dest)
}

// room is how many messages of a destination may come in. Once the journal is crowded those that nobody takes stay out.
func (o *overflow) capacity(dest int, now time.Duration, crowded bool) int {
	if at, ok := o.lastServed[dest]; crowded && !(ok && now-at < recentlyServed) {
		return 0
	}
	return o.window.Room(dest, now)
}

// lookAt has a destination be looked at that may have room.
func (o *overflow) queueCheck(dest int) {
	if !o.checkQueued[dest] && o.store != nil && o.store.LenOf(dest) > 0 {
		o.checkQueued[dest] = true
		o.checkQueue = append(o.checkQueue, dest)
	}
}

// next is a destination to be looked at.
func (o *overflow) nextCheck() int {
	dest := o.checkQueue[0]
	o.checkQueue = o.checkQueue[1:]
	delete(o.checkQueued, dest)
	return dest
}

// sweep looks at all destinations now and then.
func (o *overflow) checkAll(now time.Duration) {
	if now-o.lastCheckAll < checkAllInterval {
		return
	}
	o.lastCheckAll = now
	for dest := range o.store.Dests() {
		o.queueCheck(dest)
	}
	for dest, at := range o.lastServed {
		if now-at >= recentlyServed {
			delete(o.lastServed, dest)
		}
	}
}

// waits tells whether a message has to wait on disk: others of its destination do, or there is no room.
func (o *overflow) mustWait(dest int, now time.Duration, crowded bool) bool {
	return o.store.LenOf(dest) > 0 || o.capacity(dest, now, crowded) == 0 ||
		slices.ContainsFunc(o.queued, func(m *message) bool { return m.Dest == dest })
}

// keyElsewhere tells whether messages of a key wait here for another destination than this one.
func (o *overflow) keyPendingElsewhere(order string, dest int) bool {
	if order == "" {
		return false
	}
	at, ok := o.store.Key(order)
	return ok && at != dest || slices.ContainsFunc(o.queued, func(m *message) bool { return m.Order == order && m.Dest != dest })
}
