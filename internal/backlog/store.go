package backlog

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Store is a backlog; for now in memory, until the segments take its place.
type Store struct {
	held map[int][]Held
	last uint64
	disk int64
}

// Open takes up what lies in a folder; it makes the folder if there is none.
func Open(dir string, o Options) (*Store, error) {
	return &Store{held: map[int][]Held{}, disk: o.Disk}, nil
}

// Put takes messages on, whole or not at all. They are written when it returns.
func (s *Store) Put(ms ...Message) error {
	for _, m := range ms {
		s.last++
		s.held[m.Dest] = append(s.held[m.Dest], Held{Message: m, Place: s.last})
	}
	return nil
}

// Next is the oldest that lie here for a destination, in order: at most n, and of so many bytes, but one if there is any.
// They stay.
func (s *Store) Next(dest, n, bytes int) (all []Held, err error) {
	for _, h := range s.held[dest] {
		if bytes -= len(h.Data); len(all) == n || bytes < 0 && len(all) > 0 {
			break
		}
		all = append(all, h)
	}
	return all, nil
}

// Due is what has to have ended by then, earliest first. They stay.
func (s *Store) Due(before int64, n int) (all []Held, err error) {
	for _, q := range s.held {
		for _, h := range q {
			if h.Due <= before {
				all = append(all, h)
			}
		}
	}
	slices.SortFunc(all, func(a, b Held) int { return cmp.Or(cmp.Compare(a.Due, b.Due), cmp.Compare(a.Place, b.Place)) })
	return all[:min(n, len(all))], nil
}

// NextDue is when the first has to have ended.
func (s *Store) NextDue() (int64, bool) {
	all, _ := s.Due(1<<62, 1)
	if len(all) == 0 {
		return 0, false
	}
	return all[0].Due, true
}

// Out has messages lie here no more; ones that don't are passed over. It is written when it returns.
func (s *Store) Out(dest int, places ...uint64) error {
	q := slices.DeleteFunc(s.held[dest], func(h Held) bool { return slices.Contains(places, h.Place) })
	if s.held[dest] = q; len(q) == 0 {
		delete(s.held, dest)
	}
	return nil
}

// Find is a destination's message by its id.
func (s *Store) Find(dest int, id string) (Held, bool, error) {
	for _, h := range s.held[dest] {
		if h.ID == id {
			return h, true, nil
		}
	}
	return Held{}, false, nil
}

// Key tells which destination has messages of an ordered class's key here.
func (s *Store) Key(order string) (dest int, ok bool) {
	for d, q := range s.held {
		for _, h := range q {
			if h.Order == order {
				return d, true
			}
		}
	}
	return 0, false
}

// Len is how many lie here.
func (s *Store) Len() (n int) {
	for _, q := range s.held {
		n += len(q)
	}
	return n
}

// LenOf is how many lie here for a destination.
func (s *Store) LenOf(dest int) int { return len(s.held[dest]) }

// Dests are those that something lies here for.
func (s *Store) Dests() iter.Seq[int] { return maps.Keys(s.held) }

// Bytes is what the files take of the budget.
func (s *Store) Bytes() int64 { return 0 }

// Damage is what was found unreadable since the last call.
func (s *Store) Damage() []error { return nil }

// Close gives the files up.
func (s *Store) Close() error { return nil }
