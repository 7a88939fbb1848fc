package replication

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

	"larchrouter/internal/journal"
	"larchrouter/internal/remedy"
	"larchrouter/internal/replication/state"
	"larchrouter/internal/steady"
)

// partsOf is into how many parts a holder's disk is divided: it takes no more copies than that.
const maxStoredCopies = 8

// orderIn is for records that came before those that they follow: several batches are under way at a time.
const reorderWait = 100 * time.Millisecond

// Holder keeps copies of other relays' estates in a folder, and answers at the fleet address. It is safe for concurrent use.
type ReplicaServer struct {
	// Folder names the folder: one that lost its disk has another.
	Folder       string
	dir          string
	maxCopyBytes int64 // bytes of disk that one copy may take

	mu       sync.Mutex
	copies   map[uint64]*storedCopy
	server   *http.Server
	listener net.Listener
}

// copied is one copy.
type storedCopy struct {
	mu      sync.Mutex
	journal *journal.Journal
	state   state.Copy
	changed chan struct{} // closed with each batch
	closed  bool
	// unheld counts the looks since this relay is no longer on record for it.
	sweepsUnlisted int
}

// OpenHolder takes up the copies that an earlier process kept. One that cannot be read is none: who asks for it is told so.
func OpenReplicaServer(dir string, diskBytes int64) (*ReplicaServer, error) {
	server := &ReplicaServer{dir: filepath.Join(dir, "copies"), maxCopyBytes: CopyBudget(diskBytes), copies: map[uint64]*storedCopy{}}
	if err := os.MkdirAll(server.dir, 0o700); err != nil {
		return nil, &DiskError{server.dir, err}
	}
	name := filepath.Join(server.dir, "folder")
	text, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		text = []byte(rand.Text())
		err = os.WriteFile(name, text, 0o600)
	}
	if server.Folder = string(text); err != nil || server.Folder == "" || len(server.Folder) > maxNameBytes {
		return nil, &DiskError{name, errors.Join(err, errors.New("no name of the folder"))}
	}
	entries, err := os.ReadDir(server.dir)
	if err != nil {
		return nil, &DiskError{server.dir, err}
	}
	for _, entry := range entries {
		id, err := strconv.ParseUint(entry.Name(), 10, 64)
		if err != nil {
			continue
		}
		if _, err := server.openCopy(id); err != nil {
			slog.Error("a copy is not taken up", "estate", id, "err", err, "remedy", remedy.Of(err))
		}
	}
	return server, nil
}

// Disk is a folder that cannot be used.
type DiskError struct {
	Path string
	Err  error
}

func (d *DiskError) Error() string { return fmt.Sprintf("%s: %v", d.Path, d.Err) }
func (d *DiskError) Unwrap() error { return d.Err }

// Remedy says what an operator can do.
func (d *DiskError) Remedy() string {
	return "see whether the folder that lasts can be written and has room"
}

// open opens a copy's file. The lock is held, or nobody else has the holder yet.
func (s *ReplicaServer) openCopy(id uint64) (*storedCopy, error) {
	if c := s.copies[id]; c != nil {
		return c, nil
	}
	if len(s.copies) >= maxStoredCopies {
		return nil, &RefusedError{"this relay", http.StatusInsufficientStorage, "it has as many copies as its disk is for", "start more relays, or give them more disk_mb"}
	}
	dir := filepath.Join(s.dir, strconv.FormatUint(id, 10))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, &DiskError{dir, err}
	}
	j, err := journal.OpenCopy(dir, s.maxCopyBytes)
	if err != nil {
		return nil, &DiskError{dir, err}
	}
	c := &storedCopy{journal: j, changed: make(chan struct{})}
	if mark, ok := j.Mark(id); ok {
		c.state = mark.Copy
	}
	if j.Damaged() { // what has counted may be lost from it: it says so rather than pass for whole
		slog.Error("a copy is damaged", "estate", id)
		c.state.ContentWriter, c.state.ContentEpoch, c.state.Next = "", 0, 0
	}
	s.copies[id] = c
	return c, nil
}

