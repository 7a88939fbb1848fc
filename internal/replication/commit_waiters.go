package replication

import "time"

// CommitWaiters are functions that wait until records of a stream are committed, in the order of the records. The zero value
// is ready to use. It is not safe for concurrent use.
type CommitWaiters struct{ waiters []commitWaiter }

type commitWaiter struct {
	next      uint64        // number after the records that must be committed
	writtenAt time.Duration // when the records were written
	timeout   time.Duration // after which the waiter is given up; 0 for never
	run       func(committed bool)
}

// Add registers a function that runs once all records before next are committed, or with committed false when it is given up,
// timeout after writtenAt. A timeout of 0 means never.
func (c *CommitWaiters) Add(next uint64, writtenAt, timeout time.Duration, run func(committed bool)) {
	c.waiters = append(c.waiters, commitWaiter{next, writtenAt, timeout, run})
}

// Len returns the number of waiting functions.
func (c *CommitWaiters) Len() int { return len(c.waiters) }

// Release runs the functions that waited for records before the number committed, or all of them if all is set, and gives up
// those whose timeout has passed. A function may add others.
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

// Abort gives up all functions.
func (c *CommitWaiters) Abort() {
	waiting := c.waiters
	c.waiters = nil
	for _, w := range waiting {
		w.run(false)
	}
}

// Discard removes all functions without running them, in a process that is no longer responsible for them.
func (c *CommitWaiters) Discard() { c.waiters = nil }
