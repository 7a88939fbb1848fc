package choice

import (
	"cmp"
	"slices"
	"time"
)

// What a Step has to look at, kept as things happen: what is due, and what has changed. No decisions.

// index is what tells a Step where to look.
type index struct {
	order   chain[dest]      // as first heard of
	live    chain[dest]      // with messages waiting or out, as they came to have any
	calling []*dest          // whose units have calls out
	active  []*dest          // with messages waiting, not parked
	parked  sorted[*dest]    // by time
	ends    sorted[*message] // that wait, by the time of their final answer
	resting sorted[*line]    // with nothing queued, by the end of their rest
	spent   []*dest          // that came to have nothing waiting or out since the last Step
	touched []*dest          // to which something happened in this Step
	odd     []*dest          // that the next news of the list look at
	// turns are counted; times are of the last of them.
	turns, queued, lives, known int
	times                       []time.Duration
	excluded                    int
}

func newIndex() index {
	return index{order: chain[dest]{of: func(d *dest) *links[dest] { return &d.inOrder }},
		live: chain[dest]{of: func(d *dest) *links[dest] { return &d.inLive }},
		parked: sorted[*dest]{before: func(a, b *dest) bool { return a.until < b.until },
			place: func(d *dest) *int { return &d.place }},
		ends: sorted[*message]{before: func(a, b *message) bool { return a.until < b.until },
			place: func(m *message) *int { return &m.place }},
		resting: sorted[*line]{before: func(a, b *line) bool { return a.rest < b.rest },
			place: func(l *line) *int { return &l.place }}}
}

func byLive(a, b *dest) int { return cmp.Compare(a.life, b.life) }

// wait has a message wait for its destination, last of all.
func (c *Chooser) wait(m *message) {
	d := m.dest
	c.queued++
	m.queued = c.queued
	d.waiting.add(m)
	c.retime(m)
	if !d.inLive.in {
		c.lives++
		d.life = c.lives
		c.live.add(d)
	}
	if d.look == idle {
		d.look, c.active = active, append(c.active, d)
	}
}

// retime finds a message that waits its place among those that have an end.
func (c *Chooser) retime(m *message) {
	m.until = c.until(m)
	c.ends.put(m)
}

// unwait takes a message from those that wait.
func (c *Chooser) unwait(m *message) {
	if m.dest.waiting.drop(m); m.dest.waiting.n == 0 {
		c.touch(m.dest)
	}
	c.ends.drop(m)
	c.left(m.dest)
}

// left notes a destination that has come to have nothing waiting or out.
func (c *Chooser) left(d *dest) {
	if d.idle() {
		if c.spent = append(c.spent, d); len(d.hosts) == 0 {
			c.check(d)
		}
	}
}

func (d *dest) idle() bool { return d.waiting.n == 0 && d.out == 0 }

// settle ends the life of what has nothing waiting or out.
func (c *Chooser) settle() {
	for _, d := range c.spent {
		if d.idle() {
			c.live.drop(d)
		}
	}
	clear(c.spent)
	c.spent = c.spent[:0]
}

// line has a message wait for its turn by the order of its key.
func (c *Chooser) line(m *message) {
	l := c.lines[m.Key]
	if l == nil {
		l = &line{key: m.Key, queue: chain[message]{of: func(m *message) *links[message] { return &m.inLine }}}
		c.lines[m.Key] = l
	}
	c.resting.drop(l)
	l.queue.add(m)
}

// freeLines forgets the keys that have rested.
func (c *Chooser) freeLines() {
	for _, l := range c.resting.upTo(func(l *line) bool { return l.rest <= c.now }) {
		delete(c.lines, l.key)
	}
}

// ended takes out those that wait whose time has come, those of a destination from the last one on.
func (c *Chooser) ended() []*message {
	due := c.ends.upTo(func(m *message) bool { return m.until <= c.now })
	slices.SortFunc(due, func(a, b *message) int {
		return cmp.Or(cmp.Compare(a.dest.life, b.dest.life), cmp.Compare(b.queued, a.queued))
	})
	return due
}

// back takes a message from its call, and frees the slots of that with the last one.
func (c *Chooser) back(m *message) {
	k, h := m.call, m.call.host
	m.call, m.last = nil, h
	if k.members = remove(k.members, m); len(k.members) == 0 {
		c.busy, m.dest.out, h.out = c.busy-1, m.dest.out-1, h.out-1
		h.unit.outs = remove(h.unit.outs, k)
		c.calls(h.dest, -1)
		c.left(m.dest)
	}
}

// calls counts those out at the units of a destination.
func (c *Chooser) calls(d *dest, n int) {
	switch d.calls += n; {
	case d.calls == 1 && n > 0:
		c.calling = append(c.calling, d)
	case d.calls == 0:
		c.calling = remove(c.calling, d)
	}
}

// callers ranges over the destinations with calls out, as they came to have messages.
func (c *Chooser) callers(yield func(*dest) bool) {
	slices.SortFunc(c.calling, byLive)
	for _, d := range c.calling {
		if d.inLive.in && !yield(d) {
			return
		}
	}
}

// close ends a Step: it notes its time, and counts the endpoints avoided where something happened.
func (c *Chooser) close() {
	c.times, c.turns = append(c.times, c.now), c.turns+1
	if c.times[0] < c.now-2*lookAgain { // not in each Step: the rest is moved
		i, _ := slices.BinarySearch(c.times, c.now-lookAgain+1)
		c.times = slices.Delete(c.times, 0, i)
	}
	for _, d := range c.touched {
		n := 0
		for _, h := range d.hosts {
			if h.State != Gone && (c.out[h.Addr] || h.unit.state == suspect) {
				n++
			}
		}
		c.excluded += n - d.excluded
		d.excluded, d.touched = n, false
	}
	clear(c.touched)
	c.touched = c.touched[:0]
}

// Excluded counts the endpoints on the list that get no messages, by hand or by choice; those that
// get single trials are among them. The count is that of the last Step.
func (c *Chooser) Excluded() int { return c.excluded }

// check has the next news of the list look at a destination, also if they don't name it.
func (c *Chooser) check(d *dest) {
	if !d.checked {
		d.checked, c.odd = true, append(c.odd, d)
	}
}

// checks goes through those to check, as they were first heard of, and keeps those that a test finds to have
// to be checked again.
func (c *Chooser) checks(again func(*dest) bool) {
	slices.SortFunc(c.odd, func(a, b *dest) int { return cmp.Compare(a.number, b.number) })
	c.odd = slices.DeleteFunc(c.odd, func(d *dest) bool {
		d.checked = again(d)
		return !d.checked
	})
}
