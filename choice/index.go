package choice

import (
	"cmp"
	"slices"
	"time"
)

// This file keeps track of what a Step has to check: what is due, and what has changed. It makes no
// decisions.

// index tells a Step what to check.
type index struct {
	destOrder     linkedList[dest]       // all, in the order in which they became known
	liveDests     linkedList[dest]       // with messages waiting or in flight, in the order in which they got them
	callingDests  []*dest                // with calls in flight at their units
	activeDests   []*dest                // with messages waiting, not deferred
	deferredDests indexedHeap[*dest]     // by deferredUntil
	byAnswerTime  indexedHeap[*message]  // waiting messages, by the time of their final answer
	pausedKeys    indexedHeap[*keyQueue] // without messages, by the end of their pause
	maybeIdle     []*dest                // left without messages waiting or in flight since the last Step
	changedDests  []*dest                // to which something happened in this Step
	listChecks    []*dest                // to check at the next list update
	// stepCount counts all Steps; stepTimes are the times of the last of them. The others number
	// the messages queued, the destinations added to liveDests, and all destinations known.
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
			index: func(queue *keyQueue) *int { return &queue.heapIndex }}}
}

// compareLive orders destinations as in liveDests.
func compareLive(a, b *dest) int { return cmp.Compare(a.liveNumber, b.liveNumber) }

// enqueue appends a message to those that wait for its destination.
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

// updateAnswerTime recomputes when a waiting message gets its final answer.
func (c *Chooser) updateAnswerTime(m *message) {
	m.answerAt = c.finalAnswerAt(m)
	c.byAnswerTime.update(m)
}

// dequeue removes a message from those that wait.
func (c *Chooser) dequeue(m *message) {
	if m.dest.waiting.drop(m); m.dest.waiting.count == 0 {
		c.markChanged(m.dest)
	}
	c.byAnswerTime.drop(m)
	c.markIfIdle(m.dest)
}

// markIfIdle marks a destination as idle if it has no messages waiting or in flight any more.
func (c *Chooser) markIfIdle(d *dest) {
	if d.idle() {
		if c.maybeIdle = append(c.maybeIdle, d); len(d.hosts) == 0 {
			c.scheduleListCheck(d)
		}
	}
}

// idle reports whether a destination has no messages waiting or in flight.
func (d *dest) idle() bool { return d.waiting.count == 0 && d.inFlight == 0 }

// dropIdle removes destinations from liveDests that have no messages waiting or in flight.
func (c *Chooser) dropIdle() {
	for _, d := range c.maybeIdle {
		if d.idle() {
			c.liveDests.drop(d)
		}
	}
	clear(c.maybeIdle)
	c.maybeIdle = c.maybeIdle[:0]
}

// enqueueKey appends a message to those of its key.
func (c *Chooser) enqueueKey(m *message) {
	queue := c.keyQueues[m.Key]
	if queue == nil {
		queue = &keyQueue{key: m.Key, messages: linkedList[message]{links: func(m *message) *chainLinks[message] { return &m.keyLinks }}}
		c.keyQueues[m.Key] = queue
	}
	c.pausedKeys.drop(queue)
	queue.messages.add(m)
}

// releaseKeys forgets the keys whose pause is over.
func (c *Chooser) releaseKeys() {
	for _, queue := range c.pausedKeys.popWhile(func(queue *keyQueue) bool { return queue.pauseUntil <= c.now }) {
		delete(c.keyQueues, queue.key)
	}
}

// takeDue removes and returns the waiting messages whose final answer is due: by destination, the
// last queued first.
func (c *Chooser) takeDue() []*message {
	due := c.byAnswerTime.popWhile(func(m *message) bool { return m.answerAt <= c.now })
	slices.SortFunc(due, func(a, b *message) int {
		return cmp.Or(cmp.Compare(a.dest.liveNumber, b.dest.liveNumber), cmp.Compare(b.queueNumber, a.queueNumber))
	})
	return due
}

// detachFromCall removes a message from its call. With the last message the call's slots become
// free.
func (c *Chooser) detachFromCall(m *message) {
	call, h := m.call, m.call.host
	m.call, m.lastHost = nil, h
	if call.messages = without(call.messages, m); len(call.messages) == 0 {
		c.inFlight, m.dest.inFlight, h.inFlight = c.inFlight-1, m.dest.inFlight-1, h.inFlight-1
		h.unit.calls = without(h.unit.calls, call)
		c.countUnitCalls(h.dest, -1)
		c.markIfIdle(m.dest)
	}
}

// countUnitCalls adds n to the number of calls in flight at the units of a destination.
func (c *Chooser) countUnitCalls(d *dest, n int) {
	switch d.unitCalls += n; {
	case d.unitCalls == 1 && n > 0:
		c.callingDests = append(c.callingDests, d)
	case d.unitCalls == 0:
		c.callingDests = without(c.callingDests, d)
	}
}

// calledDests ranges over the destinations with calls in flight, in the order of liveDests.
func (c *Chooser) calledDests(yield func(*dest) bool) {
	slices.SortFunc(c.callingDests, compareLive)
	for _, d := range c.callingDests {
		if d.liveLinks.in && !yield(d) {
			return
		}
	}
}

// close ends a Step: it records the Step's time, and counts the excluded endpoints of the
// destinations that changed.
func (c *Chooser) close() {
	c.stepTimes, c.stepCount = append(c.stepTimes, c.now), c.stepCount+1
	if c.stepTimes[0] < c.now-2*recheckAfter { // not in each Step, since the rest of the slice is moved
		i, _ := slices.BinarySearch(c.stepTimes, c.now-recheckAfter+1)
		c.stepTimes = slices.Delete(c.stepTimes, 0, i)
	}
	for _, d := range c.changedDests {
		n := 0
		for _, h := range d.hosts {
			if h.State != Removed && (c.disabled[h.Addr] || h.unit.state == Suspect) {
				n++
			}
		}
		c.excluded += n - d.excluded
		d.excluded, d.changed = n, false
	}
	clear(c.changedDests)
	c.changedDests = c.changedDests[:0]
}

// Excluded returns the number of listed endpoints that get no regular messages: those disabled by
// operators and those in an outage, which get single trials. It is as of the last Step.
func (c *Chooser) Excluded() int { return c.excluded }

// scheduleListCheck has the next list update check a destination, even if the update doesn't name
// it.
func (c *Chooser) scheduleListCheck(d *dest) {
	if !d.listCheckDue {
		d.listCheckDue, c.listChecks = true, append(c.listChecks, d)
	}
}

// runListChecks calls a function for each destination to check, in the order in which they became
// known. Those for which it returns true are checked again at the next list update.
func (c *Chooser) runListChecks(again func(*dest) bool) {
	slices.SortFunc(c.listChecks, func(a, b *dest) int { return cmp.Compare(a.knownNumber, b.knownNumber) })
	c.listChecks = slices.DeleteFunc(c.listChecks, func(d *dest) bool {
		d.listCheckDue = again(d)
		return !d.listCheckDue
	})
}
