package estate

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"crypto/rand"

	"larchrouter/internal/estate/state"
	"larchrouter/internal/journal"
	"larchrouter/internal/remedy"
	"larchrouter/internal/steady"
)

// partsOf is into how many parts a holder's disk is divided: it takes no more copies than that.
const partsOf = 8

// orderIn is for records that came before those that they follow: several batches are under way at a time.
const orderIn = 100 * time.Millisecond

// Holder keeps copies of other relays' estates in a folder, and answers at the fleet address. It is safe for concurrent use.
type Holder struct {
	// Folder names the folder: one that lost its disk has another.
	Folder string
	dir    string
	part   int64 // bytes of disk that one copy may take

	mu     sync.Mutex
	copies map[uint64]*copied
	server *http.Server
	tcp    net.Listener
}

// copied is one copy.
type copied struct {
	mu   sync.Mutex
	j    *journal.Journal
	now  state.Copy
	news chan struct{} // closed with each batch
	over bool
	// unheld counts the looks since this relay is no longer on record for it.
	unheld int
}

// OpenHolder takes up the copies that an earlier process kept. One that cannot be read is none: who asks for it is told so.
func OpenHolder(dir string, disk int64) (*Holder, error) {
	h := &Holder{dir: filepath.Join(dir, "copies"), part: CopyBudget(disk), copies: map[uint64]*copied{}}
	if err := os.MkdirAll(h.dir, 0o700); err != nil {
		return nil, &Disk{h.dir, err}
	}
	name := filepath.Join(h.dir, "folder")
	text, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		text = []byte(rand.Text())
		err = os.WriteFile(name, text, 0o600)
	}
	if h.Folder = string(text); err != nil || h.Folder == "" || len(h.Folder) > nameMost {
		return nil, &Disk{name, errors.Join(err, errors.New("no name of the folder"))}
	}
	names, err := os.ReadDir(h.dir)
	if err != nil {
		return nil, &Disk{h.dir, err}
	}
	for _, n := range names {
		id, err := strconv.ParseUint(n.Name(), 10, 64)
		if err != nil {
			continue
		}
		if _, err := h.open(id); err != nil {
			slog.Error("a copy is not taken up", "estate", id, "err", err, "remedy", remedy.Of(err))
		}
	}
	return h, nil
}

// Disk is a folder that cannot be used.
type Disk struct {
	Path string
	Err  error
}

func (d *Disk) Error() string { return fmt.Sprintf("%s: %v", d.Path, d.Err) }
func (d *Disk) Unwrap() error { return d.Err }

// Remedy says what an operator can do.
func (d *Disk) Remedy() string {
	return "see whether the folder that lasts can be written and has room"
}

// open opens a copy's file. The lock is held, or nobody else has the holder yet.
func (h *Holder) open(id uint64) (*copied, error) {
	if c := h.copies[id]; c != nil {
		return c, nil
	}
	if len(h.copies) >= partsOf {
		return nil, &Refused{"this relay", http.StatusInsufficientStorage, "it has as many copies as its disk is for", "start more relays, or give them more disk_mb"}
	}
	dir := filepath.Join(h.dir, strconv.FormatUint(id, 10))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, &Disk{dir, err}
	}
	j, err := journal.OpenCopy(dir, h.part)
	if err != nil {
		return nil, &Disk{dir, err}
	}
	c := &copied{j: j, news: make(chan struct{})}
	if m, ok := j.GroupState(id); ok {
		c.now = m.Copy
	}
	if j.Damaged() { // what has counted may be lost from it: it says so rather than pass for whole
		slog.Error("a copy is damaged", "estate", id)
		c.now.From, c.now.Have, c.now.Next = "", 0, 0
	}
	h.copies[id] = c
	return c, nil
}

// Close ends it. What was answered is on disk.
func (h *Holder) Close() {
	if h.server != nil {
		h.server.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.copies {
		c.mu.Lock()
		c.over = true
		c.j.Close()
		c.mu.Unlock()
	}
	h.copies = map[uint64]*copied{}
}

func (h *Holder) now() Stamp { return Stamp{steady.UnixMilli(), h.Folder} }

// Len is how many copies it has.
func (h *Holder) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.copies)
}

func (h *Holder) copy(id uint64, names ...string) (*copied, error) {
	for _, n := range names {
		if len(n) > nameMost {
			return nil, &Refused{"this relay", http.StatusBadRequest, "a name is too long", ""}
		}
	}
	if id == 0 || len(names) == 0 || names[0] == "" {
		return nil, &Refused{"this relay", http.StatusBadRequest, "estate or writer is missing", ""}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open(id)
}

// take takes records, or the whole.
func (h *Holder) take(ctx context.Context, b Batch) (any, error) {
	c, err := h.copy(b.Estate, b.Writer)
	if err != nil {
		return nil, err
	}
	for _, r := range b.Records {
		if r.Op == journal.OpGroupState || r.Op == journal.OpGroupNext || r.Op == journal.OpAccepted && (r.Entry == nil || r.Entry.Group != b.Estate) {
			return nil, &Refused{"this relay", http.StatusBadRequest, "a record is none of an estate", ""}
		}
	}
	for end := time.Now().Add(orderIn); ; {
		next, news, err := c.take(b)
		var behind *state.Behind
		if !errors.As(err, &behind) || !behind.Whole || b.Whole || time.Now().After(end) {
			return Taken{next, h.now()}, err
		}
		select {
		case <-news: // what comes before may be among it
		case <-time.After(time.Until(end)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (c *copied) take(b Batch) (next uint64, news chan struct{}, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return 0, nil, &Refused{"this relay", http.StatusServiceUnavailable, "it stops", "nothing: it comes back, or is replaced"}
	}
	now, skip := c.now, uint64(0)
	if b.Whole {
		err = now.Reset(b.Epoch, b.Writer, b.First)
	} else {
		skip, err = now.Take(b.Epoch, b.Writer, b.First, uint64(len(b.Records)))
	}
	if err != nil {
		return c.now.Next, c.news, err
	}
	mark := journal.Record{Op: journal.OpGroupState, GroupState: &journal.GroupState{Group: b.Estate, Copy: now}}
	switch {
	case b.Whole:
		err = c.j.Replace(append(b.Records, mark)...)
	case now == c.now:
	case now.Epoch == c.now.Epoch && now.Have == c.now.Have:
		err = c.j.Append(append(b.Records[skip:], journal.Record{Op: journal.OpGroupNext, Group: b.Estate, NextRecord: now.Next})...)
	default:
		err = c.j.Append(append(b.Records[skip:], mark)...)
	}
	if err != nil {
		return c.now.Next, c.news, err
	}
	c.now = now
	close(c.news)
	c.news = make(chan struct{})
	return now.Next, c.news, nil
}

// promise has this holder take records of a writer, and of none before it.
func (h *Holder) promise(_ context.Context, p Promise) (any, error) {
	c, err := h.copy(p.Estate, p.Writer, p.Before)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now
	if err := now.Promise(p.Epoch, p.Writer, p.Before); err != nil {
		return nil, err
	}
	if now != c.now {
		if err := c.j.Append(journal.Record{Op: journal.OpGroupState, GroupState: &journal.GroupState{Group: p.Estate, Copy: now}}); err != nil {
			return nil, err
		}
		c.now = now
	}
	out := Promised{Copy: now, Stamp: h.now()}
	if p.Want && now.From != "" {
		out.Records = c.j.GroupRecords(p.Estate)
	}
	return out, nil
}
