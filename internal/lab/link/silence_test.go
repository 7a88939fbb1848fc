package link

import (
	"errors"
	"os"
	"testing"
	"time"
)

// Guards against a silenced connection that still delivers bytes, and a later connection that does not.
func TestSilenceAffectsOnlyEarlierConnections(t *testing.T) {
	d := &direction{queues: map[*queue]struct{}{}}
	before := newQueue(d)
	d.set(&Faults{SilentBefore: time.Now().Add(time.Millisecond)})
	after := newQueue(d)
	after.createdAt = time.Now().Add(time.Hour)
	for _, q := range []*queue{before, after} {
		q.push(chunk{data: []byte("hello")})
	}
	before.setDeadline(time.Now().Add(silenceWait))
	if got, err := before.pop(9); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%q was received through a silenced connection (%v)", got.data, err)
	}
	if got, err := after.pop(9); err != nil || string(got.data) != "hello" {
		t.Errorf("received %q, %v on a connection established later", got.data, err)
	}
	d.set(nil)
	before.setDeadline(time.Time{})
	if got, err := before.pop(9); err != nil || string(got.data) != "hello" {
		t.Errorf("received %q, %v after the fault ended", got.data, err)
	}
	early, late := time.Unix(1, 0), time.Unix(2, 0)
	if f := (&Faults{SilentBefore: early}).combine(&Faults{SilentBefore: late}); !f.SilentBefore.Equal(late) {
		t.Errorf("two silences combine to the one from %v, want the later one", f.SilentBefore)
	}
}
