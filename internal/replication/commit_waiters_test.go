package replication

import (
	"fmt"
	"testing"
	"time"
)

// Guards against functions that run before their records are committed, twice, out of order or never; also when a function adds
// another one.
func TestCommitWaiters(t *testing.T) {
	var waiters CommitWaiters
	var done []string
	add := func(name string, next uint64, writtenAt, timeout time.Duration) {
		waiters.Add(next, writtenAt, timeout, func(committed bool) {
			done = append(done, fmt.Sprint(name, committed))
			if name == "adds" {
				waiters.Add(9, writtenAt, 0, func(committed bool) { done = append(done, fmt.Sprint("added", committed)) })
			}
		})
	}
	add("a", 2, 0, time.Second)
	add("adds", 3, 0, 0)
	add("late", 5, 0, time.Second)
	add("ever", 6, 0, 0)
	for _, c := range []struct {
		committed uint64
		all       bool
		now       time.Duration
		want      string
		left      int
	}{
		{1, false, 0, "[]", 4},
		{3, false, 0, "[atrue addstrue]", 3},
		{3, false, 999 * time.Millisecond, "[atrue addstrue]", 3},
		{3, false, time.Second, "[atrue addstrue latefalse]", 2},
		{8, false, time.Hour, "[atrue addstrue latefalse evertrue]", 1},
		{0, true, time.Hour, "[atrue addstrue latefalse evertrue addedtrue]", 0},
	} {
		waiters.Release(c.committed, c.all, c.now)
		if fmt.Sprint(done) != c.want || waiters.Len() != c.left {
			t.Fatalf("with %d committed at %v: %v and %d left, want %s and %d", c.committed, c.now, done, waiters.Len(), c.want, c.left)
		}
	}
	add("dropped", 1, 0, 0)
	waiters.Abort()
	add("forgotten", 1, 0, 0)
	waiters.Discard()
	if got := fmt.Sprint(done[len(done)-1]); got != "droppedfalse" || waiters.Len() != 0 {
		t.Errorf("after Abort and Discard the last call is %s, %d left", got, waiters.Len())
	}
}
