package state

import "container/heap"

// times is a heap of segments by the time before which none of their messages is due.
type times []*Segment

func (t times) Len() int { return len(t) }
func (t times) Less(i, j int) bool {
	return t[i].Due < t[j].Due || t[i].Due == t[j].Due && t[i].First < t[j].First
}
func (t times) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].at, t[j].at = i, j
}
func (t *times) Push(x any) {
	s := x.(*Segment)
	s.at = len(*t)
	*t = append(*t, s)
}
func (t *times) Pop() any {
	old := *t
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	return s
}

// Earliest is the segment with the least time; nil if there is none.
func (b *State) Earliest() *Segment {
	if len(b.times) == 0 {
		return nil
	}
	return b.times[0]
}

// SetDue tells before when none of a segment's messages is due.
func (b *State) SetDue(s *Segment, due int64) {
	s.Due = due
	heap.Fix(&b.times, s.at)
}
