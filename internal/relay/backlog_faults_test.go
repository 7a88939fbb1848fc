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

// faulty is a store of which some calls fail. The loop alone calls it and sets what fails.
type faultyStore struct {
	store
	putErr, outErr, nextErr, findErr error
	doubt                            bool
	beforeOut                        func() // Out
}

func (f *faultyStore) Put(ms ...backlog.Message) error {
	if f.putErr != nil {
		return f.putErr
	}
	return f.store.Put(ms...)
}

func (f *faultyStore) Out(dest int, places ...uint64) error {
	if f.beforeOut != nil {
		f.beforeOut()
	}
	if f.outErr != nil {
		return f.outErr
	}
	return f.store.Out(dest, places...)
}

func (f *faultyStore) Next(dest, n, bytes int) ([]backlog.Held, error) {
	hs, err := f.store.Next(dest, n, bytes)
	for i := range hs {
		hs[i].Doubt = hs[i].Doubt || f.doubt
	}
	return hs, errors.Join(err, f.nextErr)
}

func (f *faultyStore) Find(dest int, id string) (backlog.Held, bool, error) {
	h, there, err := f.store.Find(dest, id)
	return h, there, errors.Join(err, f.findErr)
}

// startFaulty starts a relay whose destination 7 is down, with 30 messages of which most are on disk.
func startFaultyRelay(t *testing.T, class string) (r *Relay, f *faultyStore, ps *recordingEndpoint, p *platform, ids []string) {
	t.Helper()
	ps, f = newRecordingEndpoint(t), &faultyStore{}
	p = newPlatform(t, ps.server(7, false), ps.server(8, true))
	r, _ = startBacklogRelay(t, p, backlogOptions{wrap: func(s store) store { f.store = s; return f }})
	return r, f, ps, p, submitAccepted(t, r, numberedMessages(30, 7, "m", testMessage{class: class})...)
}

var errDisk = errors.New("disk gone")

// Guards against a promise for what could not be put on disk, and against a relay that does not go on once it can.
func TestNothingIsAcceptedWithoutDiskSpace(t *testing.T) {
	r, f, ps, p, ids := startFaultyRelay(t, "payment")
	for n, err := range []error{errDisk, &backlog.Full{Need: 1, Wait: 300 * time.Millisecond}} {
		runInLoop(t, r, func() { f.putErr = err })
		for _, a := range submit(t, r, numberedMessages(3, 7, "refused", testMessage{})...) {
			if a.status != 503 || a.after <= 0 || err != errDisk && a.after != 300*time.Millisecond {
				t.Fatalf("%v: %d with %v to wait", err, a.status, a.after)
			}
		}
		ps.awaitMessages(t, n+len(submitAccepted(t, r, testMessage{id: fmt.Sprint("up", n), dest: 8})))
	}
	shows(t, r, "svc.in_flight=30", "svc.backlog.refused=6")
	runInLoop(t, r, func() { f.putErr = nil })
	ids = append(ids, submitAccepted(t, r, numberedMessages(3, 7, "refused", testMessage{})...)...)
	ps.mu.Lock()
	ps.received = nil
	ps.mu.Unlock()
	p.publish(2, true, ps.server(7, true), ps.server(8, true))
	ps.expectOnce(t, ids...)
}

// Guards against a store that is full for one large message and turns all of a turn away with it.
func TestMessagesThatFitAreAccepted(t *testing.T) {
	ps := newRecordingEndpoint(t)
	r, _ := startBacklogRelay(t, newPlatform(t, ps.server(7, false)), backlogOptions{change: func(c *Config) { c.Backlog.DiskMB = 0.2 }})
	submitAccepted(t, r, numberedMessages(9, 7, "first", testMessage{})...)
	var all []testMessage
	for i := range 12 {
		all = append(all, testMessage{id: fmt.Sprint("m", i), dest: 7, body: strings.Repeat("x", 1+i%2*60000)})
	}
	statuses := map[int]int{}
	for i, a := range submit(t, r, all...) {
		if statuses[a.status]++; i%2 == 0 && a.status != 202 {
			t.Errorf("a short one is answered %d %s", a.status, a.text)
		}
	}
	if statuses[503] == 0 || statuses[202]+statuses[503] != 12 {
		t.Errorf("answers %v, want some 503 for long ones", statuses)
	}
}

