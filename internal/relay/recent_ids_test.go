package relay

import (
	"fmt"
	"testing"
	"time"
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

// Guards against a memory that grows all day though no client comes again, and against forgetting what one may still send
// again.
func TestRecentIDsForgetWithTime(t *testing.T) {
	ids := newRecentIDs(192)
	now := time.Unix(1000, 0)
	const perSecond = 100
	for i := range 600 * perSecond {
		now = now.Add(time.Second / perSecond)
		ids.addDigest(idDigest(i), now)
		if oldest := i - int(recentIDRetention.Seconds())*perSecond + 1; oldest > 0 {
			if _, ok := ids.digests[idDigest(oldest)]; !ok {
				t.Fatalf("number %d is forgotten after %v", oldest, recentIDRetention)
			}
		}
	}
	if most := int(recentIDRetention.Seconds())*perSecond + 1; len(ids.digests) > most || len(ids.queue) > most {
		t.Errorf("%d IDs are remembered, want %d at most", len(ids.digests), most)
	}
}
