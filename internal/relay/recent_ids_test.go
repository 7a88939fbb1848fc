package relay

import (
	"fmt"
	"testing"
)

// Guards against forgetting an ended message sooner than the capacity requires, and against one that is never forgotten.
func TestRecentIDsForgetOldestFirst(t *testing.T) {
	ids := newRecentIDs(8)
	want(t, "capacity", ids.capacity, 8*recentIDsPerMB)
	for i := range ids.capacity + 10 {
		ids.add(fmt.Sprint("id", i))
		ids.add(fmt.Sprint("id", i)) // once more
	}
	for i := range ids.capacity + 10 {
		want(t, fmt.Sprint("remembers ", i), ids.has(fmt.Sprint("id", i)), i >= 10)
	}
	want(t, "digests", len(ids.digests), ids.capacity)
}

// Guards against an upgrade at which ended messages are forgotten, or in another order.
func TestRecentIDsPassToNextProcess(t *testing.T) {
	before, after := newRecentIDs(8), newRecentIDs(4)
	for i := range before.capacity + 10 {
		before.add(fmt.Sprint("id", i))
	}
	after.restore(before.snapshot())
	for i := range before.capacity + 10 {
		want(t, fmt.Sprint("remembers ", i), after.has(fmt.Sprint("id", i)), i >= before.capacity+10-after.capacity)
	}
	var zero recentIDs
	zero.restore(recentIDsSnapshot{})
	zero.add("a")
	want(t, "a is remembered", zero.has("a"), true)
}