// Close ends it. What was answered is on disk.
func (s *ReplicaServer) Close() {
	if s.server != nil {
		s.server.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.copies {
		c.mu.Lock()
		c.closed = true
		c.journal.Close()
		c.mu.Unlock()
	}
	s.copies = map[uint64]*storedCopy{}
}

func (s *ReplicaServer) stamp() Stamp { return Stamp{steady.UnixMilli(), s.Folder} }

// Len is how many copies it has.
func (s *ReplicaServer) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.copies)
}

func (s *ReplicaServer) copy(id uint64, names ...string) (*storedCopy, error) {
	for _, name := range names {
		if len(name) > maxNameBytes {
			return nil, &RefusedError{"this relay", http.StatusBadRequest, "a name is too long", ""}
		}
	}
	if id == 0 || len(names) == 0 || names[0] == "" {
		return nil, &RefusedError{"this relay", http.StatusBadRequest, "estate or writer is missing", ""}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openCopy(id)
}

// take takes records, or the whole.
func (s *ReplicaServer) acceptBatch(ctx context.Context, batch Batch) (any, error) {
	c, err := s.copy(batch.Group, batch.Writer)
	if err != nil {
		return nil, err
	}
	for _, r := range batch.Records {
		if r.Op == journal.OpMark || r.Op == journal.OpCount || r.Op == journal.OpTaken && (r.Entry == nil || r.Entry.Estate != batch.Group) {
			return nil, &RefusedError{"this relay", http.StatusBadRequest, "a record is none of an estate", ""}
		}
	}
	for deadline := time.Now().Add(reorderWait); ; {
		next, changed, err := c.accept(batch)
		var missing *state.MissingRecordsError
		if !errors.As(err, &missing) || !missing.Whole || batch.Whole || time.Now().After(deadline) {
			return BatchResponse{next, s.stamp()}, err
		}
		select {
		case <-changed: // what comes before may be among it
		case <-time.After(time.Until(deadline)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (c *storedCopy) accept(batch Batch) (next uint64, changed chan struct{}, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil, &RefusedError{"this relay", http.StatusServiceUnavailable, "it stops", "nothing: it comes back, or is replaced"}
	}
	updated, skip := c.state, uint64(0)
	if batch.Whole {
		err = updated.Reset(batch.Epoch, batch.Writer, batch.First)
	} else {
		skip, err = updated.Append(batch.Epoch, batch.Writer, batch.First, uint64(len(batch.Records)))
	}
	if err != nil {
		return c.state.Next, c.changed, err
	}
	mark := journal.Record{Op: journal.OpMark, Mark: &journal.Mark{Estate: batch.Group, Copy: updated}}
	switch {
	case batch.Whole:
		err = c.journal.Replace(append(batch.Records, mark)...)
	case updated == c.state:
	case updated.Epoch == c.state.Epoch && updated.ContentEpoch == c.state.ContentEpoch:
		err = c.journal.Append(append(batch.Records[skip:], journal.Record{Op: journal.OpCount, Estate: batch.Group, Next: updated.Next})...)
	default:
		err = c.journal.Append(append(batch.Records[skip:], mark)...)
	}
	if err != nil {
		return c.state.Next, c.changed, err
	}
	c.state = updated
	close(c.changed)
	c.changed = make(chan struct{})
	return updated.Next, c.changed, nil
}

// promise has this holder take records of a writer, and of none before it.
func (s *ReplicaServer) promise(_ context.Context, request PromiseRequest) (any, error) {
	c, err := s.copy(request.Group, request.Writer, request.Predecessor)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	updated := c.state
	if err := updated.Promise(request.Epoch, request.Writer, request.Predecessor); err != nil {
		return nil, err
	}
	if updated != c.state {
		if err := c.journal.Append(journal.Record{Op: journal.OpMark, Mark: &journal.Mark{Estate: request.Group, Copy: updated}}); err != nil {
			return nil, err
		}
		c.state = updated
	}
	answer := PromiseResponse{Copy: updated, Stamp: s.stamp()}
	if request.WantCopy && updated.ContentWriter != "" {
		answer.Records = c.journal.Whole(request.Group)
	}
	return answer, nil
}
