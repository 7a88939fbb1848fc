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
	windowMost = 4096 // messages; with what one turn moves it stays below what can be owed
	ownCost    = 1024 // bytes that a message takes beside its body, in memory and in the journal
	// sweepEach is how often all destinations are looked at: room grows for each as others end.
	sweepEach = 250 * time.Millisecond
	// lively is for how long a destination counts as served that took a message.
	lively = 10 * time.Second
)

// store is what lies on disk; package backlog has it.
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

// overflow is what waits outside of the window of the decisions. It belongs to the loop; nil in a relay without a backlog.
type overflow struct {
	store   store  // nil while the folder cannot be opened: then nothing is taken on
	dir     string // that lasts
	disk    int64  // bytes
	window  state.Window
	fresh   []*message // to be put with the next step
	moved   []*moved   // in the journal, and on disk still
	again   recent     // ids that came on a second connection
	look    []int      // destinations that may have room
	looks   map[int]bool
	served  map[int]time.Duration // when a destination last took a message
	swept   time.Duration
	rest    time.Duration // until then nothing is read: it failed
	retry   time.Duration // until then nothing is taken off: it failed
	timer   *time.Timer
	more    bool // there is more to do than one turn did
	fenced  bool // older versions do not start on the folder
	refused int  // for want of room, or as the folder failed
}

// moved is a message between disk and decisions.
type moved struct {
	entry *journal.Entry
	place uint64 // on disk; 0 if it is off
	known bool   // it has been handed in
}

func newOverflow(dir string, disk int64, total state.Load) *overflow {
	return &overflow{dir: dir, disk: disk, window: state.Window{Capacity: total, Alpha: 1}, looks: map[int]bool{}, served: map[int]time.Duration{},
		timer: time.NewTimer(0)}
}

// len is how many messages are on disk alone, or about to be.
func (o *overflow) len() int {
	if o == nil || o.store == nil {
		return 0
	}
	n := o.store.Len() + len(o.fresh)
	for _, m := range o.moved {
		if m.known && m.place > 0 {
			n--
		}
	}
	return n
}

// broken tells whether it is not known what lies on disk.
func (o *overflow) broken() bool { return o != nil && o.store == nil }

// shut gives the folder up.
func (o *overflow) shut() {
	if o != nil && o.store != nil {
		o.store.Close()
		o.store, o.more = nil, false
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
func (o *overflow) unfinished() bool { return o != nil && o.more }

// enter counts what the decisions get.
func (o *overflow) enter(m *message) {
	if o != nil && m.cost == 0 {
		m.cost, m.twice = ownCost+len(m.Body)*4/3, m.twice || o.again.has(m.ID)
		o.window.Admit(m.Dest, m.cost)
	}
}

// leave counts what has ended.
func (o *overflow) leave(m *message, now time.Duration) {
	if o == nil || m.cost == 0 {
		return
	}
	o.window.Remove(m.Dest, m.cost, m.served, now)
	if m.cost = 0; m.served {
		o.served[m.Dest] = now
	}
	o.lookAt(m.Dest)
}

// room is how many messages of a destination may come in. Once the journal is crowded those that nobody takes stay out.
func (o *overflow) room(dest int, now time.Duration, crowded bool) int {
	if at, ok := o.served[dest]; crowded && !(ok && now-at < lively) {
		return 0
	}
	return o.window.Available(dest, now)
}

// lookAt has a destination be looked at that may have room.
func (o *overflow) lookAt(dest int) {
	if !o.looks[dest] && o.store != nil && o.store.LenOf(dest) > 0 {
		o.looks[dest] = true
		o.look = append(o.look, dest)
	}
}

// next is a destination to be looked at.
func (o *overflow) next() int {
	dest := o.look[0]
	o.look = o.look[1:]
	delete(o.looks, dest)
	return dest
}

// sweep looks at all destinations now and then.
func (o *overflow) sweep(now time.Duration) {
	if now-o.swept < sweepEach {
		return
	}
	o.swept = now
	for dest := range o.store.Dests() {
		o.lookAt(dest)
	}
	for dest, at := range o.served {
		if now-at >= lively {
			delete(o.served, dest)
		}
	}
}

// waits tells whether a message has to wait on disk: others of its destination do, or there is no room.
func (o *overflow) waits(dest int, now time.Duration, crowded bool) bool {
	return o.store.LenOf(dest) > 0 || o.room(dest, now, crowded) == 0 ||
		slices.ContainsFunc(o.fresh, func(m *message) bool { return m.Dest == dest })
}

// keyElsewhere tells whether messages of a key wait here for another destination than this one.
func (o *overflow) keyElsewhere(order string, dest int) bool {
	if order == "" {
		return false
	}
	at, ok := o.store.DestOfKey(order)
	return ok && at != dest || slices.ContainsFunc(o.fresh, func(m *message) bool { return m.OrderKey == order && m.Dest != dest })
}
