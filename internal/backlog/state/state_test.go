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
		limits := Limits{DiskBytes: 1 << 20, MinSegmentBytes: 400, MaxSegmentBytes: 1600}
		state := New(limits)
		state.SetFixedBytes(700)
		model := map[*Segment][]modelMessage{}
		var stored, copied int64 // bytes
		sequence := uint64(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			dest := rapid.IntRange(0, 3).Draw(t, "dest")
			switch rapid.IntRange(0, 2).Draw(t, "do") {
			case 0, 1:
				sequence++
				message := modelMessage{sequence, rapid.Int64Range(0, 99).Draw(t, "due"), rapid.Int64Range(1, 300).Draw(t, "bytes"), false}
				segment := state.Tail(dest, sequence, 0)
				if segment == nil {
					segment = &Segment{Dest: dest, First: sequence, Last: sequence, EarliestDue: math.MaxInt64}
					state.AddSegment(segment)
				}
				bytesBeforeHead := state.UsedBytes()
				growth := Growth(segment, false, 1, message.bytes)
				state.AddMessage(segment, sequence, message.due, message.bytes)
				if model[segment] = append(model[segment], message); state.UsedBytes()-bytesBeforeHead != growth {
					t.Fatalf("the files grew by %d bytes, want %d", state.UsedBytes()-bytesBeforeHead, growth)
				}
				stored += message.bytes
			case 2:
				all := state.Segments(dest)
				if len(all) == 0 {
					continue
				}
				segment := rapid.SampledFrom(all).Draw(t, "segment")
				removedCount := 0
				for i := range model[segment] {
					if message := &model[segment][i]; !message.removed && rapid.IntRange(0, 2).Draw(t, "goes") > 0 {
						message.removed = true
						removedCount++
					}
				}
				head, bytesBeforeHead, removed, live := uint32(0), int64(0), int64(0), int64(0)
				for i, message := range model[segment] {
					switch {
					case message.removed && int(head) == i:
						head, bytesBeforeHead = head+1, bytesBeforeHead+message.bytes
					case message.removed:
						removed += message.bytes
					default:
						live += message.bytes
					}
				}
				action, want := state.RemoveMessages(segment, removedCount, head, bytesBeforeHead, removed), Keep
				if live == 0 {
					want = Drop
				} else if removed > live && removed >= limits.MinSegmentBytes/4 {
					want = Rewrite
				}
				if action != want {
					t.Fatalf("%d bytes live, %d removed: action %d, want %d", live, removed, action, want)
				}
				switch action {
				case Drop:
					state.RemoveSegment(segment)
					delete(model, segment)
				case Rewrite:
					model[segment] = slices.DeleteFunc(model[segment], func(message modelMessage) bool { return message.removed })
					state.SegmentRewritten(segment, uint32(len(model[segment])), live)
					copied += live
				}
			}
			checkAgainstModel(t, state, model)
		}
		if copied > stored {
			t.Fatalf("%d bytes were rewritten, %d stored", copied, stored)
		}
	})
}

func checkAgainstModel(t *rapid.T, state *State, model map[*Segment][]modelMessage) {
	total, used, earliest := 0, int64(1024), int64(math.MaxInt64)
	dests := map[int]int{}
	for segment, all := range model {
		var data int64
		for _, m := range all {
			data += m.bytes
			if !m.removed {
				total++
				dests[segment.Dest]++
				earliest = min(earliest, m.due)
			}
			if state.SegmentOf(segment.Dest, m.sequence) != segment || !state.HasSegmentUpTo(segment.Dest, m.sequence) {
				t.Fatalf("sequence number %d is not in its segment", m.sequence)
			}
		}
		used += (HeaderSize+EntrySize*int64(len(all))+511)/512*512 + (data+511)/512*512
	}
	if state.Len() != total || state.UsedBytes() != used || state.FreeBytes() != 1<<20-used {
		t.Fatalf("%d messages and %d bytes, want %d and %d", state.Len(), state.UsedBytes(), total, used)
	}
	for dest := range 4 {
		if state.LenOf(dest) != dests[dest] || !slices.IsSortedFunc(state.Segments(dest), func(x, y *Segment) int { return cmp.Compare(x.First, y.First) }) {
			t.Fatalf("destination %d has %d, want %d", dest, state.LenOf(dest), dests[dest])
		}
	}
	if len(slices.Collect(state.Dests())) != len(dests) {
		t.Fatalf("destinations %v, want %v", slices.Collect(state.Dests()), dests)
	}
	if segment := state.Earliest(); (segment == nil) != (total == 0) || segment != nil && segment.EarliestDue > earliest {
		t.Fatalf("the earliest segment is %+v; the earliest due time of %d messages is %d", segment, total, earliest)
	}
	for segment := range model {
		if segment.EarliestDue < state.Earliest().EarliestDue {
			t.Fatal("Earliest did not return the earliest segment")
		}
	}
}
