package relay

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/backlog"
)

// faultyStore is a store in which chosen calls fail. Only the loop calls it and sets what fails.
type faultyStore struct {
	store
	putErr, outErr, nextErr, findErr error
	markDoubtful                     bool
	beforeOut                        func() // runs before each Out
}

func (f *faultyStore) Put(ms ...backlog.Message) error {
	if f.putErr != nil {
		return f.putErr
	}
	return f.store.Put(ms...)
}

func (f *faultyStore) Remove(dest int, places ...uint64) error {
	if f.beforeOut != nil {
		f.beforeOut()
	}
	if f.outErr != nil {
		return f.outErr
	}
	return f.store.Remove(dest, places...)
}

func (f *faultyStore) Next(dest, n, bytes int) ([]backlog.StoredMessage, error) {
	stored, err := f.store.Next(dest, n, bytes)
	for i := range stored {
		stored[i].InDoubt = stored[i].InDoubt || f.markDoubtful
	}
	return stored, errors.Join(err, f.nextErr)
}

func (f *faultyStore) Find(dest int, id string) (backlog.StoredMessage, bool, error) {
	message, found, err := f.store.Find(dest, id)
	return message, found, errors.Join(err, f.findErr)
}

// startFaultyRelay starts a relay whose destination 7 is unavailable, with 30 messages of which most are on disk.
func startFaultyRelay(t *testing.T, class string) (r *Relay, faulty *faultyStore, endpoint *recordingEndpoint, p *fakePlatform, ids []string) {
	t.Helper()
	endpoint, faulty = newRecordingEndpoint(t), &faultyStore{}
	p = newFakePlatform(t, endpoint.server(7, false), endpoint.server(8, true))
	r, _ = startBacklogRelay(t, p, backlogOptions{wrapStore: func(s store) store { faulty.store = s; return faulty }})
	return r, faulty, endpoint, p, submitAccepted(t, r, numberedMessages(30, 7, "m", testMessage{class: class})...)
}

var errDisk = errors.New("disk failure")

// Guards against accepting messages that could not be stored on disk, and against a relay that does not recover once
// they can.
func TestNothingIsAcceptedWithoutDiskSpace(t *testing.T) {
	r, faulty, endpoint, p, ids := startFaultyRelay(t, "payment")
	for n, err := range []error{errDisk, &backlog.FullError{NeededBytes: 1, RetryAfter: 300 * time.Millisecond}} {
		runInLoop(t, r, func() { faulty.putErr = err })
		for _, a := range submit(t, r, numberedMessages(3, 7, "refused", testMessage{})...) {
			if a.status != 503 || a.retryAfter <= 0 || err != errDisk && a.retryAfter != 300*time.Millisecond {
				t.Fatalf("%v: answered %d with a wait of %v", err, a.status, a.retryAfter)
			}
		}
		endpoint.awaitMessages(t, n+len(submitAccepted(t, r, testMessage{id: fmt.Sprint("up", n), dest: 8})))
	}
	awaitMetrics(t, r, "svc.in_flight=30", "svc.backlog.refused=6")
	runInLoop(t, r, func() { faulty.putErr = nil })
	ids = append(ids, submitAccepted(t, r, numberedMessages(3, 7, "refused", testMessage{})...)...)
	endpoint.mu.Lock()
	endpoint.received = nil
	endpoint.mu.Unlock()
	p.publish(2, true, endpoint.server(7, true), endpoint.server(8, true))
	endpoint.expectOnce(t, ids...)
}

// Guards against a store that is too full for one large message and therefore refuses all messages of the same turn.
func TestMessagesThatFitAreAccepted(t *testing.T) {
	endpoint := newRecordingEndpoint(t)
	r, _ := startBacklogRelay(t, newFakePlatform(t, endpoint.server(7, false)), backlogOptions{changeConfig: func(c *Config) { c.Backlog.DiskMB = 0.2 }})
	submitAccepted(t, r, numberedMessages(9, 7, "first", testMessage{})...)
	var messages []testMessage
	for i := range 12 {
		messages = append(messages, testMessage{id: fmt.Sprint("m", i), dest: 7, body: strings.Repeat("x", 1+i%2*60000)})
	}
	statuses := map[int]int{}
	for i, a := range submit(t, r, messages...) {
		if statuses[a.status]++; i%2 == 0 && a.status != 202 {
			t.Errorf("a short message is answered %d %s", a.status, a.text)
		}
	}
	if statuses[503] == 0 || statuses[202]+statuses[503] != 12 {
		t.Errorf("answers %v, want some 503 for long messages", statuses)
	}
}

