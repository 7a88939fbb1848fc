package journal

import (
	"errors"
	"fmt"
	"testing"
)

// Guards against a journal that accepts more messages than it has space for the history of: their ends could then never be
// recorded, as that takes a record, too.
func TestFullJournalRecordsHistory(t *testing.T) {
	for _, size := range []int{0, 300, 3000} {
		journal, err := Open(t.TempDir(), 3e6)
		if err != nil {
			t.Fatal(err)
		}
		defer journal.Close()
		pending := 0
		for ; ; pending++ {
			err := journal.Append(Record{Op: OpAccepted, Entry: &Entry{ID: fmt.Sprintf("%016x", pending), Class: "payment", Dest: 7, Due: 1764655555555, Body: make([]byte, size)}})
			if errors.Is(err, ErrFull) {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		appendForAll := func(what string, records func(id string) []Record) {
			for n := range pending {
				if err := journal.Append(records(fmt.Sprintf("%016x", n))...); err != nil {
					t.Fatalf("bodies of %d bytes, %d pending: %s of message %d: %v", size, pending, what, n, err)
				}
			}
		}
		for range 8 {
			appendForAll("attempt", func(id string) []Record {
				return []Record{{Op: OpTry, ID: id, At: 1764655555555, WaitMs: 12345, Zone: 2}, {Op: OpOutcome, ID: id, Flag: true}}
			})
		}
		appendForAll("notice", func(id string) []Record {
			return []Record{{Op: OpNotice, ID: id, Status: "undeliverable", RetryAfterMs: 2000}}
		})
		appendForAll("end", func(id string) []Record { return []Record{{Op: OpEnd, ID: id}} })
		t.Logf("bodies of %d bytes: %d pending", size, pending)
	}
}
