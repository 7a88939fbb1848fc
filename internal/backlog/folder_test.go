package backlog

import (
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
)

func tempDir(t testFailer) string {
	dir, err := os.MkdirTemp("", "backlog")
	if err != nil {
		t.Fatal(err)
	}
	if c, ok := t.(interface{ Cleanup(func()) }); ok {
		c.Cleanup(func() { os.RemoveAll(dir) })
	}
	return dir
}

func diskBytes(t testFailer, dir string) (total int64) {
	all, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range all {
		i, err := f.Info()
		if err != nil {
			t.Fatal(err)
		}
		total += (i.Size() + 511) / 512 * 512
	}
	return total
}

func copyDir(t testFailer, from string) string {
	to := tempDir(t)
	if err := os.CopyFS(filepath.Join(to, "d"), os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	return filepath.Join(to, "d")
}

// openFilled returns a store with some messages for each of some destinations, and the model of it.
func openFilled(t testing.TB, dir string, options Options, dests, each int) (*Store, queueModel) {
	store, model := mustOpen(t, dir, options), queueModel{}
	for i := range dests * each {
		message := Message{ID: fmt.Sprint("m", i), Dest: i % dests, Due: int64(i), Data: make([]byte, 100)}
		if err := store.Put(message); err != nil {
			t.Fatal(err)
		}
		model[message.Dest] = append(model[message.Dest], StoredMessage{Message: message})
	}
	return store, model
}

// Guards against a Put that fails at any of its writes because the disk is full, read-only or broken: it must store none of
// its messages and lose no other, and must succeed once the disk works again.
func TestFailingDisk(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EROFS, syscall.EIO} {
		for _, undoWorks := range []bool{true, false} {
			for failAfter := 0; ; failAfter++ {
				changes, failing := 0, false
				options := smallOptions(&killSwitch{})
				options.injectFault = func(op, _ string, bytes int) (int, error) {
					if !failing || op != "write" && undoWorks {
						return bytes, nil
					}
					if changes++; changes > failAfter {
						return bytes / 2, cause
					}
					return bytes, nil
				}
				dir := t.TempDir()
				store, model := openFilled(t, dir, options, 3, 5)
				failing = true
				var messages []Message
				for i := range 12 {
					messages = append(messages, Message{ID: fmt.Sprint("x", i), Dest: i % 5, Due: 5, OrderKey: "k", Data: make([]byte, 400)})
				}
				err := store.Put(messages...)
				failing = false
				if err == nil {
					if failAfter < 5 {
						t.Fatalf("no write failed after %d", failAfter)
					}
					break
				}
				var f *FileError
				if !errors.Is(err, cause) || !errors.As(err, &f) || f.Remedy() == "" {
					t.Fatalf("write %d: %v", failAfter, err)
				}
				checkEqual(t, store, model)
				if err := store.Put(messages...); err != nil {
					t.Fatalf("after write %d failed: %v", failAfter, err)
				}
				for _, h := range messages {
					model[h.Dest] = append(model[h.Dest], StoredMessage{Message: h})
				}
				for range 2 {
					for dest, queue := range model {
						if got, err := store.Next(dest, 1000, 1<<30); err != nil || !slices.EqualFunc(got, queue, sameMessage) {
							t.Fatalf("after write %d failed destination %d has %s: %v", failAfter, dest, describe(got), err)
						}
					}
					store.Close()
					store = mustOpen(t, dir, smallOptions(&killSwitch{}))
				}
				store.Close()
			}
		}
	}
}

// Guards against a Remove that fails with part of its effect, or that cannot be repeated.
func TestFailingRemove(t *testing.T) {
	for failAfter := range 6 {
		changes, failing := 0, false
		options := smallOptions(&killSwitch{})
		options.injectFault = func(op, _ string, bytes int) (int, error) {
			if changes++; failing && changes > failAfter {
				return 0, syscall.EROFS
			}
			return bytes, nil
		}
		store, model := openFilled(t, t.TempDir(), options, 2, 8)
		checkEqual(t, store, model)
		var sequences []uint64
		for i, h := range model[1] {
			if i != 2 && i != 5 {
				sequences = append(sequences, h.Sequence)
			}
		}
		changes, failing = 0, true
		err := store.Remove(1, sequences...)
		if failing = false; err == nil && failAfter < 2 {
			t.Fatalf("no write failed after %d", failAfter)
		}
		if err := store.Remove(1, sequences...); err != nil {
			t.Fatal(err)
		}
		model.remove(1, sequences...)
		checkEqual(t, store, model)
		store.Close()
	}
}

