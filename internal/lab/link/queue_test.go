package link

import (
	"testing"
	"testing/synctest"
	"time"
)

// A piece that TCP has to send again comes later by the stated time, and what was sent behind it waits for it.
func TestResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &way{queues: map[*queue]struct{}{}}
		q := newQueue(w)
		w.set(&Faults{Delay: 50 * time.Millisecond, Resent: 1, ResentIn: time.Second})
		began := time.Now()
		if err := q.push(chunk{data: []byte("lost")}); err != nil {
			t.Fatal(err)
		}
		w.set(&Faults{Delay: 50 * time.Millisecond})
		if err := q.push(chunk{data: []byte("behind")}); err != nil {
			t.Fatal(err)
		}
		for _, want := range []string{"lost", "behind"} {
			got, err := q.pop(100)
			if err != nil || string(got.data) != want || time.Since(began) != 1050*time.Millisecond {
				t.Errorf("%q after %v, %v; want %q after 1.05s", got.data, time.Since(began), err, want)
			}
		}
	})
}
