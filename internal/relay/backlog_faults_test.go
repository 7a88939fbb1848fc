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
type faulty struct {
	store
	put, out, next, find error
	doubt                bool
	before               func() // Out
}

func (f *faulty) Put(ms ...backlog.Message) error {
	if f.put != nil {
		return f.put
	}
	return f.store.Put(ms...)
}

func (f *faulty) Out(dest int, places ...uint64) error {
	if f.before != nil {
		f.before()
	}
	if f.out != nil {
		return f.out
	}
	return f.store.Remove(dest, places...)
}

func (f *faulty) Next(dest, n, bytes int) ([]backlog.StoredMessage, error) {
	hs, err := f.store.Next(dest, n, bytes)
	for i := range hs {
		hs[i].InDoubt = hs[i].InDoubt || f.doubt
	}
	return hs, errors.Join(err, f.next)
}

func (f *faulty) Find(dest int, id string) (backlog.StoredMessage, bool, error) {
	h, there, err := f.store.Find(dest, id)
	return h, there, errors.Join(err, f.find)
}

// startFaulty starts a relay whose destination 7 is down, with 30 messages of which most are on disk.
func startFaulty(t *testing.T, class string) (r *Relay, f *faulty, ps *partners, p *platform, ids []string) {
	t.Helper()
	ps, f = newPartners(t), &faulty{}
	p = newPlatform(t, ps.cell(7, false), ps.cell(8, true))
	r, _ = startKeeping(t, p, keeping{wrap: func(s store) store { f.store = s; return f }})
	return r, f, ps, p, promised(t, r, many(30, 7, "m", given{class: class})...)
}

var errDisk = errors.New("disk gone")

// Guards against a promise for what could not be put on disk, and against a relay that does not go on once it can.
func TestNothingIsPromisedWithoutRoomOnDisk(t *testing.T) {
	r, f, ps, p, ids := startFaulty(t, "payment")
	for n, err := range []error{errDisk, &backlog.FullError{NeededBytes: 1, RetryAfter: 300 * time.Millisecond}} {
		inLoop(t, r, func() { f.put = err })
		for _, a := range give(t, r, many(3, 7, "refused", given{})...) {
			if a.status != 503 || a.after <= 0 || err != errDisk && a.after != 300*time.Millisecond {
				t.Fatalf("%v: %d with %v to wait", err, a.status, a.after)
			}
		}
		ps.await(t, n+len(promised(t, r, given{id: fmt.Sprint("up", n), dest: 8})))
	}
	shows(t, r, "svc.in_flight=30", "svc.backlog.refused=6")
	inLoop(t, r, func() { f.put = nil })
	ids = append(ids, promised(t, r, many(3, 7, "refused", given{})...)...)
	ps.mu.Lock()
	ps.got = nil
	ps.mu.Unlock()
	p.publish(2, true, ps.cell(7, true), ps.cell(8, true))
	ps.once(t, ids...)
}

// Guards against a store that is full for one large message and turns all of a turn away with it.
func TestWhatFitsIsTakenOn(t *testing.T) {
	ps := newPartners(t)
	r, _ := startKeeping(t, newPlatform(t, ps.cell(7, false)), keeping{change: func(c *Config) { c.Backlog.DiskMB = 0.2 }})
	promised(t, r, many(9, 7, "first", given{})...)
	var all []given
	for i := range 12 {
		all = append(all, given{id: fmt.Sprint("m", i), dest: 7, body: strings.Repeat("x", 1+i%2*60000)})
	}
	statuses := map[int]int{}
	for i, a := range give(t, r, all...) {
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
func TestOffTheDiskBeforeTheDecisions(t *testing.T) {
	r, f, ps, p, ids := startFaulty(t, "payment")
	held, _ := counts(t, r)
	inLoop(t, r, func() { f.out = errDisk })
	late := promised(t, r, many(5, 7, "late", given{left: time.Second})...)
	p.publish(2, true, ps.cell(7, true), ps.cell(8, true))
	ends := p.ends(t, len(late))
	for _, id := range late {
		want(t, "end of one whose time was up", ends[id], deferred)
	}
	ps.once(t, ids[:held]...) // the window's alone
	shows(t, r, fmt.Sprintf("svc.in_flight=%d", len(ids)-held))
	inLoop(t, r, func() { f.out = nil })
	ps.once(t, ids...)
	shows(t, r, "svc.in_flight=0", "svc.backlog.messages=0")
	want(t, "further notices", len(p.notices), 0)
}

// Guards against a second delivery after a kill between the journal's record and Out: both have the message then. And
// against one after a kill at any Out, as of a message that was withdrawn.
func TestKillBetweenJournalAndOut(t *testing.T) {
	ps := newPartners(t)
	p := newPlatform(t, ps.cell(7, false), ps.cell(8, true))
	f, k := &faulty{}, keeping{state: t.TempDir()}
	k.wrap = func(s store) store { f.store = s; return f }
	r, stop := startKeeping(t, p, k)
	ids := promised(t, r, many(40, 7, "m", given{class: "payment"})...)
	owed := map[string]map[string]bool{} // ids that are in the journal, on disk or in both, by folder
	both := 0
	inLoop(t, r, func() {
		f.before = func() {
			if len(owed) == 3 {
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
			owed[dir] = ids
		}
	})
	p.publish(2, true, ps.cell(7, true), ps.cell(8, true))
	ps.once(t, ids...)
	stop()
	if len(owed) != 3 || both == 0 {
		t.Fatalf("%d folders as a kill would leave them, with %d messages in both, want 3 and some", len(owed), both)
	}
	for dir, ids := range owed {
		ps := newPartners(t)
		p := newPlatform(t, ps.cell(7, true))
		r, stop := startKeeping(t, p, keeping{state: dir})
		promised(t, r, given{id: "last", dest: 7, left: 20 * time.Second}) // it goes behind all of them
		ids["last"] = true
		for len(ids) > 0 {
			var id string
			select {
			case id = <-ps.each:
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
		want(t, "further messages", len(ps.each)+len(p.notices), 0)
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
func inLoop(t testing.TB, r *Relay, f func()) {
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
func counts(t testing.TB, r *Relay) (held, disk int) {
	t.Helper()
	inLoop(t, r, func() { held, disk = len(r.held), r.overflow.len() })
	return held, disk
}
