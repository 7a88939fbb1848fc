package choice

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestContainersMatchASlice guards against containers that lose, keep, or reorder their elements.
// Each is compared with a plain slice.
func TestContainersMatchASlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := make([]*message, 12)
		for i := range all {
			all[i] = &message{}
		}
		r := indexedSlice[message]{index: func(m *message) *int { return &m.sliceIndex }}
		c := linkedList[message]{links: func(m *message) *chainLinks[message] { return &m.keyLinks }}
		s := indexedHeap[*message]{before: func(a, b *message) bool { return a.answerAt < b.answerAt },
			index: func(m *message) *int { return &m.heapIndex }}
		var want []*message
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, 2*len(all)-1), 60, 200).Draw(t, "which") {
			m := all[i%len(all)]
			if in := slices.Index(want, m); i < len(all) && in < 0 {
				want = append(want, m)
				r.add(m)
				c.add(m)
			} else if i >= len(all) {
				if in >= 0 {
					want = slices.Delete(want, in, in+1)
				}
				r.drop(m)
				c.drop(m)
				s.drop(m)
				m.answerAt = 0
			}
			if slices.Contains(want, m) {
				m.answerAt = time.Duration(rapid.Int32().Draw(t, "until"))
				s.update(m)
			}
			if r.count != len(want) || c.count != len(want) || len(s.items) != len(want) || len(r.items) > 2*r.count {
				t.Fatalf("%d, %d and %d elements in a slice of %d, want %d", r.count, c.count, len(s.items),
					len(r.items), len(want))
			}
			if got := slices.DeleteFunc(slices.Clone(r.items),
				func(m *message) bool { return m == nil }); !slices.Equal(got, want) {
				t.Fatalf("the slice has %p, want %p", got, want)
			}
			if got := slices.Collect(c.each); !slices.Equal(got, want) {
				t.Fatalf("the list has %p, want %p", got, want)
			}
			for _, m := range want {
				if s.items[0].answerAt > m.answerAt {
					t.Fatalf("the first element is %v, but the heap has %v", s.items[0].answerAt, m.answerAt)
				}
			}
		}
		half := s.popWhile(func(m *message) bool { return m.answerAt < 0 })
		if !slices.IsSortedFunc(half, func(a, b *message) int { return int(min(1, max(-1, a.answerAt-b.answerAt))) }) {
			t.Fatal("popped elements are not in order")
		}
		for _, m := range want {
			if (m.answerAt < 0) != slices.Contains(half, m) || (m.heapIndex == 0) != (m.answerAt < 0) {
				t.Fatalf("%v: popped %v", m.answerAt, slices.Contains(half, m))
			}
		}
	})
}
