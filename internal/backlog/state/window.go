package state

import "time"

// Window tells how many messages of a destination decisions may hold: a dynamic threshold as in switches with a shared buffer (Choudhury and Hahne, 1998).
// What a destination may have follows what is free, so that many that are down leave room; one that is served has twice what it took in the last second.
type Window struct {
	Total Load // the most of all destinations together
	Alpha float64
	used  Load
	dests map[int]*share
}

// Load is messages and their bytes.
type Load struct{ N, Bytes int }
type share struct {
	in       Load
	since    time.Duration
	now, was Load // served in the present second and in the last
}

// Room is how many more messages of a destination may come in. One that has none in may always have one.
func (w *Window) Room(dest int, now time.Duration) int {
	free := max(0, w.Total.N-w.used.N)
	if w.used.Bytes >= w.Total.Bytes {
		free = 0
	}
	s := w.dests[dest]
	if s == nil {
		return max(1, int(w.Alpha*float64(free)))
	}
	s.turn(now)
	served := 2 * max(s.was.N, s.now.N)
	allowed := max(1, int(w.Alpha*float64(free)), min(served, s.in.N+free))
	if s.in.N > 0 && float64(s.in.Bytes) >= max(w.Alpha*float64(w.Total.Bytes-w.used.Bytes), float64(2*max(s.was.Bytes, s.now.Bytes))) {
		return 0
	}
	return max(0, allowed-s.in.N)
}

// Enter and Leave tell of messages that come in and go.
func (w *Window) Enter(dest, bytes int) {
	if w.dests == nil {
		w.dests = map[int]*share{}
	}
	s := w.dests[dest]
	if s == nil {
		s = &share{}
		w.dests[dest] = s
	}
	s.in, w.used = Load{s.in.N + 1, s.in.Bytes + bytes}, Load{w.used.N + 1, w.used.Bytes + bytes}
}
func (w *Window) Leave(dest, bytes int, served bool, now time.Duration) {
	s := w.dests[dest]
	s.in, w.used = Load{s.in.N - 1, s.in.Bytes - bytes}, Load{w.used.N - 1, w.used.Bytes - bytes}
	if s.turn(now); served {
		s.now = Load{s.now.N + 1, s.now.Bytes + bytes}
	}
	if s.in.N == 0 && s.was.N == 0 && s.now.N == 0 {
		delete(w.dests, dest)
	}
}
func (s *share) turn(now time.Duration) {
	if n := (now - s.since) / time.Second; n == 1 {
		s.was, s.now, s.since = s.now, Load{}, s.since+time.Second
	} else if n > 1 {
		s.was, s.now, s.since = Load{}, Load{}, s.since+n*time.Second
	}
}
