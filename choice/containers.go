package choice

import "container/heap"

// This file has generic containers from which an element can be removed without a search.

// chainLinks are the neighbours of an element of a linkedList.
type chainLinks[T any] struct {
	prev, next *T
	in         bool
}

// linkedList is a doubly linked list whose elements hold their own links.
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

// drop removes an element. It does nothing for one that is not in the list.
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

// each ranges over a list, from which the current element may be removed.
func (c *linkedList[T]) each(yield func(*T) bool) {
	for x := c.first; x != nil; {
		next := c.links(x).next
		if !yield(x) {
			return
		}
		x = next
	}
}

// indexedSlice is a slice whose elements hold their positions in it, counted from 1; 0 is for an
// element outside. Removed elements leave nil entries until these are more than half. It is faster
// to iterate over than a linked list.
type indexedSlice[T any] struct {
	items []*T
	count int
	index func(*T) *int
}

func (r *indexedSlice[T]) add(x *T) {
	r.items, r.count = append(r.items, x), r.count+1
	*r.index(x) = len(r.items)
}

// drop removes an element. It does nothing for one that is not in the slice.
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
		if r.items = left; cap(left) > 64 && cap(left) > 8*len(left) { // free the memory of a past peak
			r.items = append([]*T(nil), left...)
		}
	}
}

// indexedHeap is a binary heap whose elements hold their positions in it, counted from 1; 0 is for
// an element outside.
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
	s.items[len(s.items)-1] = zero // so that the removed element can be collected
	s.items = s.items[:len(s.items)-1]
	*s.index(x) = 0
	return x
}

// newHeap returns a heap of existing elements, which don't hold their positions.
func newHeap[T any](all []T, before func(a, b T) bool) *indexedHeap[T] {
	unused := 0
	s := &indexedHeap[T]{items: all, before: before, index: func(T) *int { return &unused }}
	heap.Init(s)
	return s
}

// update adds an element, or moves it to its new position.
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

// popWhile removes and returns all elements for which a test holds. The test must hold for all
// elements before one for which it holds.
func (s *indexedHeap[T]) popWhile(due func(T) bool) (out []T) {
	for len(s.items) > 0 && due(s.items[0]) {
		out = append(out, heap.Pop(s).(T))
	}
	return out
}