// Guards against an older copy of a folder that does not open with the content it had when it was copied.
func TestOpenOlderCopy(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "b")
	store, model := openFilled(t, dir, smallOptions(&killSwitch{}), 3, 20)
	checkEqual(t, store, model)
	copied := copyDir(t, dir)
	for dest, queue := range model {
		if err := store.Remove(dest, queue[0].Sequence, queue[3].Sequence, queue[4].Sequence); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Put(Message{ID: "later", Dest: 9}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	store = mustOpen(t, copied, smallOptions(&killSwitch{}))
	defer store.Close()
	checkEqual(t, store, model)
	if d := store.TakeDamageReports(); len(d) > 0 {
		t.Fatal(d)
	}
}

// Guards against a budget below what is stored that loses messages, or accepts more.
func TestSmallerBudget(t *testing.T) {
	dir := t.TempDir()
	store, model := openFilled(t, dir, smallOptions(&killSwitch{}), 2, 60)
	store.Close()
	options := smallOptions(&killSwitch{})
	options.DiskBytes = 48 << 10 // of which the table uses 32 KiB
	store = mustOpen(t, dir, options)
	defer store.Close()
	checkEqual(t, store, model)
	if err := store.Put(Message{ID: "x", Dest: 1}); !errors.Is(err, ErrFull) {
		t.Fatalf("beyond the budget: %v", err)
	}
	for dest, queue := range model {
		for _, h := range slices.Clone(queue[:55]) {
			if err := store.Remove(dest, h.Sequence); err != nil {
				t.Fatal(err)
			}
			model.remove(dest, h.Sequence)
		}
	}
	checkEqual(t, store, model)
	if err := store.Put(Message{ID: "x", Dest: 1}); err != nil {
		t.Fatalf("with free space again, %d bytes used, %d on disk: %v", store.Bytes(), diskBytes(t, dir), err)
	}
}

// Guards against a folder of another format that is read or changed as if it had this one.
func TestOtherFormatVersion(t *testing.T) {
	salt := make([]byte, saltSize)
	next := strings.Replace(string(versionText(salt)[:len(versionPrefix)+2*saltSize+1]), "backlog 1", "backlog 2", 1)
	for _, text := range []string{"larchrouter backlog 2\n", "2\n", "something else that is longer than a line of ours, by far: it goes on and on\n",
		next + fmt.Sprintf("%08x\n", crc32.Checksum([]byte(next), castagnoliTable))} {
		dir := t.TempDir()
		s, _ := openFilled(t, dir, smallOptions(&killSwitch{}), 2, 5)
		s.Close()
		if err := os.WriteFile(filepath.Join(dir, versionFileName), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		before := diskBytes(t, dir)
		var v *VersionError
		if _, err := Open(dir, smallOptions(&killSwitch{})); !errors.As(err, &v) || v.Remedy() == "" || v.Supported == v.Found {
			t.Fatalf("%q: %v", text, err)
		}
		if got, _ := os.ReadFile(filepath.Join(dir, versionFileName)); string(got) != text || diskBytes(t, dir) != before {
			t.Fatalf("%q was changed", text)
		}
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	var f *FileError
	if _, err := Open(file, Options{DiskBytes: 1}); !errors.As(err, &f) || f.Remedy() == "" {
		t.Fatalf("a file instead of a folder: %v", err)
	}
}

// Guards against a key that stays bound to a destination by messages that were refused.
func TestKeyOfRefusedMessages(t *testing.T) {
	options, failing := smallOptions(&killSwitch{}), true
	options.injectFault = func(_, name string, bytes int) (int, error) {
		if failing && strings.HasSuffix(name, ".dat") {
			return bytes / 2, syscall.ENOSPC
		}
		return bytes, nil
	}
	store := mustOpen(t, t.TempDir(), options)
	defer store.Close()
	messages := []Message{{ID: "a", Dest: 1, OrderKey: "k"}, {ID: "b", Dest: 1, OrderKey: "k"}}
	if err := store.Put(messages...); !errors.Is(err, syscall.ENOSPC) {
		t.Fatal(err)
	}
	if dest, ok := store.DestOfKey("k"); ok {
		t.Fatalf("the key of refused messages is bound to destination %d", dest)
	}
	failing = false
	if err := store.Put(messages...); err != nil {
		t.Fatal(err)
	}
	if err := store.Put(Message{ID: "other", Dest: 1}); err != nil { // keeps the queue alive after the last message with the key
		t.Fatal(err)
	}
	for left := 2; left >= 0; left-- {
		if _, ok := store.DestOfKey("k"); ok != (left > 0) {
			t.Fatalf("with %d messages of the key left it is known: %v", left, ok)
		}
		all, err := store.Next(1, 1, 1)
		if err != nil || len(all) != 1 {
			t.Fatal(err)
		}
		if err := store.Remove(1, all[0].Sequence); err != nil {
			t.Fatal(err)
		}
	}
}
