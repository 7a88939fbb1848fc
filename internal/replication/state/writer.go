package state

import (
	"math"
	"slices"
	"time"
)

// Never is the value of FailingSince and LaggingSince while the follower neither fails nor lags.
const Never = time.Duration(math.MinInt64)

// Follower is a replica as the writer sees it.
type Follower struct {
	Replica
	HasCopy      bool          // it has a copy from this writer
	Acked        uint64        // it has all records before this number
	FailingSince time.Duration // since when it accepts nothing; Never while it accepts records
	LaggingSince time.Duration // since when it lacks committed records; Never while it has them
}

// String describes the state of the replica, for the log.
func (f *Follower) String() string {
	switch {
	case f.FailingSince != Never:
		return f.Name + " takes nothing"
	case !f.HasCopy:
		return f.Name + " has no copy yet"
	}
	return f.Name + " has a copy"
}

// Writer decides from when on a record is committed. Records are numbered from 1 on; times are durations since a start of
// the caller's choice.
type Writer struct {
	Epoch          uint64
	Copies         int    // number of replicas that must have a record for it to be committed
	Next           uint64 // number of the next record
	Followers      []*Follower
	committed      uint64
	baseline       uint64 // value of committed when the current set was set
	baselineCopied bool   // Copies replicas of the current set have had all records before baseline
}

// The durations after which a replica is replaced. They are longer than a restart of a relay, and than a pause of its garbage
// collector or its machine, because each replacement requires a whole copy to be sent.
const (
	replaceFailedAfter  = 2 * time.Second
	replaceLaggingAfter = 5 * time.Second
)

// SetReplicas sets the replicas of an epoch. The state of those that stay is retained.
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

// Committed returns the number of the first record that is not committed yet. It never decreases, because commits were
// reported to others.
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

// UnderReplicated reports whether too few replicas accept records to commit any.
func (w *Writer) UnderReplicated() bool {
	n := 0
	for _, f := range w.Followers {
		if f.HasCopy && f.FailingSince == Never {
			n++
		}
	}
	return n < max(1, w.Copies)
}

// SetComplete reports whether the earlier sets are no longer needed: as many replicas as a commit requires have had all
// records that were committed before the current set. A replica that stays from one set to the next may lack some of them.
func (w *Writer) SetComplete() bool { w.Committed(); return w.baselineCopied }

// RecordAck records that a replica confirmed all records before next; wholeCopy says that it confirmed a whole copy.
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

// RecordFailure records that a replica did not accept what it was sent; copyLost says that it no longer has its copy.
func (w *Writer) RecordFailure(f *Follower, now time.Duration, copyLost bool) {
	if f.FailingSince == Never {
		f.FailingSince = now
	}
	if copyLost { // it cannot recover the copy, so it is replaced without delay
		f.HasCopy, f.Acked, f.FailingSince = false, 0, min(f.FailingSince, now-replaceFailedAfter)
	}
}

// ToReplace returns the names of the replicas that others should replace: those that have failed for replaceFailedAfter or
// lagged for replaceLaggingAfter.
func (w *Writer) ToReplace(now time.Duration) (names []string) {
	for _, f := range w.Followers {
		if f.FailingSince != Never && now-f.FailingSince >= replaceFailedAfter || f.LaggingSince != Never && now-f.LaggingSince >= replaceLaggingAfter {
			names = append(names, f.Name)
		}
	}
	return names
}
