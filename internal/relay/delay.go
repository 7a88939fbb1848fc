package relay

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A message's time runs from the moment its last byte reached this machine, whether or not the relay had a core then, and
// its end has to reach the platform a short while after that time. The relay therefore asks the system when a request
// arrived, and ends messages early enough that a process which gets no core for a while is not late with it.

const (
	// endMarginLeast is how long before its time is up a message ends at the latest, where the relay runs on time. A notice
	// counts up to 350 ms after that time; a process without a core for 400 ms, just as it is to end a message, keeps this
	// with 100 ms to spare.
	endMarginLeast = 150 * time.Millisecond
	// endMarginMost bounds the margin of a relay that runs late all the time.
	endMarginMost = time.Second
	// delaysToEnd is how many times a goroutine has to be scheduled, at most, between the end of a message's time and its
	// notice: a timer, the loop, the sender of notices, and the writer of its connection.
	delaysToEnd = 4
	// marginShare is the part of a message's time that the margin takes at most.
	marginShare = 4
	// delayMemory is for how long, at least, a delay is taken to come again.
	delayMemory = 10 * time.Second
	// arrivalMost bounds how long before it was read a request is taken to have arrived: by then its client has left.
	arrivalMost = time.Second
)

// delayMeter keeps the longest delay of the relay's own timers of the last 10 to 20 seconds. It belongs to the loop.
type delayMeter struct {
	now, before time.Duration // the longest of this period, and of the one before it
	since       time.Duration // the start of this period
}

// observe takes in how late a timer was.
func (d *delayMeter) observe(at, late time.Duration) {
	d.turn(at)
	d.now = max(d.now, late)
}

// longest is the longest delay that is remembered.
func (d *delayMeter) longest(at time.Duration) time.Duration {
	d.turn(at)
	return max(d.now, d.before)
}

// turn begins a new period once this one is over.
func (d *delayMeter) turn(at time.Duration) {
	switch past := at - d.since; {
	case past >= 2*delayMemory:
		d.now, d.before, d.since = 0, 0, at
	case past >= delayMemory:
		d.now, d.before, d.since = 0, d.now, at
	}
}

// observeWake takes in how late the wake-up came that the decisions asked for.
func (r *Relay) observeWake() {
	if r.wakeAt > 0 {
		r.timerDelays.observe(r.now(), r.now()-r.wakeAt)
	}
}

// longestEndMargin is how long before its time is up a message with much time has to be over, so that its notice comes in time.
func (r *Relay) longestEndMargin() time.Duration {
	return min(max(endMarginLeast, delaysToEnd*r.timerDelays.longest(r.now())), endMarginMost)
}

// endMargin is the same for a message of a lifetime, its whole time.
func (r *Relay) endMargin(lifetime time.Duration) time.Duration {
	return min(r.longestEndMargin(), max(0, lifetime/marginShare))
}

// lastLook is how long before its time is up a message that waits is ended at the latest.
func (r *Relay) lastLook() time.Duration {
	return r.chooser.LastLook() + r.longestEndMargin()
}

// sinceArrival is how long ago the last bytes of a connection arrived, as the system knows it; 0 where it does not.
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
	if since > arrivalMost { // nothing has come yet, or the system counts otherwise
		return 0
	}
	return since
}
