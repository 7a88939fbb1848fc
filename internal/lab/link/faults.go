package link

import (
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Faults are what is wrong with one way of a link. The zero value is a sound one.
type Faults struct {
	Cut       bool          // nothing comes through; what is sent is kept until it ends, as TCP would send it again
	Refused   bool          // new connections are refused
	Reset     bool          // each connection is reset ...
	ResetAt   int64         // ... once so many further bytes have come through
	Delay     time.Duration // before anything comes through
	Spread    time.Duration // by chance as much as this longer
	Rate      int64         // bytes a second; 0 for no limit
	Loss      float64       // share of what is sent at a time that is lost; a connection is reset by it
	Resent    float64       // share of what is sent at a time that TCP has to send again ...
	ResentIn  time.Duration // ... and that comes so much later, with all behind it
	HalfOpen  bool          // the end of a connection is not told
	LateClose time.Duration // the end of a connection is told so much later
	// SilentBefore is a time: connections that came up before stay open, and nothing comes through them. Later ones are sound.
	SilentBefore time.Time
}

// with is what holds if both do.
func (f *Faults) with(g *Faults) *Faults {
	if f == nil {
		return g
	}
	both := Faults{Cut: f.Cut || g.Cut, Refused: f.Refused || g.Refused, Reset: f.Reset || g.Reset, ResetAt: f.ResetAt + g.ResetAt,
		Delay: max(f.Delay, g.Delay), Spread: max(f.Spread, g.Spread), Rate: min(f.Rate, g.Rate), Loss: max(f.Loss, g.Loss),
		Resent: max(f.Resent, g.Resent), ResentIn: max(f.ResentIn, g.ResentIn), HalfOpen: f.HalfOpen || g.HalfOpen, LateClose: max(f.LateClose, g.LateClose),
		SilentBefore: f.SilentBefore}
	if both.SilentBefore.Before(g.SilentBefore) {
		both.SilentBefore = g.SilentBefore
	}
	if f.Rate == 0 || g.Rate == 0 {
		both.Rate = max(f.Rate, g.Rate)
	}
	if f.Reset && g.Reset {
		both.ResetAt = min(f.ResetAt, g.ResetAt)
	}
	return &both
}

// way is one way of a link.
type way struct {
	faults atomic.Pointer[Faults]
	mu     sync.Mutex
	queues map[*queue]struct{}
}

func (w *way) now() *Faults {
	if f := w.faults.Load(); f != nil {
		return f
	}
	return &sound
}

var sound Faults

func (w *way) add(q *queue) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queues[q] = struct{}{}
}

func (w *way) remove(q *queue) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.queues, q)
}

func (w *way) set(f *Faults) {
	w.faults.Store(f)
	w.mu.Lock()
	all := slices.Collect(maps.Keys(w.queues))
	w.mu.Unlock()
	for _, q := range all {
		q.wake()
	}
}

// Set puts the only faults on the ways of a link; nil mends a way.
func (l *Link) Set(there, back *Faults) { l.Put("", there, back) }

// Put puts faults on the ways of a link beside those of other names, or takes those of this name away. Of two
// that are on at once both hold: the longer delay, the smaller rate.
func (l *Link) Put(name string, there, back *Faults) {
	l.mu.Lock()
	if l.on == nil {
		l.on = map[string][2]*Faults{}
	}
	l.on[name] = [2]*Faults{there, back}
	if there == nil && back == nil {
		delete(l.on, name)
	}
	var sum [2]*Faults
	for i := range sum {
		for _, f := range l.on {
			if f[i] != nil {
				sum[i] = sum[i].with(f[i])
			}
		}
	}
	l.mu.Unlock()
	l.there.set(sum[0])
	l.back.set(sum[1])
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.addr == nil || l.over:
	case l.there.now().Refused:
		l.front.Close()
		l.shut = true
	case l.shut:
		l.shut = false
		front, err := net.ListenTCP("tcp4", l.addr)
		if err != nil { // its port was taken meanwhile: the party at the other end stays away
			l.shut = true
			return
		}
		l.front = front
		go l.accept(front)
		if l.cut() {
			l.bar()
		}
	case l.cut():
		l.bar()
	default:
		backlog(l.front, backlogSize)
		l.mended.Broadcast()
	}
}

// bar has the kernel drop what asks for a connection, as a machine that is gone would: the backlog is full, and
// nothing is accepted. An Accept that waits already takes one more out. The lock is held.
func (l *Link) bar() {
	backlog(l.front, 0)
	l.bars = map[string]bool{}
	for range barsMost {
		bar, err := net.DialTimeout("tcp4", l.addr.String(), barIn)
		if err == nil {
			l.bars[bar.LocalAddr().String()] = true
			defer bar.Close() // it keeps its place in the backlog
		} else if l.parked {
			return
		}
		if !l.parked {
			l.mu.Unlock()
			time.Sleep(time.Millisecond)
			l.mu.Lock()
		}
		if !l.cut() || l.over {
			return
		}
	}
}

const (
	backlogSize = 4096
	barsMost    = 100
	barIn       = 10 * time.Millisecond
)
