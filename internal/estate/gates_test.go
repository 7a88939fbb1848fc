package estate

import (
	"fmt"
	"testing"
	"time"
)

// Guards against something done before its records count, twice, out of order, or never; also where what is done adds more.
func TestGates(t *testing.T) {
	var g Gates
	var done []string
	add := func(name string, next uint64, at, most time.Duration) {
		g.Add(next, at, most, func(counts bool) {
			done = append(done, fmt.Sprint(name, counts))
			if name == "adds" {
				g.Add(9, at, 0, func(counts bool) { done = append(done, fmt.Sprint("added", counts)) })
			}
		})
	}
	add("a", 2, 0, time.Second)
	add("adds", 3, 0, 0)
	add("late", 5, 0, time.Second)
	add("ever", 6, 0, 0)
	for _, c := range []struct {
		counted uint64
		all     bool
		now     time.Duration
		want    string
		left    int
	}{
		{1, false, 0, "[]", 4},
		{3, false, 0, "[atrue addstrue]", 3},
		{3, false, 999 * time.Millisecond, "[atrue addstrue]", 3},
		{3, false, time.Second, "[atrue addstrue latefalse]", 2},
		{8, false, time.Hour, "[atrue addstrue latefalse evertrue]", 1},
		{0, true, time.Hour, "[atrue addstrue latefalse evertrue addedtrue]", 0},
	} {
		g.Pass(c.counted, c.all, c.now)
		if fmt.Sprint(done) != c.want || g.Len() != c.left {
			t.Fatalf("with %d counted at %v: %v and %d left, want %s and %d", c.counted, c.now, done, g.Len(), c.want, c.left)
		}
	}
	add("dropped", 1, 0, 0)
	g.Drop()
	add("forgotten", 1, 0, 0)
	g.Forget()
	if got := fmt.Sprint(done[len(done)-1]); got != "droppedfalse" || g.Len() != 0 {
		t.Errorf("at last %s, %d left", got, g.Len())
	}
}
