package state

import (
	"math"
	"slices"
	"time"
)

// Fine is the time of nothing wrong.
const Fine = time.Duration(math.MinInt64)

// Follower is a holder as the writer sees it.
type Follower struct {
	Holder
	Whole  bool          // it has a copy of this writer's
	Acked  uint64        // it has all records before this one
	Failed time.Duration // since when it takes nothing; Fine while it does
	Lags   time.Duration // since when it is behind what counts; Fine while it is not
}

// String tells how a holder stands, for the log.
func (f *Follower) String() string {
	switch {
	case f.Failed != Fine:
		return f.Name + " takes nothing"
	case !f.Whole:
		return f.Name + " has no copy yet"
	}
	return f.Name + " has a copy"
}

// Writer knows from when on a record counts. Records have numbers from 1 on; times are spans since an epoch of the
// caller's choosing.
type Writer struct {
	Epoch     uint64
	Copies    int    // holders that make a record count
	Next      uint64 // number of the next record
	Followers []*Follower
	counted   uint64
	base      uint64 // what counted as the set became this one
	ever      bool   // as many as it takes have had all of that since
}

// The spans after which another holder takes the place of one. They are longer than what a restart takes a relay, and than
// a pause of its garbage collector or its machine: each change has the whole copied.
const (
	goneAfter = 2 * time.Second
	lagsAfter = 5 * time.Second
)

// Set has other holders follow. Those that stay keep what they have.
func (w *Writer) Set(epoch uint64, copies int, holders []Holder) {
	old := w.Followers
	w.Epoch, w.Copies, w.Followers, w.base, w.ever = epoch, copies, nil, w.Counted(), false
	for _, h := range holders {
		i := slices.IndexFunc(old, func(f *Follower) bool { return f.Holder == h })
		if i >= 0 {
			w.Followers = append(w.Followers, old[i])
			continue
		}
		w.Followers = append(w.Followers, &Follower{Holder: h, Failed: Fine, Lags: Fine})
	}
}

// Counted is the number of the first record that does not count yet. It never goes back: what counted once was told.
func (w *Writer) Counted() uint64 {
	var acked []uint64
	for _, f := range w.Followers {
		if f.Whole {
			acked = append(acked, f.Acked)
		}
	}
	slices.Sort(acked)
	if n := len(acked); n >= w.Copies && w.Copies > 0 {
		w.counted = max(w.counted, acked[n-w.Copies])
		w.ever = w.ever || acked[n-w.Copies] >= w.base
	}
	return w.counted
}

// Short tells whether too few holders have a copy for a record to count.
func (w *Writer) Short() bool {
	n := 0
	for _, f := range w.Followers {
		if f.Whole && f.Failed == Fine {
			n++
		}
	}
	return n < max(1, w.Copies)
}

// Filled tells whether the sets before this one are of no more use: as many as make a record count have had all that
// counted before. A holder that stays from one set to the next may be behind that.
func (w *Writer) Filled() bool { w.Counted(); return w.ever }

// Took notes what a holder has confirmed.
func (w *Writer) Took(f *Follower, next uint64, whole bool, now time.Duration) {
	f.Failed = Fine
	f.Whole = f.Whole || whole
	f.Acked = max(f.Acked, min(next, w.Next))
	if f.Acked >= w.Counted() {
		f.Lags = Fine
	} else if f.Lags == Fine {
		f.Lags = now
	}
}

// Failing notes that a holder did not take what it was sent; Lost that it has no copy any more.
func (w *Writer) Failing(f *Follower, now time.Duration, lost bool) {
	if f.Failed == Fine {
		f.Failed = now
	}
	if lost { // it will not come back with what it had
		f.Whole, f.Acked, f.Failed = false, 0, min(f.Failed, now-goneAfter)
	}
}

// Gone names the holders in whose place others should come by now. Those that have only just failed are given time.
func (w *Writer) Gone(now time.Duration) (names []string) {
	for _, f := range w.Followers {
		if f.Failed != Fine && now-f.Failed >= goneAfter || f.Lags != Fine && now-f.Lags >= lagsAfter {
			names = append(names, f.Name)
		}
	}
	return names
}
