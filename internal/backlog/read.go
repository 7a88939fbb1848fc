package backlog

import (
	"errors"
	"iter"
)

// Next is the oldest that lie here for a destination, in order: at most n, and of so many bytes, but one if there is any.
// They stay.
func (s *Store) Next(dest, n, bytes int) (all []Held, err error) {
	err = s.mending(func() error {
		all, err = s.next(dest, n, bytes)
		return err
	})
	return all, err
}

func (s *Store) next(dest, n, bytes int) (all []Held, err error) {
	var lost []uint64
	defer func() { err = errors.Join(err, s.drop(dest, lost)) }()
	for _, seg := range s.st.Segments(dest) {
		for i := seg.Head; i < seg.Entries; i++ {
			if len(all) >= n {
				return all, nil
			}
			x, err := s.entries.at(seg, i)
			if err != nil {
				return nil, err
			}
			if x.gone() {
				continue
			}
			if bytes -= int(x.len); bytes < 0 && len(all) > 0 {
				return all, nil
			}
			h, err := s.message(seg, x)
			if errors.Is(err, errDamaged) {
				s.damaged(&Damage{Segment: dataName(seg), Lost: 1, Why: "a message cannot be read"})
				lost = append(lost, x.place)
				continue
			}
			if err != nil {
				return nil, err
			}
			all = append(all, h)
		}
	}
	return all, nil
}

// drop has messages be gone that cannot be read. Were it not written, they would be reported again.
func (s *Store) drop(dest int, lost []uint64) error {
	if len(lost) == 0 {
		return nil
	}
	return s.out(dest, lost)
}

// Find is a destination's message by its id.
func (s *Store) Find(dest int, id string) (h Held, ok bool, err error) {
	err = s.mending(func() error {
		h, ok, err = s.find(dest, id)
		return err
	})
	return h, ok, err
}

func (s *Store) find(dest int, id string) (h Held, ok bool, err error) {
	if s.st.LenOf(dest) == 0 {
		return h, false, nil
	}
	var lost []uint64
	hash := hashOf(s.saltAll, 'i', dest, id)
	var places []uint64
	if err := s.table.find(hash, func(t slot, _ int64) bool {
		if t.count == 0 && t.dest == dest {
			places = append(places, t.place)
		}
		return true
	}); err != nil {
		return h, false, err
	}
	for _, place := range places {
		seg := s.st.Of(dest, place)
		if seg == nil {
			continue
		}
		i, x, have, err := s.entries.search(seg, place)
		if err != nil {
			return h, false, err
		}
		if !have || i < seg.Head || x.gone() || x.id != hash {
			continue
		}
		h, err = s.message(seg, x)
		if errors.Is(err, errDamaged) {
			s.damaged(&Damage{Segment: dataName(seg), Lost: 1, Why: "a message cannot be read"})
			lost = append(lost, place)
			continue
		}
		if err != nil || h.ID == id {
			return h, err == nil, err
		}
	}
	return Held{}, false, s.drop(dest, lost)
}

// Key tells which destination has messages of an ordered class's key here. After a kill or damage it may name one for too long, until
// what lies there has gone up to where the key's newest would be.
func (s *Store) Key(order string) (dest int, ok bool) {
	hash := hashOf(s.saltAll, 'k', 0, order)
	err := s.mending(func() error {
		ok = false
		return s.table.find(hash, func(t slot, _ int64) bool {
			if t.count > 1 && s.st.Begun(t.dest, t.place) {
				dest, ok = t.dest, true
			}
			return !ok
		})
	})
	if err != nil {
		s.damaged(err)
	}
	return dest, ok
}

// alive tells whether a slot of the table may still lead to something.
func (s *Store) alive(t slot) bool {
	if t.place > s.told {
		return true // of what is just being put
	}
	if t.count > 0 {
		return t.count > 1 && s.st.Begun(t.dest, t.place)
	}
	return s.st.Of(t.dest, t.place) != nil
}

// mending runs what reads, and once more after what it found damaged has been mended.
func (s *Store) mending(f func() error) error {
	for range 4 {
		err := f()
		var b *brokenSegment
		switch {
		case errors.As(err, &b):
			if err := s.mend(b.s); err != nil {
				return err
			}
		case errors.Is(err, errTable):
			if err := s.rebuild(); err != nil {
				return err
			}
		default:
			return err
		}
	}
	return s.d.failed("is damaged again and again", "", errDamaged)
}

// Len is how many lie here.
func (s *Store) Len() int { return s.st.Len() }

// LenOf is how many lie here for a destination.
func (s *Store) LenOf(dest int) int { return s.st.LenOf(dest) }

// Dests are those that something lies here for.
func (s *Store) Dests() iter.Seq[int] { return s.st.Dests() }

// Bytes is what the files take of the budget.
func (s *Store) Bytes() int64 { return s.st.Used() }

// Damage is what was found unreadable since the last call.
func (s *Store) Damage() []error {
	all := s.damage
	s.damage = nil
	return all
}

// damageMost is how many errors wait to be asked for. Ones that tell of lost messages, one for each segment, do so beyond it.
const damageMost = 100

// damaged notes what was found; of the same kind in one segment as one.
func (s *Store) damaged(err error) {
	d, ok := err.(*Damage)
	if ok {
		for _, have := range s.damage {
			if h, ok := have.(*Damage); ok && h.Segment == d.Segment && h.Why == d.Why && h.Tail == d.Tail {
				h.Lost += d.Lost
				h.Doubt += d.Doubt
				return
			}
		}
	}
	if len(s.damage) < damageMost || ok && d.Lost+d.Doubt > 0 {
		s.damage = append(s.damage, err)
	}
}
