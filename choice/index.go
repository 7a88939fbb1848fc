package choice

import "container/heap"

// Plain containers, without decisions: what leaves them does so without a walk.

// links are the neighbours of an element of a chain.
type links[T any] struct {
	prev, next *T
	in         bool
}

// chain is a linked list whose elements hold their own links. What is left keeps its order.
type chain[T any] struct {
	first, last *T
	n           int
	of          func(*T) *links[T]
}

func (c *chain[T]) add(x *T) {
	l := c.of(x)
	if *l = (links[T]{prev: c.last, in: true}); c.last == nil {
		c.first = x
	} else {
		c.of(c.last).next = x
	}
	c.last, c.n = x, c.n+1
}

// drop takes an element out; one that is not in stays out.
func (c *chain[T]) drop(x *T) {
	l := c.of(x)
	if !l.in {
		return
	}
	if l.prev == nil {
		c.first = l.next
	} else {
		c.of(l.prev).next = l.next
	}
	if l.next == nil {
		c.last = l.prev
	} else {
		c.of(l.next).prev = l.prev
	}
	*l = links[T]{}
	c.n--
}

// each ranges over a chain from which the element at hand may be taken.
func (c *chain[T]) each(yield func(*T) bool) {
	for x := c.first; x != nil; {
		next := c.of(x).next
		if !yield(x) {
			return
		}
		x = next
	}
}

// row is a slice whose elements know their places in it, counted from 1; 0 is outside. What leaves is nil until more than
// half is: it is faster to walk than a chain.
type row[T any] struct {
	all   []*T
	n     int
	place func(*T) *int
}

func (r *row[T]) add(x *T) {
	r.all, r.n = append(r.all, x), r.n+1
	*r.place(x) = len(r.all)
}

// drop takes an element out; one that is not in stays out.
func (r *row[T]) drop(x *T) {
	p := r.place(x)
	if *p == 0 {
		return
	}
	r.all[*p-1], *p, r.n = nil, 0, r.n-1
	if len(r.all) > 2*r.n {
		left := r.all[:0]
		for _, x := range r.all {
			if x != nil {
				left = append(left, x)
				*r.place(x) = len(left)
			}
		}
		clear(r.all[len(left):])
		if r.all = left; cap(left) > 64 && cap(left) > 8*len(left) { // or what was needed once stays
			r.all = append([]*T(nil), left...)
		}
	}
}

// sorted is a binary heap whose elements know their places in it, counted from 1; 0 is outside.
type sorted[T any] struct {
	all    []T
	before func(a, b T) bool
	place  func(T) *int
}

func (s *sorted[T]) Len() int           { return len(s.all) }
func (s *sorted[T]) Less(i, j int) bool { return s.before(s.all[i], s.all[j]) }

func (s *sorted[T]) Swap(i, j int) {
	s.all[i], s.all[j] = s.all[j], s.all[i]
	*s.place(s.all[i]), *s.place(s.all[j]) = i+1, j+1
}

func (s *sorted[T]) Push(x any) {
	s.all = append(s.all, x.(T))
	*s.place(x.(T)) = len(s.all)
}

func (s *sorted[T]) Pop() any {
	var none T
	x := s.all[len(s.all)-1]
	s.all[len(s.all)-1] = none // or the memory of what has left stays
	s.all = s.all[:len(s.all)-1]
	*s.place(x) = 0
	return x
}

// queueOf is a heap of what is there already; its elements learn no places.
func queueOf[T any](all []T, before func(a, b T) bool) *sorted[T] {
	none := 0
	s := &sorted[T]{all: all, before: before, place: func(T) *int { return &none }}
	heap.Init(s)
	return s
}

// put takes an element in, or to its new place.
func (s *sorted[T]) put(x T) {
	if i := *s.place(x); i > 0 {
		heap.Fix(s, i-1)
		return
	}
	heap.Push(s, x)
}

func (s *sorted[T]) drop(x T) {
	if i := *s.place(x); i > 0 {
		heap.Remove(s, i-1)
	}
}

// upTo takes out all for which a test holds, that holds for all before them as well.
func (s *sorted[T]) upTo(due func(T) bool) (out []T) {
	for len(s.all) > 0 && due(s.all[0]) {
		out = append(out, heap.Pop(s).(T))
	}
	return out
}
