package relay

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A message's time starts when its last byte reaches this machine, whether or not the relay is scheduled then, and
// its end has to reach the platform shortly after that time is up. The relay therefore asks the system when a request
// arrived, and ends messages early enough that a process that is not scheduled for a while still reports the end in
// time.

const (
	// minEndMargin is how long before its time is up a message ends at the latest in a relay whose timers are on
	// time. A notice counts up to 350 ms after that time. A process that is not scheduled for 400 ms, just when it
	// has to end a message, still keeps that limit with 100 ms to spare.
	minEndMargin = 150 * time.Millisecond
	// maxEndMargin limits the margin in a relay whose timers are always late.
	maxEndMargin = time.Second
	// schedulingsBeforeNotice is the maximum number of times that a goroutine has to be scheduled between the end of
	// a message's time and its notice: a timer, the loop, the sender of notices, and the writer of its connection.
	schedulingsBeforeNotice = 4
	// endMarginDivisor limits the margin to this fraction (1/4) of a message's time.
	endMarginDivisor = 4
	// delayPeriod is how long, at least, an observed delay is expected to occur again.
	delayPeriod = 10 * time.Second
	// maxArrivalAge is the maximum time from the arrival of a request to its being read; after that its client has
	// left.
	maxArrivalAge = time.Second
)

// delayMeter records the longest delay of the relay's timers over the last 10 to 20 seconds. It belongs to the loop.
type delayMeter struct {
	currentMax, previousMax time.Duration // longest delay of the current period and of the previous one
	periodStart             time.Duration // start of the current period
}

// observe records the lateness of a timer.
func (d *delayMeter) observe(now, lateness time.Duration) {
	d.rotate(now)
	d.currentMax = max(d.currentMax, lateness)
}

// longest returns the longest delay of the current and the previous period.
func (d *delayMeter) longest(now time.Duration) time.Duration {
	d.rotate(now)
	return max(d.currentMax, d.previousMax)
}

// rotate begins a new period once the current one is over.
func (d *delayMeter) rotate(now time.Duration) {
	switch elapsed := now - d.periodStart; {
	case elapsed >= 2*delayPeriod:
		d.currentMax, d.previousMax, d.periodStart = 0, 0, now
	case elapsed >= delayPeriod:
		d.currentMax, d.previousMax, d.periodStart = 0, d.currentMax, now
	}
}

// observeWakeDelay records how late the wake-up was that the chooser had asked for.
func (r *Relay) observeWakeDelay() {
	if r.wakeAt > 0 {
		r.timerDelays.observe(r.now(), r.now()-r.wakeAt)
	}
}

// longestEndMargin returns how long before its time is up a message with plenty of time has to end, so that its
// notice is in time.
func (r *Relay) longestEndMargin() time.Duration {
	return min(max(minEndMargin, schedulingsBeforeNotice*r.timerDelays.longest(r.now())), maxEndMargin)
}

// endMargin returns the same for a message with the given total time.
func (r *Relay) endMargin(lifetime time.Duration) time.Duration {
	return min(r.longestEndMargin(), max(0, lifetime/endMarginDivisor))
}

// latestEndLead returns how long before its time is up a waiting message is ended at the latest.
func (r *Relay) latestEndLead() time.Duration {
	return r.chooser.FinalAnswerMargin() + r.longestEndMargin()
}

// sinceArrival returns how long ago the last bytes arrived on a connection, according to the system, or 0 if that is
// unknown.
func sinceArrival(conn net.Conn) time.Duration {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var since time.Duration
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if since > maxArrivalAge { // nothing has arrived yet, or the system counts differently
		return 0
	}
	return since
}
