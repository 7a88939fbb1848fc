package choice

import (
	"cmp"
	"slices"
	"time"
)

// What a Step has to look at, kept as things happen: what is due, and what has changed. No decisions.

// index is what tells a Step where to look.
type index struct {
	destOrder     linkedList[dest]       // as first heard of
	liveDests     linkedList[dest]       // with messages waiting or out, as they came to have any
	callingDests  []*dest                // whose units have calls out
	activeDests   []*dest                // with messages waiting, not parked
	deferredDests indexedHeap[*dest]     // by time
	byAnswerTime  indexedHeap[*message]  // that wait, by the time of their final answer
	pausedKeys    indexedHeap[*keyQueue] // with nothing queued, by the end of their rest
	maybeIdle     []*dest                // that came to have nothing waiting or out since the last Step
	changedDests  []*dest                // to which something happened in this Step
	listChecks    []*dest                // that the next news of the list look at
	// turns are counted; times are of the last of them.
	stepCount, queueCount, liveCount, destCount int
	stepTimes                                   []time.Duration
	excluded                                    int
}

func newIndex() index {
	return index{destOrder: linkedList[dest]{links: func(d *dest) *chainLinks[dest] { return &d.orderLinks }},
		liveDests: linkedList[dest]{links: func(d *dest) *chainLinks[dest] { return &d.liveLinks }},
		deferredDests: indexedHeap[*dest]{before: func(a, b *dest) bool { return a.deferredUntil < b.deferredUntil },
			index: func(d *dest) *int { return &d.heapIndex }},
		byAnswerTime: indexedHeap[*message]{before: func(a, b *message) bool { return a.answerAt < b.answerAt },
			index: func(m *message) *int { return &m.heapIndex }},
		pausedKeys: indexedHeap[*keyQueue]{before: func(a, b *keyQueue) bool { return a.pauseUntil < b.pauseUntil },
			index: func(l *keyQueue) *int { return &l.heapIndex }}}
}

func compareLive(a, b *dest) int { return cmp.Compare(a.liveNumber, b.liveNumber) }

// wait has a message wait for its destination, last of all.
func (c *Chooser) enqueue(m *message) {
	d := m.dest
	c.queueCount++
	m.queueNumber = c.queueCount
	d.waiting.add(m)
	c.updateAnswerTime(m)
	if !d.liveLinks.in {
		c.liveCount++
		d.liveNumber = c.liveCount
		c.liveDests.add(d)
	}
	if d.schedule == destIdle {
		d.schedule, c.activeDests = destActive, append(c.activeDests, d)
	}
}

// retime finds a message that waits its place among those that have an end.
func (c *Chooser) updateAnswerTime(m *message) {
	m.answerAt = c.finalAnswerAt(m)
	c.byAnswerTime.update(m)
}

// unwait takes a message from those that wait.
func (c *Chooser) dequeue(m *message) {
	if m.dest.waiting.drop(m); m.dest.waiting.count == 0 {
		c.markChanged(m.dest)
	}
	c.byAnswerTime.drop(m)
	c.noteIfIdle(m.dest)
}

// left notes a destination that has come to have nothing waiting or out.
func (c *Chooser) noteIfIdle(d *dest) {
	if d.idle() {
		if c.maybeIdle = append(c.maybeIdle, d); len(d.hosts) == 0 {
			c.scheduleListCheck(d)
		}
	}
}

func (d *dest) idle() bool { return d.waiting.count == 0 && d.inFlight == 0 }

// settle ends the life of what has nothing waiting or out.
func (c *Chooser) dropIdle() {
	for _, d := range c.maybeIdle {
		if d.idle() {
			c.liveDests.drop(d)
		}
	}
	clear(c.maybeIdle)
	c.maybeIdle = c.maybeIdle[:0]
}

