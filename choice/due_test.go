package choice

import (
	"testing"
	"time"
)

// Guards against messages brought in too late, or far too soon, by a part that holds them elsewhere until their last
// look: no final answer comes before it, and one comes with the first Step in it, also by settings that changed meanwhile.
func TestLastLookIsWhenAMessageGetsItsFinalAnswer(t *testing.T) {
	s := settings()
	gone := ready("e", 1, 0, 0)
	gone.State = Draining
	r := newRig(t, s, gone)
	r.step(Arrival{ID: "first", Class: 0, Dest: 1, Left: 3 * time.Second})
	r.step(Arrival{ID: "second", Class: 0, Dest: 1, Left: 9 * time.Second})
	end := r.now + 3*time.Second
	look := r.c.LastLook()
	r.now = end - look - 1
	if acts := finals(r.step(Woken{})); len(acts) != 0 {
		t.Errorf("answered %v before the last look: %v", look, acts)
	}
	r.now = end - look
	if acts := finals(r.step(Woken{})); len(acts) != 1 {
		t.Errorf("%v before its end a message got %v, want one final answer", look, acts)
	}
	s.Tick *= 20
	r.step(Reconfigured{s})
	if was := look; r.c.LastLook() <= was {
		t.Fatalf("the last look is %v before the end by ticks 20 times as long, %v before", r.c.LastLook(), was)
	}
	look, end = r.c.LastLook(), end+6*time.Second
	r.now = end - look - 1
	if acts := finals(r.step(Woken{})); len(acts) != 0 {
		t.Errorf("answered %v before the new last look: %v", look, acts)
	}
	r.now = end - look
	if acts := finals(r.step(Woken{})); len(acts) != 1 {
		t.Errorf("%v before its end, by the new settings, a message got %v, want one final answer", look, acts)
	}
}

// finals are the final answers among actions.
func finals(acts []Action) (out []Action) {
	for _, a := range acts {
		switch a.(type) {
		case Refuse, Fail:
			out = append(out, a)
		}
	}
	return out
}
