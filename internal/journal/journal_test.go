package journal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func mustOpen(t *testing.T, dir string, budget int64) *Journal {
	t.Helper()
	j, err := Open(dir, budget)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.file.Close() })
	return j
}

func mustAppend(t *testing.T, j *Journal, records ...Record) {
	t.Helper()
	if err := j.Append(records...); err != nil {
		t.Fatal(err)
	}
}

func acceptedRecord(id string, size int) Record {
	return Record{Op: OpAccepted, Entry: &Entry{ID: id, Class: "payment", Dest: 7, Due: 99, Body: bytes.Repeat([]byte{7}, size)}}
}

func TestJournalReplay(t *testing.T) {
	dir := t.TempDir()
	journal := mustOpen(t, dir, 3e6)
	mustAppend(t, journal, acceptedRecord("a", 10), acceptedRecord("b", 10), acceptedRecord("c", 10), acceptedRecord("d", 10))
	mustAppend(t, journal, Record{Op: OpTry, ID: "a", At: 5, WaitMs: 300, Zone: 2}, Record{Op: OpOutcome, ID: "a", Flag: true},
		Record{Op: OpTry, ID: "a", At: 9, Zone: 1}, Record{Op: OpOutcome, ID: "a", Flag: true})
	mustAppend(t, journal, Record{Op: OpTry, ID: "b", At: 6, Zone: 1}, Record{Op: OpEnd, ID: "c"},
		Record{Op: OpNotice, ID: "d", Status: "deferred", RetryAfterMs: 700}, Record{Op: OpHealth, ID: "s-1", Flag: true, Base: 2, At: time.Now().UnixMilli()})
	for range 2 { // the second time reads the compacted file
		journal = mustOpen(t, dir, 3e6)
		wantEqual(t, "entries", len(journal.entries), 3)
		a, b, d := journal.entries["a"], journal.entries["b"], journal.entries["d"]
		wantEqual(t, "a", fmt.Sprint(a.Tries, a.MayHaveRun, a.MayHaveRunAt, a.Zone, a.InFlight, len(a.Body)), "2 true 5 2 false 10")
		wantEqual(t, "b", fmt.Sprint(b.Tries, b.MayHaveRun, b.InFlight, b.LastTryAt, b.LastTryZone), "1 false true 6 1")
		wantEqual(t, "d", fmt.Sprint(d.NoticeStatus, " ", d.RetryAfterMs), "deferred 700")
		wantEqual(t, "host in an outage", journal.outages["s-1"].Base, 2)
	}
}