// Guards against messages that are submitted to the Chooser while the disk may load them again, and against messages
// that miss their deadline because of that.
func TestMessagesLeaveDiskBeforeSubmission(t *testing.T) {
	r, faulty, endpoint, p, ids := startFaultyRelay(t, "payment")
	pending, _ := pendingAndStored(t, r)
	runInLoop(t, r, func() { faulty.outErr = errDisk })
	late := submitAccepted(t, r, numberedMessages(5, 7, "late", testMessage{timeLeft: time.Second})...)
	p.publish(2, true, endpoint.server(7, true), endpoint.server(8, true))
	ends := p.collectNotices(t, len(late))
	for _, id := range late {
		want(t, "end of an expired message", ends[id], deferred)
	}
	endpoint.expectOnce(t, ids[:pending]...) // only those in the window
	awaitMetrics(t, r, fmt.Sprintf("svc.in_flight=%d", len(ids)-pending))
	runInLoop(t, r, func() { faulty.outErr = nil })
	endpoint.expectOnce(t, ids...)
	awaitMetrics(t, r, "svc.in_flight=0", "svc.backlog.messages=0")
	want(t, "further notices", len(p.notices), 0)
}

// Guards against a second delivery after a kill between writing the journal's record and Out, when both have the
// message, and against one after a kill at any Out, such as that of a withdrawn message.
func TestKillBetweenJournalAndRemoval(t *testing.T) {
	endpoint := newRecordingEndpoint(t)
	p := newFakePlatform(t, endpoint.server(7, false), endpoint.server(8, true))
	faulty, options := &faultyStore{}, backlogOptions{stateDir: t.TempDir()}
	options.wrapStore = func(s store) store { faulty.store = s; return faulty }
	r, stop := startBacklogRelay(t, p, options)
	ids := submitAccepted(t, r, numberedMessages(40, 7, "m", testMessage{class: "payment"})...)
	idsByDir := map[string]map[string]bool{} // by state directory: IDs that are in the journal, on disk or in both
	inBoth := 0
	runInLoop(t, r, func() {
		faulty.beforeOut = func() {
			if len(idsByDir) == 3 {
				return
			}
			dir, ids := filepath.Join(t.TempDir(), "state"), map[string]bool{}
			copyFiles(t, dir, options.stateDir)
			for e := range r.journal.All() {
				ids[e.ID] = true
			}
			hs, err := faulty.store.Next(7, 1000, 1<<20)
			if err != nil {
				t.Error(err)
			}
			for _, h := range hs {
				if ids[h.ID] {
					inBoth++
				}
				ids[h.ID] = true
			}
			idsByDir[dir] = ids
		}
	})
	p.publish(2, true, endpoint.server(7, true), endpoint.server(8, true))
	endpoint.expectOnce(t, ids...)
	stop()
	if len(idsByDir) != 3 || inBoth == 0 {
		t.Fatalf("%d directories as a kill would leave them, with %d messages in both, want 3 and some", len(idsByDir), inBoth)
	}
	for dir, ids := range idsByDir {
		endpoint := newRecordingEndpoint(t)
		p := newFakePlatform(t, endpoint.server(7, true))
		r, stop := startBacklogRelay(t, p, backlogOptions{stateDir: dir})
		submitAccepted(t, r, testMessage{id: "last", dest: 7, timeLeft: 20 * time.Second}) // ordered behind all of them
		ids["last"] = true
		for len(ids) > 0 {
			var id string
			select {
			case id = <-endpoint.ids:
			case n := <-p.notices: // of payments that were in flight as the copy was made
				id = n.ID
			case <-time.After(30 * time.Second):
				t.Fatalf("%d messages have neither arrived nor ended", len(ids))
			}
			if !ids[id] {
				t.Fatalf("%s arrived or ended twice", id)
			}
			delete(ids, id)
		}
		awaitMetrics(t, r, "svc.in_flight=0")
		stop()
		want(t, "further messages", len(endpoint.ids)+len(p.notices), 0)
	}
}

// copyFiles copies the files of a directory as a kill would leave them. A running relay may rename a file meanwhile; the copy
// is made again then, since a kill leaves the file under one of its names.
func copyFiles(t *testing.T, to, from string) {
	t.Helper()
	const attempts = 20
	err := copyFilesOnce(to, from)
	for try := 1; errors.Is(err, fs.ErrNotExist) && try < attempts; try++ {
		if err := os.RemoveAll(to); err != nil {
			t.Fatal(err)
		}
		err = copyFilesOnce(to, from)
	}
	if err != nil {
		t.Error(err)
	}
}

func copyFilesOnce(to, from string) error {
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			return os.MkdirAll(filepath.Join(to, rel), 0o755)
		}
		if !d.Type().IsRegular() {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, rel), data, 0o644)
	})
}

// runInLoop runs a function in the loop and waits for it.
func runInLoop(t testing.TB, r *Relay, f func()) {
	t.Helper()
	done := make(chan struct{})
	r.post(func() { f(); close(done) })
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("the loop does not respond")
	}
}

// pendingAndStored returns how many messages are pending, which the Chooser has, and how many are on disk.
func pendingAndStored(t testing.TB, r *Relay) (pending, stored int) {
	t.Helper()
	runInLoop(t, r, func() { pending, stored = len(r.pending), r.overflow.len() })
	return pending, stored
}
