package state

import (
	"cmp"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// modelMessage is a message of the model.
type modelMessage struct {
	sequence uint64
	due      int64
	bytes    int64
	removed  bool
}

// Guards against counts, budget, due times or actions for a segment that differ from a model with all messages.
func TestStateEqualsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{DiskBytes: 1 << 20, MinSegmentBytes: 400, MaxSegmentBytes: 1600}
		b := New(l)
		b.SetFixedBytes(700)
		of := map[*Segment][]modelMessage{}
		var put, copied int64 // bytes
		place := uint64(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			dest := rapid.IntRange(0, 3).Draw(t, "dest")
			switch rapid.IntRange(0, 2).Draw(t, "do") {
			case 0, 1:
				place++
				m := modelMessage{place, rapid.Int64Range(0, 99).Draw(t, "due"), rapid.Int64Range(1, 300).Draw(t, "bytes"), false}
				s := b.Tail(dest, place, 0)
				if s == nil {
					s = &Segment{Dest: dest, First: place, Last: place, EarliestDue: math.MaxInt64}
					b.AddSegment(s)
				}
				before := b.UsedBytes()
				grows := Growth(s, false, 1, m.bytes)
				b.AddMessage(s, place, m.due, m.bytes)
				if of[s] = append(of[s], m); b.UsedBytes()-before != grows {
					t.Fatalf("the files grew by %d bytes, want %d", b.UsedBytes()-before, grows)
				}
				put += m.bytes
			case 2:
				all := b.Segments(dest)
				if len(all) == 0 {
					continue
				}
				s := rapid.SampledFrom(all).Draw(t, "segment")
				n := 0
				for i := range of[s] {
					if m := &of[s][i]; !m.removed && rapid.IntRange(0, 2).Draw(t, "goes") > 0 {
						m.removed = true
						n++
					}
				}
				head, before, gone, live := uint32(0), int64(0), int64(0), int64(0)
				for i, m := range of[s] {
					switch {
					case m.removed && int(head) == i:
						head, before = head+1, before+m.bytes
					case m.removed:
						gone += m.bytes
					default:
						live += m.bytes
					}
				}
				what, want := b.RemoveMessages(s, n, head, before, gone), Keep
				if live == 0 {
					want = Drop
				} else if gone > live && gone >= l.MinSegmentBytes/4 {
					want = Rewrite
				}
				if what != want {
					t.Fatalf("%d bytes live, %d removed: action %d, want %d", live, gone, what, want)
				}
				switch what {
				case Drop:
					b.RemoveSegment(s)
					delete(of, s)
				case Rewrite:
					of[s] = slices.DeleteFunc(of[s], func(m modelMessage) bool { return m.removed })
					b.SegmentRewritten(s, uint32(len(of[s])), live)
					copied += live
				}
			}
			checkAgainstModel(t, b, of)
		}
		if copied > put {
			t.Fatalf("%d bytes were rewritten, %d stored", copied, put)
		}
	})
}

func checkAgainstModel(t *rapid.T, b *State, of map[*Segment][]modelMessage) {
	n, used, least := 0, int64(1024), int64(math.MaxInt64)
	dests := map[int]int{}
	for s, all := range of {
		var data int64
		for _, m := range all {
			data += m.bytes
			if !m.removed {
				n++
				dests[s.Dest]++
				least = min(least, m.due)
			}
			if b.SegmentOf(s.Dest, m.sequence) != s || !b.HasSegmentUpTo(s.Dest, m.sequence) {
				t.Fatalf("sequence number %d is not in its segment", m.sequence)
			}
		}
		used += (HeaderSize+EntrySize*int64(len(all))+511)/512*512 + (data+511)/512*512
	}
	if b.Len() != n || b.UsedBytes() != used || b.FreeBytes() != 1<<20-used {
		t.Fatalf("%d messages and %d bytes, want %d and %d", b.Len(), b.UsedBytes(), n, used)
	}
	for dest := range 4 {
		if b.LenOf(dest) != dests[dest] || !slices.IsSortedFunc(b.Segments(dest), func(x, y *Segment) int { return cmp.Compare(x.First, y.First) }) {
			t.Fatalf("destination %d has %d, want %d", dest, b.LenOf(dest), dests[dest])
		}
	}
	if len(slices.Collect(b.Dests())) != len(dests) {
		t.Fatalf("destinations %v, want %v", slices.Collect(b.Dests()), dests)
	}
	if s := b.Earliest(); (s == nil) != (n == 0) || s != nil && s.EarliestDue > least {
		t.Fatalf("the earliest segment is %+v; the earliest due time of %d messages is %d", s, n, least)
	}
	for s := range of {
		if s.EarliestDue < b.Earliest().EarliestDue {
			t.Fatal("Earliest did not return the earliest segment")
		}
	}
}
