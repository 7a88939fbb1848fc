package backlog

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var damageStepBytes = flag.Int("backlog.step", 29, "distance in bytes between the positions that are truncated at or flipped")

// churnedFolder returns a folder with messages of two destinations in several segments, some of which were removed in order
// and some out of order; removed has the ids of these.
func churnedFolder(t testing.TB) (dir string, model queueModel, removed map[string]bool) {
	dir, model, removed = tempDir(t), queueModel{}, map[string]bool{}
	store := mustOpen(t, dir, smallOptions(&killSwitch{}))
	defer store.Close()
	for i := range 60 {
		message := Message{ID: fmt.Sprint("m", i), Dest: 1 + i%2, Due: int64(i), Data: bytes.Repeat([]byte{byte(i)}, 20+i*3)}
		if i%3 == 0 {
			message.OrderKey = fmt.Sprint("k", message.Dest)
		}
		if err := store.Put(message); err != nil {
			t.Fatal(err)
		}
		model[message.Dest] = append(model[message.Dest], StoredMessage{Message: message})
	}
	checkEqual(t, store, model)
	for dest, queue := range model {
		var sequences []uint64
		for i, message := range queue {
			if i < 3 || i%7 == 5 || i > 25 && i < 28 {
				sequences, removed[message.ID] = append(sequences, message.Sequence), true
			}
		}
		if err := store.Remove(dest, sequences...); err != nil {
			t.Fatal(err)
		}
		model.remove(dest, sequences...)
	}
	checkEqual(t, store, model)
	return dir, model, removed
}

// checkSurvives checks a folder after damage: at most that many messages are missing and each is reported, removed messages
// stay removed or come back in doubt, the order is preserved, and all messages can be removed.
func checkSurvives(t testing.TB, what, dir string, model queueModel, removed map[string]bool, maxMissing int) {
	t.Helper()
	store, err := Open(dir, smallOptions(&killSwitch{}))
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	defer store.Close()
	stored := storedMessages(t, store)
	lost, inDoubt, tableReported := 0, 0, false
	for _, err := range store.TakeDamageReports() {
		var damage *DamageError
		if !errors.As(err, &damage) || damage.Remedy() == "" {
			t.Fatalf("%s: %v", what, err)
		}
		lost, inDoubt, tableReported = lost+damage.Lost, inDoubt+damage.InDoubt, tableReported || damage.Segment == tableFileName
	}
	missing := 0
	for dest, queue := range model {
		rest := stored[dest]
		for _, message := range queue {
			i := slices.IndexFunc(rest, func(got StoredMessage) bool { return got.ID == message.ID })
			if i < 0 {
				missing++
				continue
			}
			for _, got := range rest[:i] {
				if !got.InDoubt || !removed[got.ID] {
					t.Fatalf("%s: %s precedes %s", what, got.ID, message.ID)
				}
			}
			got := rest[i]
			if got.InDoubt {
				inDoubt--
			}
			if got.InDoubt = false; !sameMessage(got, message) || got.Sequence != message.Sequence {
				t.Fatalf("%s: message %+v was read as %+v", what, message, got)
			}
			if found, ok, err := store.Find(dest, message.ID); err != nil || !ok || found.Sequence != message.Sequence {
				t.Fatalf("%s: Find of %s returned %v %v %v", what, message.ID, found, ok, err)
			}
			rest = rest[i+1:]
		}
		for _, got := range rest {
			if !got.InDoubt || !removed[got.ID] {
				t.Fatalf("%s: removed message %s is back without being in doubt", what, got.ID)
			}
		}
	}
	if missing > maxMissing || missing > lost || inDoubt < 0 {
		t.Fatalf("%s: %d messages missing (at most %d), %d reported as lost; %d in doubt not reported", what, missing, maxMissing, lost, -inDoubt)
	}
	for dest, queue := range stored {
		for _, message := range queue {
			if err := store.Remove(dest, message.Sequence); err != nil {
				t.Fatalf("%s: %v", what, err)
			}
		}
	}
	if err := store.Put(Message{ID: "new", Dest: 1}); err != nil || store.Len() != 1 {
		t.Fatalf("%s: %d left: %v", what, store.Len(), err)
	}
}

func forEachFile(t testing.TB, dir string, f func(name string, content []byte)) {
	all, err := os.ReadDir(dir)
	if err != nil || len(all) < 8 {
		t.Fatalf("%d files: %v", len(all), err)
	}
	for _, e := range all {
		content, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			t.Fatal(err)
		}
		f(e.Name(), content)
	}
}

// copyWithFile returns a copy of a folder in which one file has other content, or is deleted if b is nil.
func copyWithFile(t testing.TB, dir, name string, b []byte) string {
	copied := copyDir(t, dir)
	err := os.Remove(filepath.Join(copied, name))
	if b != nil {
		err = os.WriteFile(filepath.Join(copied, name), b, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	return copied
}

// Guards against a flipped bit that loses more than its record, is not reported, or brings back a removed message.
func TestFlippedBits(t *testing.T) {
	dir, model, removed := churnedFolder(t)
	forEachFile(t, dir, func(name string, content []byte) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i := 0; i < len(content); i += *damageStepBytes {
				if name == tableFileName && content[i] == 0 && i%(16*slotSize) != 0 {
					continue // most of the table is free slots
				}
				flipped := slices.Clone(content)
				flipped[i] ^= 1 << (i % 8)
				checkSurvives(t, fmt.Sprint("bit flipped at ", i), copyWithFile(t, dir, name, flipped), model, removed, 1)
			}
		})
	})
}

// Guards against a truncated or deleted file that loses more than the messages in the missing part, or does not report it.
func TestTruncatedFiles(t *testing.T) {
	dir, model, removed := churnedFolder(t)
	forEachFile(t, dir, func(name string, content []byte) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkSurvives(t, "gone", copyWithFile(t, dir, name, nil), model, removed, 30)
			step := *damageStepBytes
			if name == tableFileName {
				step *= 100
			}
			for size := 0; size < len(content); size += step {
				if name == versionFileName && size == 0 {
					continue // covered by TestOtherFormatVersion
				}
				maxMissing := 0
				if strings.HasSuffix(name, ".dat") {
					maxMissing = 1 + (len(content)-size)/frameHeaderSize
				}
				checkSurvives(t, fmt.Sprint("truncated at ", size), copyWithFile(t, dir, name, content[:size]), model, removed, maxMissing)
			}
		})
	})
}
