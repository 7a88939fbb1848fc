package link

import (
	"errors"
	"os"
	"testing"
	"time"
)

// Guards against a connection that falls silent and is heard, or one that came up later and is not.
func TestSilence(t *testing.T) {
	w := &way{queues: map[*queue]struct{}{}}
	before := newQueue(w)
	w.set(&Faults{SilentBefore: time.Now().Add(time.Millisecond)})
	after := newQueue(w)
	after.begun = time.Now().Add(time.Hour)
	for _, q := range []*queue{before, after} {
		q.push(chunk{data: []byte("hello")})
	}
	before.setDeadline(time.Now().Add(quiet))
	if got, err := before.pop(9); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%q came through a silent connection (%v)", got.data, err)
	}
	if got, err := after.pop(9); err != nil || string(got.data) != "hello" {
		t.Errorf("%q, %v of a connection that came up later", got.data, err)
	}
	w.set(nil)
	before.setDeadline(time.Time{})
	if got, err := before.pop(9); err != nil || string(got.data) != "hello" {
		t.Errorf("%q, %v once it is over", got.data, err)
	}
	early, late := time.Unix(1, 0), time.Unix(2, 0)
	if f := (&Faults{SilentBefore: early}).with(&Faults{SilentBefore: late}); !f.SilentBefore.Equal(late) {
		t.Errorf("of two silences the one from %v holds", f.SilentBefore)
	}
}
