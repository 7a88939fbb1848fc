package choice

import "container/heap"

// Plain containers, without decisions: what leaves them does so without a walk.

// links are the neighbours of an element of a chain.
type chainLinks[T any] struct {
	prev, next *T
	in         bool
}

// chain is a linked list whose elements hold their own links. What is left keeps its order.
type linkedList[T any] struct {
	first, last *T
	count       int
	links       func(*T) *chainLinks[T]
}

func (c *linkedList[T]) add(x *T) {
	l := c.links(x)
	if *l = (chainLinks[T]{prev: c.last, in: true}); c.last == nil {
		c.first = x
	} else {
		c.links(c.last).next = x
	}
	c.last, c.count = x, c.count+1
}

// drop takes an element out; one that is not in stays out.
func (c *linkedList[T]) drop(x *T) {
	l := c.links(x)
	if !l.in {
		return
	}
	if l.prev == nil {
		c.first = l.next
	} else {
		c.links(l.prev).next = l.next
	}
	if l.next == nil {
		c.last = l.prev
	} else {
		c.links(l.next).prev = l.prev
	}
	*l = chainLinks[T]{}
	c.count--
}

// each ranges over a chain from which the element at hand may be taken.
func (c *linkedList[T]) each(yield func(*T) bool) {
	for x := c.first; x != nil; {
		next := c.links(x).next
		if !yield(x) {
			return
		}
		x = next
	}
}

// row is a slice whose elements know their places in it, counted from 1; 0 is outside. What leaves is nil until more than
// half is: it is faster to walk than a chain.
type indexedSlice[T any] struct {
	items []*T
	count int
	index func(*T) *int
}

func (r *indexedSlice[T]) add(x *T) {
	r.items, r.count = append(r.items, x), r.count+1
	*r.index(x) = len(r.items)
}

// drop takes an element out; one that is not in stays out.
func (r *indexedSlice[T]) drop(x *T) {
	p := r.index(x)
	if *p == 0 {
		return
	}
	r.items[*p-1], *p, r.count = nil, 0, r.count-1
	if len(r.items) > 2*r.count {
		left := r.items[:0]
		for _, x := range r.items {
			if x != nil {
				left = append(left, x)
				*r.index(x) = len(left)
			}
		}
		clear(r.items[len(left):])
		if r.items = left; cap(left) > 64 && cap(left) > 8*len(left) { // or what was needed once stays
			r.items = append([]*T(nil), left...)
		}
	}
}

// sorted is a binary heap whose elements know their places in it, counted from 1; 0 is outside.
type indexedHeap[T any] struct {
	items  []T
	before func(a, b T) bool
	index  func(T) *int
}

func (s *indexedHeap[T]) Len() int           { return len(s.items) }
func (s *indexedHeap[T]) Less(i, j int) bool { return s.before(s.items[i], s.items[j]) }

func (s *indexedHeap[T]) Swap(i, j int) {
	s.items[i], s.items[j] = s.items[j], s.items[i]
	*s.index(s.items[i]), *s.index(s.items[j]) = i+1, j+1
}

func (s *indexedHeap[T]) Push(x any) {
	s.items = append(s.items, x.(T))
	*s.index(x.(T)) = len(s.items)
}

func (s *indexedHeap[T]) Pop() any {
	var zero T
	x := s.items[len(s.items)-1]
	s.items[len(s.items)-1] = zero // or the memory of what has left stays
	s.items = s.items[:len(s.items)-1]
	*s.index(x) = 0
	return x
}

// queueOf is a heap of what is there already; its elements learn no places.
func newHeap[T any](all []T, before func(a, b T) bool) *indexedHeap[T] {
	unused := 0
	s := &indexedHeap[T]{items: all, before: before, index: func(T) *int { return &unused }}
	heap.Init(s)
	return s
}

// put takes an element in, or to its new place.
func (s *indexedHeap[T]) update(x T) {
	if i := *s.index(x); i > 0 {
		heap.Fix(s, i-1)
		return
	}
	heap.Push(s, x)
}

func (s *indexedHeap[T]) drop(x T) {
	if i := *s.index(x); i > 0 {
		heap.Remove(s, i-1)
	}
}

// upTo takes out all for which a test holds, that holds for all before them as well.
func (s *indexedHeap[T]) popWhile(due func(T) bool) (out []T) {
	for len(s.items) > 0 && due(s.items[0]) {
		out = append(out, heap.Pop(s).(T))
	}
	return out
}
