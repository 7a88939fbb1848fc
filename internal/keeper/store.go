package keeper

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"larchrouter/internal/keeper/state"
)

// store is where log, votes and snapshots are.
type store struct {
	log       *checked
	snapshots *raft.FileSnapshotStore
}

// The sizes of what is kept: the log is cut behind a snapshot, and two of those are enough to go back to.
const (
	snapshotsKept = 2
	snapshotAfter = 4096 // entries
	trailing      = 1024 // entries kept behind a snapshot, for a keeper that was away for a while
)

func openStore(dir string) (s store, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return s, err
	}
	if s.log, err = openLog(filepath.Join(dir, "log.bolt")); err != nil {
		return s, err
	}
	if s.snapshots, err = raft.NewFileSnapshotStoreWithLogger(dir, snapshotsKept, logger()); err != nil {
		return s, errors.Join(err, s.log.Close())
	}
	return s, nil
}

// BadLog is a log that cannot be gone on from.
type BadLog struct {
	Path string
	Err  error
}

func (b *BadLog) Error() string { return b.Path + ": " + b.Err.Error() }
func (b *BadLog) Unwrap() error { return b.Err }

// Remedy says what an operator can do.
func (b *BadLog) Remedy() string { return errDamaged.Advice }

// checked is a log whose entries are checked as they are read, so that one damaged on this disk reaches no other keeper.
type checked struct{ *raftboltdb.BoltStore }

// GetLog reads an entry.
func (c *checked) GetLog(index uint64, l *raft.Log) error {
	if err := c.BoltStore.GetLog(index, l); err != nil {
		return err
	}
	if l.Type == raft.LogCommand {
		if _, err := unframed(l.Data); err != nil {
			return fmt.Errorf("entry %d: %w", index, err)
		}
	}
	return nil
}

// openLog opens the file of the log and reads all of it. A file that was cut or has other bytes than were written is an
// error: read through a mapping, as the library does, it would end the process later, or be taken for what it is not.
func openLog(path string) (c *checked, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	var log *raftboltdb.BoltStore
	defer func() {
		if r := recover(); r != nil { // the file stays open and locked: its pages cannot be trusted with a close
			c, err = nil, fmt.Errorf("%w: %v", errDamaged, r)
		}
		if err != nil {
			err = &BadLog{path, err}
		}
	}()
	if log, err = raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: time.Second}}); err != nil {
		return nil, err
	}
	c = &checked{log}
	first, err := log.FirstIndex()
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	last, err := log.LastIndex()
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	for i := first; i <= last && i > 0; i++ {
		var l raft.Log
		if err := c.GetLog(i, &l); err != nil {
			return nil, errors.Join(err, log.Close())
		}
		if l.Index != i {
			return nil, errors.Join(fmt.Errorf("%w: entry %d says that it is %d", errDamaged, i, l.Index), log.Close())
		}
	}
	return c, nil
}

// logger passes the library's warnings to slog.
func logger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: lines{}, DisableTime: true})
}

// lines logs each line that is written to it.
type lines struct{}

func (lines) Write(p []byte) (int, error) {
	for line := range bytes.Lines(p) {
		slog.Warn(string(bytes.TrimSpace(line)))
	}
	return len(p), nil
}

// raftConfig is how the library is to work: elections within the time that the configuration says.
func raftConfig(c *Config) *raft.Config {
	r := raft.DefaultConfig()
	election := time.Duration(c.Election)
	r.LocalID = raft.ServerID(c.Name)
	r.HeartbeatTimeout, r.ElectionTimeout, r.LeaderLeaseTimeout = election, election, election/2
	r.CommitTimeout = min(r.CommitTimeout, election/10)
	r.SnapshotThreshold, r.TrailingLogs = snapshotAfter, trailing
	r.SnapshotInterval = 30 * time.Second
	// A turn's confirmations, of thousands of members, go in a message or two: the library has two on their way at the most, so
	// each further one costs as long as the keepers' regions are apart. 1024 is the most that it takes.
	r.MaxAppendEntries = 1024
	r.Logger = logger()
	return r
}

// servers are all keepers as the library has them.
func servers(c *Config) raft.Configuration {
	var all raft.Configuration
	for _, p := range c.peers() {
		all.Servers = append(all.Servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Raft)})
	}
	return all
}

// Recover has what one folder holds be all there is: its keeper then stands with the peers that its configuration names
// now, whatever most of them knew. Changes that this one had not heard of are lost, so it is for the case that most
// folders are. No keeper may run on the folder.
func Recover(c Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	s, err := openStore(c.Dir)
	if err != nil {
		return err
	}
	defer s.log.Close()
	if known, err := raft.HasExistingState(s.log, s.log, s.snapshots); err != nil || !known {
		return errors.Join(err, fmt.Errorf("%s holds no state of a keeper", c.Dir))
	}
	_, transport := raft.NewInmemTransport("")
	return raft.RecoverCluster(raftConfig(&c), &recovered{newMachine()}, s.log, s.log, s.snapshots, transport, servers(&c))
}

// recovered is a machine whose state jumps ahead as it is written.
type recovered struct{ *machine }

// Snapshot holds the state to go on from.
func (r *recovered) Snapshot() (raft.FSMSnapshot, error) {
	r.read((*state.State).Recover)
	return r.machine.Snapshot()
}
