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
		store := mustOpen(t, dir, smallOptions(kill))
		defer func() { store.Close() }()
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
					message := Message{ID: fmt.Sprint("m", lastID), Dest: rapid.SampledFrom([]int{interrupted.dest, interrupted.dest, (interrupted.dest + 1) % 4}).Draw(t, "to"),
						Due: rapid.Int64Range(1, 60).Draw(t, "due"), Data: bytes.Repeat([]byte{byte(lastID)}, rapid.SampledFrom([]int{0, 10, 100, 300, 6000}).Draw(t, "size"))}
					if rapid.Bool().Draw(t, "ordered") {
						message.OrderKey = fmt.Sprint("k", message.Dest, rapid.IntRange(0, 2).Draw(t, "key"))
					}
					messages, interrupted.put = append(messages, message), append(interrupted.put, StoredMessage{Message: message})
				}
				if err = store.Put(messages...); err == nil {
					for _, message := range interrupted.put {
						model[message.Dest] = append(model[message.Dest], message)
					}
				}
			case "head", "some":
				for i, message := range queue {
					if i < 5 && rapid.IntRange(0, 4).Draw(t, "head") > 0 || rapid.IntRange(0, 2).Draw(t, "some") == 0 {
						interrupted.remove = append(interrupted.remove, message.Sequence)
					}
				}
				if err = store.Remove(interrupted.dest, append(interrupted.remove, 1<<50)...); err == nil {
					model.remove(interrupted.dest, interrupted.remove...)
				}
			case "due":
				before, n := rapid.Int64Range(0, 60).Draw(t, "before"), rapid.IntRange(1, 100).Draw(t, "most")
				all, e := store.Due(before, n)
				want := slices.DeleteFunc(model.all(), func(message StoredMessage) bool { return message.Due > before })
				slices.SortStableFunc(want, func(a, b StoredMessage) int { return cmp.Compare(a.Due, b.Due) })
				if e != nil || len(all) != min(n, len(want)) {
					t.Fatalf("due before %d are %s, want %s: %v", before, describe(all), describe(want), e)
				}
				for i, message := range all {
					if message.Due != want[i].Due || !slices.ContainsFunc(model[message.Dest], func(x StoredMessage) bool { return sameMessage(x, message) && x.Sequence == message.Sequence }) {
						t.Fatalf("due before %d are %s, want %s", before, describe(all), describe(want))
					}
					if message.Dest == interrupted.dest {
						interrupted.remove = append(interrupted.remove, message.Sequence)
					}
				}
				if err = store.Remove(interrupted.dest, interrupted.remove...); err == nil {
					model.remove(interrupted.dest, interrupted.remove...)
				}
			case "open":
				store.Close()
				var reopened *Store
				if reopened, err = Open(dir, smallOptions(kill)); err == nil {
					store = reopened
				}
			}
			if err != nil || kill.killed {
				if !kill.killed {
					t.Fatal(err)
				}
				store.Close()
				killed = true
				*kill = killSwitch{}
				store = mustOpen(t, dir, smallOptions(kill))
				adoptAfterKill(t, store, model, interrupted)
			}
			*kill = killSwitch{}
			checkEqual(t, store, model)
			for dest := range 4 {
				for i := range 3 {
					key := fmt.Sprint("k", dest, i)
					hasMessages := slices.ContainsFunc(model[dest], func(message StoredMessage) bool { return message.OrderKey == key })
					if _, ok := store.DestOfKey(key); ok != hasMessages && !(ok && killed && len(model[dest]) > 0) {
						t.Fatalf("key %s is known: %v; it has messages: %v", key, ok, hasMessages)
					}
				}
			}
			if used := diskBytes(t, dir); store.Bytes() != used {
				t.Fatalf("the files have %d bytes, Bytes returns %d", used, store.Bytes())
			}
		}
		if d := store.TakeDamageReports(); len(d) > 0 {
			t.Fatal(d)
		}
	})
}

// Guards against a FullError without a useful delay, and against a refused Put that stores some of its messages.
func TestFullBacklogRefusesAtomically(t *testing.T) {
	options := smallOptions(&killSwitch{})
	options.DiskBytes, options.now = 64<<10, func() time.Time { return time.UnixMilli(1000) }
	store := mustOpen(t, t.TempDir(), options)
	defer store.Close()
	model := queueModel{}
	for i := 0; ; i++ {
		messages := []Message{{ID: fmt.Sprint("a", i), Dest: 1, Due: 6000, Data: make([]byte, 900)}, {ID: fmt.Sprint("b", i), Dest: 2, Due: 9000, Data: make([]byte, 900)}}
		err := store.Put(messages...)
		if err == nil {
			model[1], model[2] = append(model[1], StoredMessage{Message: messages[0]}), append(model[2], StoredMessage{Message: messages[1]})
			continue
		}
		var full *FullError
		if !errors.Is(err, ErrFull) || !errors.As(err, &full) || full.RetryAfter != 5*time.Second || full.Remedy() == "" || store.Bytes() > options.DiskBytes || i < 5 {
			t.Fatalf("after %d with %d bytes: %v %+v", i, store.Bytes(), err, full)
		}
		break
	}
	checkEqual(t, store, model)
	if err := store.Remove(1, model[1][0].Sequence); err != nil {
		t.Fatal(err)
	}
	model.remove(1, model[1][0].Sequence)
	checkEqual(t, store, model)
}
