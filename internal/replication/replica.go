package replication

import (
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

	"golang.org/x/sync/semaphore"

	"larchrouter/internal/remedy"
	"larchrouter/internal/steady"
)

// maxStoredCopies is the number of copies that a replica stores at most; its disk is divided into as many equal parts.
const maxStoredCopies = 8

// reorderWait is how long a batch waits for the records before it: several batches are in flight at a time and may be reordered.
const reorderWait = 100 * time.Millisecond

// ReplicaServer stores copies of other relays' replication groups in a folder, and answers calls at the fleet address. It is
// safe for concurrent use.
type ReplicaServer struct {
	// Folder is the random name of the folder: a relay that lost its disk has another one.
	Folder       string
	dir          string
	maxCopyBytes int64 // bytes of disk that one copy may take
	bodyBytes    int64 // bytes that the bodies of all calls may take together
	bodies       *semaphore.Weighted

	mu       sync.Mutex
	copies   map[uint64]*storedCopy
	closed   bool // by Close: the folder may belong to the next process
	server   *http.Server
	listener net.Listener
}

// errReplicaStops refuses a call because this process no longer owns the copies.
var errReplicaStops = &RefusedError{"this relay", http.StatusServiceUnavailable, "it stops", "nothing: it comes back, or is replaced"}

// OpenReplicaServer opens the copies that an earlier process stored under dir; diskBytes is the space for all copies. A copy
// that cannot be read is logged and left out, so that the relay answers as one that has no copy. The error is a *DiskError.
func OpenReplicaServer(dir string, diskBytes int64) (*ReplicaServer, error) {
	server := &ReplicaServer{dir: filepath.Join(dir, "copies"), maxCopyBytes: CopyBudget(diskBytes), copies: map[uint64]*storedCopy{}}
	server.LimitBodies(defaultBodyMemory)
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
			slog.Error("a stored copy cannot be opened", "estate", id, "err", err, "remedy", remedy.Of(err))
		}
	}
	return server, nil
}

// DiskError says that a file or folder cannot be used.
type DiskError struct {
	Path string
	Err  error
}

func (d *DiskError) Error() string { return fmt.Sprintf("%s: %v", d.Path, d.Err) }
func (d *DiskError) Unwrap() error { return d.Err }

// Remedy returns what an operator can do about the error.
func (d *DiskError) Remedy() string {
	return "see whether the folder that lasts can be written and has room"
}

// Close stops the server and closes the copies. Everything that was confirmed is on disk.
func (s *ReplicaServer) Close() {
	if s.server != nil {
		s.server.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, c := range s.copies {
		c.mu.Lock()
		c.closed = true
		c.journal.Close()
		c.mu.Unlock()
	}
	s.copies = map[uint64]*storedCopy{}
}

// stamp returns the stamp of an answer that is sent now.
func (s *ReplicaServer) currentStamp() Stamp { return Stamp{steady.UnixMilli(), s.Folder} }

// Len returns the number of stored copies.
func (s *ReplicaServer) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.copies)
}
