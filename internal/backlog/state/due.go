package state

import "container/heap"

// dueHeap is a heap of segments by the time before which none of their messages is due.
type dueHeap []*Segment

func (t dueHeap) Len() int { return len(t) }
func (t dueHeap) Less(i, j int) bool {
	return t[i].EarliestDue < t[j].EarliestDue || t[i].EarliestDue == t[j].EarliestDue && t[i].First < t[j].First
}
func (t dueHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex, t[j].heapIndex = i, j
}
func (t *dueHeap) Push(x any) {
	s := x.(*Segment)
	s.heapIndex = len(*t)
	*t = append(*t, s)
}
func (t *dueHeap) Pop() any {
	old := *t
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	return s
}

// Earliest returns the segment with the earliest due time, nil if there is none.
func (b *State) Earliest() *Segment {
	if len(b.byDue) == 0 {
		return nil
	}
	return b.byDue[0]
}

// SetEarliestDue sets the time, in Unix milliseconds, before which no message of a segment is due.
func (b *State) SetEarliestDue(s *Segment, due int64) {
	s.EarliestDue = due
	heap.Fix(&b.byDue, s.heapIndex)
}
