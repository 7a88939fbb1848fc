package keeper

import "time"

// leases counts the sessions of members as the keeper that leads sees them. It is pure: each call is told the time, by
// this process's monotonic clock. A session is over only when the lease has certainly run out by its member's own
// clock, which counts from before the member asked: here it counts from after the answer, and longer by the drift.
type leases struct {
	span    time.Duration // the lease and the drift
	elected time.Time     // zero while another leads
	seen    map[session]time.Time
	ending  map[session]bool // its end is on its way into the log: no answer may renew it
}

type session struct{ name, instance string }

func newLeases(lease time.Duration, drift float64) *leases {
	return &leases{span: lease + time.Duration(float64(lease)*drift), seen: map[session]time.Time{}, ending: map[session]bool{}}
}

// elect begins anew: what the leader before answered was asked for before now, so it has run out a span from now.
func (l *leases) elect(now time.Time) {
	l.elected = now
	clear(l.seen)
	clear(l.ending)
}

// depose forgets all: another may lead.
func (l *leases) depose() { l.elect(time.Time{}) }

// leads tells whether sessions may be answered.
func (l *leases) leads() bool { return !l.elected.IsZero() }

// renew counts a session anew, unless it is ending already.
func (l *leases) renew(s session, now time.Time) bool {
	if !l.leads() || l.ending[s] {
		return false
	}
	l.seen[s] = now
	return true
}

// left is how much of a session there is.
func (l *leases) left(s session, now time.Time) time.Duration {
	at, ok := l.seen[s]
	if !ok || at.Before(l.elected) {
		at = l.elected
	}
	return max(0, l.span-now.Sub(at))
}

// end says whether a session has run out, and that it ends if so: it is not renewed from then on.
func (l *leases) end(s session, now time.Time) bool {
	if !l.leads() || l.ending[s] || l.left(s, now) > 0 {
		return false
	}
	l.ending[s] = true
	return true
}

// ended says that a session has ended in the log, or could not be.
func (l *leases) ended(s session) {
	delete(l.ending, s)
	delete(l.seen, s)
}