// Guards against a crash, or the loss of earlier records, after a write that a kill interrupted.
func TestTornJournal(t *testing.T) {
	whole := appendFrame(appendFrame(nil, acceptedRecord("a", 10)), acceptedRecord("b", 10))
	one := len(appendFrame(nil, acceptedRecord("a", 10)))
	for cut := one; cut <= len(whole); cut++ {
		data := bytes.Clone(whole[:cut])
		if cut == len(whole) {
			data[cut-1] ^= 1 // complete, but damaged
		}
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "journal"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		for _, leftover := range []string{"journal.next", "journal.tmp"} { // left by this version, and by one before the fence
			if err := os.WriteFile(filepath.Join(dir, leftover), whole, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		j := mustOpen(t, dir, 3e6)
		wantEqual(t, "entries", len(j.entries), 1)
		mustAppend(t, j, acceptedRecord("c", 10))
		wantEqual(t, "entries after the next start", len(mustOpen(t, dir, 3e6).entries), 2)
	}
}

// Guards against the loss of all messages behind a damaged record, and against sending a message again that the lost record
// may have recorded as sent.
func TestDamagedJournalKeepsReadableRecords(t *testing.T) {
	first := appendFrame(nil, acceptedRecord("a", 10))
	for name, damage := range map[string]func(second []byte) []byte{
		"payload":   func(b []byte) []byte { b[frameHeaderSize+9] ^= 1; return b },
		"length":    func(b []byte) []byte { b[0] ^= 0x55; return b },
		"vast":      func(b []byte) []byte { b[3] = 0xff; return b },
		"cut short": func(b []byte) []byte { return b[:len(b)/2] },
		"zeroed":    func(b []byte) []byte { clear(b); return b },
	} {
		dir := t.TempDir()
		data := append(bytes.Clone(first), damage(appendFrame(nil, acceptedRecord("b", 10)))...)
		data = appendFrame(appendFrame(data, acceptedRecord("c", 10)), acceptedRecord("d", 10))
		if err := os.WriteFile(filepath.Join(dir, "journal"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		j := mustOpen(t, dir, 3e6)
		if len(j.entries) != 3 || j.entries["a"] == nil || j.entries["c"] == nil || j.entries["d"] == nil {
			t.Fatalf("%s: entries %v, want a, c and d", name, j.order)
		}
		wantEqual(t, name+": a may have run", j.entries["a"].MayHaveRun, true)
		wantEqual(t, name+": c may have run", j.entries["c"].MayHaveRun, false)
	}
}

// Guards against exceeding disk_mb, which has crashed a relay, and against a full journal that cannot record the ends of its
// messages.
func TestDiskBudget(t *testing.T) {
	const budget = 1 << 20
	journal := mustOpen(t, t.TempDir(), budget)
	var err error
	accepted := 0
	for ; err == nil; accepted++ {
		err = journal.Append(acceptedRecord(fmt.Sprint("m", accepted), 5000))
		if sum := journal.fileBytes + journal.compactedBytes + 2*blockSize; sum > budget {
			t.Fatalf("the file and its copy may use %d of %d bytes", sum, budget)
		}
	}
	if !errors.Is(err, ErrFull) {
		t.Fatal(err)
	}
	for i := range accepted - 1 {
		id := fmt.Sprint("m", i)
		mustAppend(t, journal, Record{Op: OpTry, ID: id}, Record{Op: OpOutcome, ID: id}, Record{Op: OpNotice, ID: id, Status: "deferred"})
	}
	for i := range accepted - 1 {
		mustAppend(t, journal, Record{Op: OpEnd, ID: fmt.Sprint("m", i)})
	}
	wantEqual(t, "live bytes", journal.compactedBytes, 0)
	mustAppend(t, journal, acceptedRecord("again", 5000))
}

// openReadOnly returns the journal's file, opened so that each write to it fails.
func openReadOnly(t *testing.T, j *Journal) *os.File {
	t.Helper()
	f, err := os.Open(j.path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	return f
}

// Guards against counting as recorded what could not be written.
func TestFailedWrite(t *testing.T) {
	dir := t.TempDir()
	j := mustOpen(t, dir, 3e6)
	mustAppend(t, j, acceptedRecord("a", 10))
	writable, unwritable := j.file, openReadOnly(t, j)
	j.file = unwritable
	if err := j.Append(acceptedRecord("b", 10)); err == nil {
		t.Fatal("a write to a read-only file succeeded")
	}
	wantEqual(t, "entries", len(j.entries), 1)
	j.file, j.writeError = writable, nil
	mustAppend(t, j, acceptedRecord("c", 10))
	wantEqual(t, "entries after the next start", len(mustOpen(t, dir, 3e6).entries), 2)
}

// Guards against a journal that accepts nothing more after a temporary disk failure, because of a partial record that could
// not be truncated then; against records behind such a partial record, which a replay does not read; and against truncating
// a file that another process owns.
func TestPartialRecordIsTruncatedLater(t *testing.T) {
	dir := t.TempDir()
	journal := mustOpen(t, dir, 3e6)
	mustAppend(t, journal, acceptedRecord("a", 10))
	writable, unwritable := journal.file, openReadOnly(t, journal)
	half := appendFrame(nil, acceptedRecord("b", 10))[:20]
	if _, err := writable.WriteAt(half, journal.fileBytes); err != nil {
		t.Fatal(err)
	}
	journal.file = unwritable
	for range 2 {
		if err := journal.Append(acceptedRecord("b", 10)); err == nil {
			t.Fatal("a write to a read-only file succeeded")
		}
	}
	journal.file = writable
	mustAppend(t, journal, acceptedRecord("c", 10), acceptedRecord("d", 500))
	wantEqual(t, "entries after the next start", len(mustOpen(t, dir, 3e6).entries), 3)

	journal = mustOpen(t, dir, 3e6)
	writable, journal.file = journal.file, unwritable
	if err := journal.Append(acceptedRecord("e", 10)); err == nil {
		t.Fatal("a write to a read-only file succeeded")
	}
	journal.file = writable
	journal.StopWriting(errors.New("another process owns the file"))
	if err := journal.Append(acceptedRecord("e", 10)); err == nil {
		t.Error("a record was written to a file that another process may own")
	}
}

func FuzzJournal(f *testing.F) {
	good := appendFrame(appendFrame(nil, acceptedRecord("a", 3)), Record{Op: OpTry, ID: "a"})
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add(appendFrame(nil, Record{Op: OpAccepted}))
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "journal"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		j := mustOpen(t, dir, 3e6)
		before := len(j.entries)
		mustAppend(t, j, acceptedRecord("a new id", 3))
		if after := len(mustOpen(t, dir, 3e6).entries); after != before+1 {
			t.Fatalf("%d entries, then %d", before, after)
		}
	})
}

// Guards against outages that are stored for ever, of hosts that left the discovery list before they recovered: each takes
// space from the messages, and each release of the destination adds one.
func TestOldOutagesExpire(t *testing.T) {
	journal := mustOpen(t, t.TempDir(), 3e6)
	expired := time.Now().Add(-2 * outageExpiry).UnixMilli()
	for i := range 500 {
		mustAppend(t, journal, Record{Op: OpHealth, ID: fmt.Sprint("s-", i), Flag: true, At: expired})
	}
	mustAppend(t, journal, Record{Op: OpHealth, ID: "s-new", Flag: true, At: time.Now().UnixMilli()})
	if err := journal.Compact(); err != nil {
		t.Fatal(err)
	}
	wantEqual(t, "outages", len(journal.outages), 1)
	wantEqual(t, "bytes that they use", journal.compactedBytes, int64(historyBytes))
}

func wantEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}
