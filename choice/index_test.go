package choice

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against containers that lose, keep, or reorder what they hold: each is played beside a plain slice.
func TestContainersHoldWhatASliceHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := make([]*message, 12)
		for i := range all {
			all[i] = &message{}
		}
		r := row[message]{place: func(m *message) *int { return &m.at }}
		c := chain[message]{of: func(m *message) *links[message] { return &m.inLine }}
		s := sorted[*message]{before: func(a, b *message) bool { return a.until < b.until }, place: func(m *message) *int { return &m.place }}
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
				m.until = 0
			}
			if slices.Contains(want, m) {
				m.until = time.Duration(rapid.Int32().Draw(t, "until"))
				s.put(m)
			}
			if r.n != len(want) || c.n != len(want) || len(s.all) != len(want) || len(r.all) > 2*r.n {
				t.Fatalf("%d, %d and %d held in %d places, want %d", r.n, c.n, len(s.all), len(r.all), len(want))
			}
			if got := slices.DeleteFunc(slices.Clone(r.all), func(m *message) bool { return m == nil }); !slices.Equal(got, want) {
				t.Fatalf("a row holds %p, want %p", got, want)
			}
			if got := slices.Collect(c.each); !slices.Equal(got, want) {
				t.Fatalf("a chain holds %p, want %p", got, want)
			}
			for _, m := range want {
				if s.all[0].until > m.until {
					t.Fatalf("%v comes first, and %v is held", s.all[0].until, m.until)
				}
			}
		}
		half := s.upTo(func(m *message) bool { return m.until < 0 })
		if !slices.IsSortedFunc(half, func(a, b *message) int { return int(min(1, max(-1, a.until-b.until))) }) {
			t.Fatal("not in order")
		}
		for _, m := range want {
			if (m.until < 0) != slices.Contains(half, m) || (m.place == 0) != (m.until < 0) {
				t.Fatalf("%v taken out %v", m.until, slices.Contains(half, m))
			}
		}
	})
}
