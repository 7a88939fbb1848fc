package replication

import "time"

// Gates are what waits until records of a stream count, in the order of the records. The zero value is ready.
type CommitWaiters struct{ waiters []commitWaiter }

type commitWaiter struct {
	next      uint64        // number after the records
	writtenAt time.Duration // when they were written
	timeout   time.Duration // after which it is given up; 0 for never
	run       func(committed bool)
}

// Add has something done once the records before a number count, or when it is given up.
func (c *CommitWaiters) Add(next uint64, writtenAt, timeout time.Duration, run func(committed bool)) {
	c.waiters = append(c.waiters, commitWaiter{next, writtenAt, timeout, run})
}

// Len is how many wait.
func (c *CommitWaiters) Len() int { return len(c.waiters) }

// Pass does what waited for records before a number, or for all if that is not to be waited for, and gives up what has
// waited too long. What is done may add others.
func (c *CommitWaiters) Release(committed uint64, all bool, now time.Duration) {
	waiting := c.waiters
	c.waiters = nil
	for _, w := range waiting {
		switch {
		case all || w.next <= committed:
			w.run(true)
		case w.timeout > 0 && now-w.writtenAt >= w.timeout:
			w.run(false)
		default:
			c.waiters = append(c.waiters, w)
		}
	}
}

// Drop gives all up.
func (c *CommitWaiters) Abort() {
	waiting := c.waiters
	c.waiters = nil
	for _, w := range waiting {
		w.run(false)
	}
}

// Forget has none of them done, in a process that is no longer the one to do it.
func (c *CommitWaiters) Discard() { c.waiters = nil }
