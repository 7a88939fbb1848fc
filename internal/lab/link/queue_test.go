package link

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a retransmitted chunk that is not delayed by RetransmitDelay, or that later bytes overtake.
func TestRetransmittedBytesArriveLateAndInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &direction{queues: map[*queue]struct{}{}}
		q := newQueue(d)
		d.set(&Faults{Delay: 50 * time.Millisecond, RetransmitShare: 1, RetransmitDelay: time.Second})
		began := time.Now()
		if err := q.push(chunk{data: []byte("lost")}); err != nil {
			t.Fatal(err)
		}
		d.set(&Faults{Delay: 50 * time.Millisecond})
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