// Guards against messages that the decisions get while the disk may bring them back, and against ones that therefore miss
// their time.
func TestMessagesLeaveDiskBeforeSubmission(t *testing.T) {
	r, f, ps, p, ids := startFaultyRelay(t, "payment")
	held, _ := pendingAndStored(t, r)
	runInLoop(t, r, func() { f.outErr = errDisk })
	late := submitAccepted(t, r, numberedMessages(5, 7, "late", testMessage{timeLeft: time.Second})...)
	p.publish(2, true, ps.server(7, true), ps.server(8, true))
	ends := p.collectNotices(t, len(late))
	for _, id := range late {
		want(t, "end of one whose time was up", ends[id], deferred)
	}
	ps.expectOnce(t, ids[:held]...) // the window's alone
	shows(t, r, fmt.Sprintf("svc.in_flight=%d", len(ids)-held))
	runInLoop(t, r, func() { f.outErr = nil })
	ps.expectOnce(t, ids...)
	shows(t, r, "svc.in_flight=0", "svc.backlog.messages=0")
	want(t, "further notices", len(p.notices), 0)
}

// Guards against a second delivery after a kill between the journal's record and Out: both have the message then. And
// against one after a kill at any Out, as of a message that was withdrawn.
func TestKillBetweenJournalAndRemoval(t *testing.T) {
	ps := newRecordingEndpoint(t)
	p := newPlatform(t, ps.server(7, false), ps.server(8, true))
	f, k := &faultyStore{}, backlogOptions{state: t.TempDir()}
	k.wrap = func(s store) store { f.store = s; return f }
	r, stop := startBacklogRelay(t, p, k)
	ids := submitAccepted(t, r, numberedMessages(40, 7, "m", testMessage{class: "payment"})...)
	idsByDir := map[string]map[string]bool{} // ids that are in the journal, on disk or in both, by folder
	both := 0
	runInLoop(t, r, func() {
		f.beforeOut = func() {
			if len(idsByDir) == 3 {
				return
			}
			dir, ids := filepath.Join(t.TempDir(), "state"), map[string]bool{}
			copyFiles(t, dir, k.state)
			for e := range r.journal.All() {
				ids[e.ID] = true
			}
			hs, err := f.store.Next(7, 1000, 1<<20)
			if err != nil {
				t.Error(err)
			}
			for _, h := range hs {
				if ids[h.ID] {
					both++
				}
				ids[h.ID] = true
			}
			idsByDir[dir] = ids
		}
	})
	p.publish(2, true, ps.server(7, true), ps.server(8, true))
	ps.expectOnce(t, ids...)
	stop()
	if len(idsByDir) != 3 || both == 0 {
		t.Fatalf("%d folders as a kill would leave them, with %d messages in both, want 3 and some", len(idsByDir), both)
	}
	for dir, ids := range idsByDir {
		ps := newRecordingEndpoint(t)
		p := newPlatform(t, ps.server(7, true))
		r, stop := startBacklogRelay(t, p, backlogOptions{state: dir})
		submitAccepted(t, r, testMessage{id: "last", dest: 7, timeLeft: 20 * time.Second}) // it goes behind all of them
		ids["last"] = true
		for len(ids) > 0 {
			var id string
			select {
			case id = <-ps.ids:
			case n := <-p.notices: // of payments that were out as the copy was made
				id = n.ID
			case <-time.After(30 * time.Second):
				t.Fatalf("%d have neither come nor ended", len(ids))
			}
			if !ids[id] {
				t.Fatalf("%s came or ended twice", id)
			}
			delete(ids, id)
		}
		shows(t, r, "svc.in_flight=0")
		stop()
		want(t, "further messages", len(ps.ids)+len(p.notices), 0)
	}
}

// copyFiles copies the files of a folder, as a kill would leave them.
func copyFiles(t *testing.T, to, from string) {
	t.Helper()
	err := filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
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
	if err != nil {
		t.Error(err)
	}
}

// inLoop runs something in the loop.
func runInLoop(t testing.TB, r *Relay, f func()) {
	t.Helper()
	done := make(chan struct{})
	r.post(func() { f(); close(done) })
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("the loop hangs")
	}
}

// counts are what the decisions have and what the disk has.
func pendingAndStored(t testing.TB, r *Relay) (pending, stored int) {
	t.Helper()
	runInLoop(t, r, func() { pending, stored = len(r.pending), r.overflow.len() })
	return pending, stored
}
