package relay

import "time"

// sharedMemoryPart is the part of the memory limit that each of two processes of a relay uses during an upgrade.
const sharedMemoryPart = 0.5

// useMemoryPart has this process use a part of the memory limit.
func (r *Relay) useMemoryPart(part float64) {
	if r.config.LimitMemory != nil {
		r.config.LimitMemory(part)
	}
	if r.clientListener != nil {
		r.clientListener.setMemoryLimit(int64(part * float64(r.config.memoryPart(clientMemoryDivisor))))
	}
}

// makeSpaceForNextProcess leaves half of the memory and of the connections to the next process. Connections without a
// message close for that.
func (r *Relay) makeSpaceForNextProcess() {
	r.useMemoryPart(sharedMemoryPart)
	r.clientListener.shrink(sharedMemoryPart)
}

// shrink lowers the limit on connections to a part of it, and closes quiet ones that submitted no message.
func (l *limitListener) shrink(part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = max(1, int(part*float64(l.limit)))
	l.configuredLimit = l.limit
	now := time.Now()
	for c := range l.open {
		switch {
		case !c.mayBeEvicted(now) || c.evictionRank(now) > 0:
		case c.requestStart.IsZero():
			c.requestClose(closedForSpace)
		default:
			c.evict(closedForSpace)
		}
	}
	l.limitLingering()
}
