package relay

import "time"

// How a connection between two requests ends. Nobody but its reader knows that nothing has been read of the next one: the
// system may have handed bytes to a Read that has not returned yet, and the server may hold bytes in its buffer, read with
// the request before. So whoever wants such a connection to end asks for it (part), and its reader ends it as soon as it
// waits for a request's first byte. A request that comes before that is served, and the connection stays.

const (
	// firstLook is how long the first Read of a connection may still find what lies there: new connections mostly come
	// with a request.
	firstLook = time.Millisecond
	// partIn bounds how long room and retire wait for connections to end or to show their requests.
	partIn = 100 * time.Millisecond
)

// part has the connection end as soon as it rests. The mutex is held.
func (c *peer) part() {
	c.parting = true
	if c.rests && !c.woken {
		c.wake()
	}
}

// wake has the Read that waits return. The mutex is held.
func (c *peer) wake() {
	c.woken = true
	until := time.Unix(1, 0)
	if !c.served {
		until = time.Now().Add(firstLook)
	}
	c.Conn.SetReadDeadline(until)
}

// stay takes back that the connection is to end: a request has begun. The mutex is held.
func (c *peer) stay() {
	if !c.parting {
		return
	}
	if c.woken {
		c.Conn.SetReadDeadline(c.deadline)
	}
	c.parting, c.woken = false, false
	c.all.changed.Broadcast()
}

// reads notes that the server waits for bytes, and has room for so many. What its buffer holds already is of the next
// request, and is known by the room that is left.
func (c *peer) reads(room int) {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.left || c.active {
		return
	}
	c.buffer = max(c.buffer, room)
	if c.begun.IsZero() {
		c.received = int64(c.buffer - room)
	}
	if room < c.buffer {
		c.beginBuffered()
	}
	if c.rests = c.begun.IsZero(); c.rests && c.parting {
		if c.served {
			c.end()
		} else {
			c.wake()
		}
	}
}

// beginBuffered notes that a request has begun whose bytes the server had already. The mutex is held.
func (c *peer) beginBuffered() {
	if c.begun.IsZero() {
		c.begun, c.answered = time.Now(), false
		c.stay()
	}
}

// parted waits until a connection has ended, or stays for a request that came. It tells whether one of them happened in
// time. The mutex is held, but not while it waits.
func (p *peers) parted(c *peer) bool {
	c.part()
	return p.await(func() bool { return !c.parting })
}

// await waits until a condition on the connections holds, and tells whether it came to hold in time. The mutex is held, but
// not while it waits.
func (p *peers) await(holds func() bool) bool {
	if holds() {
		return true
	}
	late := false
	timer := time.AfterFunc(partIn, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		late = true
		p.changed.Broadcast()
	})
	defer timer.Stop()
	for !holds() {
		if late {
			return false
		}
		p.changed.Wait()
	}
	return true
}

// noneWoken tells whether every Read that was to return for an end has returned. The mutex is held.
func (p *peers) noneWoken() bool {
	for c := range p.open {
		if c.woken && c.parting {
			return false
		}
	}
	return true
}
