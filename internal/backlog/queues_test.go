package backlog

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a store that differs from plain queues after any operations, restarts and kills at any byte.
func TestStoreEqualsQueues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, kill := tempDir(t), &killSwitch{}
		s := mustOpen(t, dir, smallOptions(kill))
		defer func() { s.Close() }()
		model := queueModel{}
		lastID, killed := 0, false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			var interrupted interruptedCall
			var err error
			if rapid.IntRange(0, 7).Draw(t, "kill") == 0 {
				*kill = killSwitch{budget: rapid.IntRange(0, 2000).Draw(t, "bytes"), armed: true}
			}
			interrupted.dest = rapid.IntRange(0, 3).Draw(t, "dest")
			queue := model[interrupted.dest]
			switch rapid.SampledFrom([]string{"put", "put", "put", "head", "some", "due", "open"}).Draw(t, "do") {
			case "put":
				var messages []Message
				for range rapid.IntRange(1, 12).Draw(t, "n") {
					lastID++
					h := Message{ID: fmt.Sprint("m", lastID), Dest: rapid.SampledFrom([]int{interrupted.dest, interrupted.dest, (interrupted.dest + 1) % 4}).Draw(t, "to"),
						Due: rapid.Int64Range(1, 60).Draw(t, "due"), Data: bytes.Repeat([]byte{byte(lastID)}, rapid.SampledFrom([]int{0, 10, 100, 300, 6000}).Draw(t, "size"))}
					if rapid.Bool().Draw(t, "ordered") {
						h.OrderKey = fmt.Sprint("k", h.Dest, rapid.IntRange(0, 2).Draw(t, "key"))
					}
					messages, interrupted.put = append(messages, h), append(interrupted.put, StoredMessage{Message: h})
				}
				if err = s.Put(messages...); err == nil {
					for _, h := range interrupted.put {
						model[h.Dest] = append(model[h.Dest], h)
					}
				}
			case "head", "some":
				for i, h := range queue {
					if i < 5 && rapid.IntRange(0, 4).Draw(t, "head") > 0 || rapid.IntRange(0, 2).Draw(t, "some") == 0 {
						interrupted.remove = append(interrupted.remove, h.Sequence)
					}
				}
				if err = s.Remove(interrupted.dest, append(interrupted.remove, 1<<50)...); err == nil {
					model.remove(interrupted.dest, interrupted.remove...)
				}
			case "due":
				before, n := rapid.Int64Range(0, 60).Draw(t, "before"), rapid.IntRange(1, 100).Draw(t, "most")
				all, e := s.Due(before, n)
				want := slices.DeleteFunc(model.all(), func(h StoredMessage) bool { return h.Due > before })
				slices.SortStableFunc(want, func(a, b StoredMessage) int { return cmp.Compare(a.Due, b.Due) })
				if e != nil || len(all) != min(n, len(want)) {
					t.Fatalf("due before %d are %s, want %s: %v", before, describe(all), describe(want), e)
				}
				for i, h := range all {
					if h.Due != want[i].Due || !slices.ContainsFunc(model[h.Dest], func(x StoredMessage) bool { return sameMessage(x, h) && x.Sequence == h.Sequence }) {
						t.Fatalf("due before %d are %s, want %s", before, describe(all), describe(want))
					}
					if h.Dest == interrupted.dest {
						interrupted.remove = append(interrupted.remove, h.Sequence)
					}
				}
				if err = s.Remove(interrupted.dest, interrupted.remove...); err == nil {
					model.remove(interrupted.dest, interrupted.remove...)
				}
			case "open":
				s.Close()
				var reopened *Store
				if reopened, err = Open(dir, smallOptions(kill)); err == nil {
					s = reopened
				}
			}
			if err != nil || kill.killed {
				if !kill.killed {
					t.Fatal(err)
				}
				s.Close()
				killed = true
				*kill = killSwitch{}
				s = mustOpen(t, dir, smallOptions(kill))
				adoptAfterKill(t, s, model, interrupted)
			}
			*kill = killSwitch{}
			checkEqual(t, s, model)
			for dest := range 4 {
				for i := range 3 {
					key := fmt.Sprint("k", dest, i)
					hasMessages := slices.ContainsFunc(model[dest], func(h StoredMessage) bool { return h.OrderKey == key })
					if _, ok := s.DestOfKey(key); ok != hasMessages && !(ok && killed && len(model[dest]) > 0) {
						t.Fatalf("key %s is known: %v; it has messages: %v", key, ok, hasMessages)
					}
				}
			}
			if used := diskBytes(t, dir); s.Bytes() != used {
				t.Fatalf("the files have %d bytes, Bytes returns %d", used, s.Bytes())
			}
		}
		if d := s.TakeDamageReports(); len(d) > 0 {
			t.Fatal(d)
		}
	})
}

// Guards against a FullError without a useful delay, and against a refused Put that stores some of its messages.
func TestFullBacklogRefusesAtomically(t *testing.T) {
	options := smallOptions(&killSwitch{})
	options.DiskBytes, options.now = 64<<10, func() time.Time { return time.UnixMilli(1000) }
	s := mustOpen(t, t.TempDir(), options)
	defer s.Close()
	model := queueModel{}
	for i := 0; ; i++ {
		messages := []Message{{ID: fmt.Sprint("a", i), Dest: 1, Due: 6000, Data: make([]byte, 900)}, {ID: fmt.Sprint("b", i), Dest: 2, Due: 9000, Data: make([]byte, 900)}}
		err := s.Put(messages...)
		if err == nil {
			model[1], model[2] = append(model[1], StoredMessage{Message: messages[0]}), append(model[2], StoredMessage{Message: messages[1]})
			continue
		}
		var full *FullError
		if !errors.Is(err, ErrFull) || !errors.As(err, &full) || full.RetryAfter != 5*time.Second || full.Remedy() == "" || s.Bytes() > options.DiskBytes || i < 5 {
			t.Fatalf("after %d with %d bytes: %v %+v", i, s.Bytes(), err, full)
		}
		break
	}
	checkEqual(t, s, model)
	if err := s.Remove(1, model[1][0].Sequence); err != nil {
		t.Fatal(err)
	}
	model.remove(1, model[1][0].Sequence)
	checkEqual(t, s, model)
}
