package state

import (
	"math"
	"slices"
	"time"
)

// Fine is the time of nothing wrong.
const Never = time.Duration(math.MinInt64)

// Follower is a holder as the writer sees it.
type Follower struct {
	Replica
	HasCopy      bool          // it has a copy of this writer's
	Acked        uint64        // it has all records before this one
	FailingSince time.Duration // since when it takes nothing; Fine while it does
	LaggingSince time.Duration // since when it is behind what counts; Fine while it is not
}

// String tells how a holder stands, for the log.
func (f *Follower) String() string {
	switch {
	case f.FailingSince != Never:
		return f.Name + " takes nothing"
	case !f.HasCopy:
		return f.Name + " has no copy yet"
	}
	return f.Name + " has a copy"
}

// Writer knows from when on a record counts. Records have numbers from 1 on; times are spans since an epoch of the
// caller's choosing.
type Writer struct {
	Epoch          uint64
	Copies         int    // holders that make a record count
	Next           uint64 // number of the next record
	Followers      []*Follower
	committed      uint64
	baseline       uint64 // what counted as the set became this one
	baselineCopied bool   // as many as it takes have had all of that since
}

// The spans after which another holder takes the place of one. They are longer than what a restart takes a relay, and than
// a pause of its garbage collector or its machine: each change has the whole copied.
const (
	replaceFailedAfter  = 2 * time.Second
	replaceLaggingAfter = 5 * time.Second
)

// Set has other holders follow. Those that stay keep what they have.
func (w *Writer) SetReplicas(epoch uint64, copies int, replicas []Replica) {
	previous := w.Followers
	w.Epoch, w.Copies, w.Followers, w.baseline, w.baselineCopied = epoch, copies, nil, w.Committed(), false
	for _, replica := range replicas {
		i := slices.IndexFunc(previous, func(f *Follower) bool { return f.Replica == replica })
		if i >= 0 {
			w.Followers = append(w.Followers, previous[i])
			continue
		}
		w.Followers = append(w.Followers, &Follower{Replica: replica, FailingSince: Never, LaggingSince: Never})
	}
}

// Counted is the number of the first record that does not count yet. It never goes back: what counted once was told.
func (w *Writer) Committed() uint64 {
	var acked []uint64
	for _, f := range w.Followers {
		if f.HasCopy {
			acked = append(acked, f.Acked)
		}
	}
	slices.Sort(acked)
	if n := len(acked); n >= w.Copies && w.Copies > 0 {
		w.committed = max(w.committed, acked[n-w.Copies])
		w.baselineCopied = w.baselineCopied || acked[n-w.Copies] >= w.baseline
	}
	return w.committed
}

// Short tells whether too few holders have a copy for a record to count.
func (w *Writer) UnderReplicated() bool {
	n := 0
	for _, f := range w.Followers {
		if f.HasCopy && f.FailingSince == Never {
			n++
		}
	}
	return n < max(1, w.Copies)
}

// Filled tells whether the sets before this one are of no more use: as many as make a record count have had all that
// counted before. A holder that stays from one set to the next may be behind that.
func (w *Writer) SetComplete() bool { w.Committed(); return w.baselineCopied }

// Took notes what a holder has confirmed.
func (w *Writer) RecordAck(f *Follower, next uint64, wholeCopy bool, now time.Duration) {
	f.FailingSince = Never
	f.HasCopy = f.HasCopy || wholeCopy
	f.Acked = max(f.Acked, min(next, w.Next))
	if f.Acked >= w.Committed() {
		f.LaggingSince = Never
	} else if f.LaggingSince == Never {
		f.LaggingSince = now
	}
}

// Failing notes that a holder did not take what it was sent; Lost that it has no copy any more.
func (w *Writer) RecordFailure(f *Follower, now time.Duration, copyLost bool) {
	if f.FailingSince == Never {
		f.FailingSince = now
	}
	if copyLost { // it will not come back with what it had
		f.HasCopy, f.Acked, f.FailingSince = false, 0, min(f.FailingSince, now-replaceFailedAfter)
	}
}

// Gone names the holders in whose place others should come by now. Those that have only just failed are given time.
func (w *Writer) ToReplace(now time.Duration) (names []string) {
	for _, f := range w.Followers {
		if f.FailingSince != Never && now-f.FailingSince >= replaceFailedAfter || f.LaggingSince != Never && now-f.LaggingSince >= replaceLaggingAfter {
			names = append(names, f.Name)
		}
	}
	return names
}
