package lease

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testDuration = 10 * time.Second

// grant returns an answer of the keepers with a lease of testDuration.
func grant(requestedAt time.Duration, revision, current, next uint64) Grant {
	return Grant{RequestedAt: requestedAt, Duration: testDuration, Revision: revision, Current: current, Next: next}
}

// Guards against a relay that acts on a revision before its loop has adopted it, on an earlier revision, or after the end of its
// lease, which counts from the request and not from the answer.
func TestLease(t *testing.T) {
	var l Lease
	checkStatus := func(now time.Duration, mode Mode, revision uint64) {
		t.Helper()
		if status := l.Status(now); status.Mode != mode || status.Revision != revision {
			t.Fatalf("at %v the mode is %v and the revision %d, want %v and %d", now, status.Mode, status.Revision, mode, revision)
		}
	}
	renew := func(now time.Duration, answer Grant, want error) {
		t.Helper()
		if err := l.Renew(now, answer); !errors.Is(err, want) {
			t.Fatalf("%+v: %v, want %v", answer, err, want)
		}
	}
	checkStatus(0, OwnFile, 0)
	renew(2*time.Second, grant(time.Second, 0, 0, 0), nil) // the keepers have no generation yet
	checkStatus(2*time.Second, OwnFile, 0)
	renew(3*time.Second, grant(2*time.Second, 1, 0, 1), nil)
	checkStatus(3*time.Second, OwnFile, 0)
	if pending, ok := l.Pending(); !ok || pending.Revision != 1 {
		t.Fatalf("pending %+v, %v", pending, ok)
	}
	if err := l.Adopt(1); err != nil {
		t.Fatal(err)
	}
	checkStatus(3*time.Second, Joined, 1)
	renew(5*time.Second, grant(4*time.Second, 2, 1, 0), nil)
	renew(6*time.Second, grant(3*time.Second, 1, 0, 1), ErrStale) // overtaken on its way
	if err := l.Adopt(1); !errors.Is(err, ErrStale) {
		t.Fatal(err)
	}
	if err := l.Adopt(2); err != nil {
		t.Fatal(err)
	}
	checkStatus(14*time.Second-1, Single, 2)
	checkStatus(14*time.Second, Fallback, 2)
	checkStatus(13*time.Second, Fallback, 2) // a clock that runs backwards does not restore the lease
	renew(20*time.Second, grant(19*time.Second, 2, 1, 0), nil)
	checkStatus(20*time.Second, Single, 2)
	for _, invalid := range []Grant{grant(21*time.Second, 3, 1, 2), grant(-1, 3, 1, 2), {RequestedAt: 1, Revision: 3, Current: 1}, grant(19*time.Second, 3, 2, 2),
		grant(19*time.Second, 2, 2, 0), {RequestedAt: 1, Duration: time.Hour, Revision: 3, Current: 1}} {
		renew(20*time.Second, invalid, ErrInvalid)
	}
	renew(20*time.Second, grant(19*time.Second, 3, 0, 2), ErrStale) // a keeper with an older state
	if remaining := l.Remaining(25 * time.Second); remaining != 4*time.Second {
		t.Errorf("%v remaining, want 4s", remaining)
	}
}

// Guards against answers that arrive late, twice or out of order, and pauses of any length: the adopted revision never decreases,
// the lease never outlasts the accepted answers, and the relay never acts on a revision that the keepers have not made.
func TestAnswersInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Lease
		var now, expires time.Duration
		var revision, current, next, lastRevision uint64
		var inTransit []Grant
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0: // time passes, as it does while the process is stopped
				now += time.Duration(rapid.IntRange(0, 12000).Draw(t, "ms")) * time.Millisecond
			case 1: // the keepers make another revision
				revision++
				switch {
				case next != 0 && rapid.Bool().Draw(t, "in effect"):
					current, next = next, 0
				case next != 0:
					next = 0
				default:
					next = current + uint64(rapid.IntRange(1, 3).Draw(t, "number"))
				}
			case 2: // the keepers send an answer
				inTransit = append(inTransit, grant(now, revision, current, next))
			case 3: // one of the answers arrives, and may arrive again
				if len(inTransit) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(inTransit)-1).Draw(t, "which")
				if l.Renew(now, inTransit[i]) == nil {
					expires = max(expires, inTransit[i].RequestedAt+testDuration)
				}
				if rapid.Bool().Draw(t, "once") {
					inTransit = append(inTransit[:i], inTransit[i+1:]...)
				}
			case 4:
				if pending, ok := l.Pending(); ok {
					if err := l.Adopt(pending.Revision); err != nil {
						t.Fatal(err)
					}
				}
			}
			status := l.Status(now)
			if status.Revision < lastRevision || status.Revision > revision {
				t.Fatalf("it acts on revision %d after %d, and the newest is %d", status.Revision, lastRevision, revision)
			}
			lastRevision = status.Revision
			if (status.Mode == Single || status.Mode == Joined) && now >= expires {
				t.Fatalf("at %v the mode is %v, but the lease ended at %v", now, status.Mode, expires)
			}
			if status.Mode == Joined && status.Next <= status.Current {
				t.Fatalf("it joins generations %d and %d", status.Current, status.Next)
			}
		}
	})
}