// line has a message wait for its turn by the order of its key.
func (c *Chooser) enqueueKey(m *message) {
	l := c.keyQueues[m.Key]
	if l == nil {
		l = &keyQueue{key: m.Key, messages: linkedList[message]{links: func(m *message) *chainLinks[message] { return &m.keyLinks }}}
		c.keyQueues[m.Key] = l
	}
	c.pausedKeys.drop(l)
	l.messages.add(m)
}

// freeLines forgets the keys that have rested.
func (c *Chooser) releaseKeys() {
	for _, l := range c.pausedKeys.popWhile(func(l *keyQueue) bool { return l.pauseUntil <= c.now }) {
		delete(c.keyQueues, l.key)
	}
}

// ended takes out those that wait whose time has come, those of a destination from the last one on.
func (c *Chooser) takeDue() []*message {
	due := c.byAnswerTime.popWhile(func(m *message) bool { return m.answerAt <= c.now })
	slices.SortFunc(due, func(a, b *message) int {
		return cmp.Or(cmp.Compare(a.dest.liveNumber, b.dest.liveNumber), cmp.Compare(b.queueNumber, a.queueNumber))
	})
	return due
}

// back takes a message from its call, and frees the slots of that with the last one.
func (c *Chooser) detachFromCall(m *message) {
	k, h := m.call, m.call.host
	m.call, m.lastHost = nil, h
	if k.messages = without(k.messages, m); len(k.messages) == 0 {
		c.inFlight, m.dest.inFlight, h.inFlight = c.inFlight-1, m.dest.inFlight-1, h.inFlight-1
		h.unit.calls = without(h.unit.calls, k)
		c.countUnitCalls(h.dest, -1)
		c.noteIfIdle(m.dest)
	}
}

// calls counts those out at the units of a destination.
func (c *Chooser) countUnitCalls(d *dest, n int) {
	switch d.unitCalls += n; {
	case d.unitCalls == 1 && n > 0:
		c.callingDests = append(c.callingDests, d)
	case d.unitCalls == 0:
		c.callingDests = without(c.callingDests, d)
	}
}

// callers ranges over the destinations with calls out, as they came to have messages.
func (c *Chooser) calledDests(yield func(*dest) bool) {
	slices.SortFunc(c.callingDests, compareLive)
	for _, d := range c.callingDests {
		if d.liveLinks.in && !yield(d) {
			return
		}
	}
}

// close ends a Step: it notes its time, and counts the endpoints avoided where something happened.
func (c *Chooser) close() {
	c.stepTimes, c.stepCount = append(c.stepTimes, c.now), c.stepCount+1
	if c.stepTimes[0] < c.now-2*recheckAfter { // not in each Step: the rest is moved
		i, _ := slices.BinarySearch(c.stepTimes, c.now-recheckAfter+1)
		c.stepTimes = slices.Delete(c.stepTimes, 0, i)
	}
	for _, d := range c.changedDests {
		n := 0
		for _, h := range d.hosts {
			if h.State != Removed && (c.disabled[h.Addr] || h.unit.state == suspect) {
				n++
			}
		}
		c.excluded += n - d.excluded
		d.excluded, d.changed = n, false
	}
	clear(c.changedDests)
	c.changedDests = c.changedDests[:0]
}

// Excluded counts the endpoints on the list that get no messages, by hand or by choice; those that
// get single trials are among them. The count is that of the last Step.
func (c *Chooser) Excluded() int { return c.excluded }

// check has the next news of the list look at a destination, also if they don't name it.
func (c *Chooser) scheduleListCheck(d *dest) {
	if !d.listCheckDue {
		d.listCheckDue, c.listChecks = true, append(c.listChecks, d)
	}
}

// checks goes through those to check, as they were first heard of, and keeps those that a test finds to have
// to be checked again.
func (c *Chooser) runListChecks(again func(*dest) bool) {
	slices.SortFunc(c.listChecks, func(a, b *dest) int { return cmp.Compare(a.knownNumber, b.knownNumber) })
	c.listChecks = slices.DeleteFunc(c.listChecks, func(d *dest) bool {
		d.listCheckDue = again(d)
		return !d.listCheckDue
	})
}
