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

// store has the files of log, votes and snapshots.
type store struct {
	log       *checkedLog
	snapshots *raft.FileSnapshotStore
}

// Retention limits. The log is truncated after a snapshot, and two snapshots are enough, so that there is one to fall
// back on.
const (
	retainedSnapshots = 2
	snapshotThreshold = 4096 // log entries between snapshots
	trailingEntries   = 1024 // log entries before a snapshot that are retained for keepers that were down for a while
)

func openStore(dir string) (s store, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return s, err
	}
	if s.log, err = openLog(filepath.Join(dir, "log.bolt")); err != nil {
		return s, err
	}
	if s.snapshots, err = raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, raftLogger()); err != nil {
		return s, errors.Join(err, s.log.Close())
	}
	return s, nil
}

// LogError is an error of a log file that the keeper cannot start from.
type LogError struct {
	Path string
	Err  error
}

func (e *LogError) Error() string { return e.Path + ": " + e.Err.Error() }
func (e *LogError) Unwrap() error { return e.Err }

// Remedy returns advice to the operator.
func (e *LogError) Remedy() string { return errDamagedLog.Advice }

// checkedLog verifies the checksum of each entry that is read, so that an entry damaged on this disk is not sent to other
// keepers.
type checkedLog struct{ *raftboltdb.BoltStore }

// GetLog reads and verifies an entry.
func (c *checkedLog) GetLog(index uint64, entry *raft.Log) error {
	if err := c.BoltStore.GetLog(index, entry); err != nil {
		return err
	}
	if entry.Type == raft.LogCommand {
		if _, err := verifyChecksum(entry.Data); err != nil {
			return fmt.Errorf("entry %d: %w", index, err)
		}
	}
	return nil
}

// openLog opens the log file and reads all of it. A file that is truncated or damaged is an error. The library reads it
// through a memory mapping, so that such a file would otherwise end the process later, or be accepted with other content.
func openLog(path string) (checked *checkedLog, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	var log *raftboltdb.BoltStore
	defer func() {
		if r := recover(); r != nil { // the file stays open and locked, as closing it would use damaged pages
			checked, err = nil, fmt.Errorf("%w: %v", errDamagedLog, r)
		}
		if err != nil {
			err = &LogError{path, err}
		}
	}()
	if log, err = raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: time.Second}}); err != nil {
		return nil, err
	}
	checked = &checkedLog{log}
	first, err := log.FirstIndex()
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	last, err := log.LastIndex()
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	for i := first; i <= last && i > 0; i++ {
		var entry raft.Log
		if err := checked.GetLog(i, &entry); err != nil {
			return nil, errors.Join(err, log.Close())
		}
		if entry.Index != i {
			return nil, errors.Join(fmt.Errorf("%w: entry %d has the index %d", errDamagedLog, i, entry.Index), log.Close())
		}
	}
	return checked, nil
}

// raftLogger returns a logger that passes the library's warnings to slog.
func raftLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: slogWriter{}, DisableTime: true})
}

// slogWriter logs each line that is written to it as a warning.
type slogWriter struct{}

func (slogWriter) Write(p []byte) (int, error) {
	for line := range bytes.Lines(p) {
		slog.Warn(string(bytes.TrimSpace(line)))
	}
	return len(p), nil
}

// raftConfig returns the configuration of the raft library, with election timeouts from the keeper's configuration.
func raftConfig(config *Config) *raft.Config {
	raftConf := raft.DefaultConfig()
	election := time.Duration(config.Election)
	raftConf.LocalID = raft.ServerID(config.Name)
	raftConf.HeartbeatTimeout, raftConf.ElectionTimeout, raftConf.LeaderLeaseTimeout = election, election, election/2
	raftConf.CommitTimeout = min(raftConf.CommitTimeout, election/10)
	raftConf.SnapshotThreshold, raftConf.TrailingLogs = snapshotThreshold, trailingEntries
	raftConf.SnapshotInterval = 30 * time.Second
	// The confirmations of a revision by thousands of members should need one or two messages: the library has at most two
	// in flight, so each further message takes as long as the delay between the keepers' regions. 1024 is the largest value
	// that the library accepts.
	raftConf.MaxAppendEntries = 1024
	raftConf.Logger = raftLogger()
	return raftConf
}

// raftServers returns all keepers in the form that the library needs.
func raftServers(c *Config) raft.Configuration {
	var all raft.Configuration
	for _, p := range c.allPeers() {
		all.Servers = append(all.Servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Raft)})
	}
	return all
}

// Recover makes the content of one folder the state of the cluster, whatever a quorum of keepers had. The keeper of that
// folder then forms a cluster with the peers that its configuration names now. Changes that it had not received are
// lost, so this is only for the case that most keepers' folders are lost. No keeper may run on the folder.
func Recover(config Config) error {
	if err := config.Check(); err != nil {
		return err
	}
	opened, err := openStore(config.Dir)
	if err != nil {
		return err
	}
	defer opened.log.Close()
	if hasState, err := raft.HasExistingState(opened.log, opened.log, opened.snapshots); err != nil || !hasState {
		return errors.Join(err, fmt.Errorf("%s has no state of a keeper", config.Dir))
	}
	_, transport := raft.NewInmemTransport("")
	return raft.RecoverCluster(raftConfig(&config), &recoveryMachine{newStateMachine()}, opened.log, opened.log, opened.snapshots, transport, raftServers(&config))
}

// recoveryMachine is a state machine whose numbers jump ahead when its snapshot is written.
type recoveryMachine struct{ *stateMachine }

// Snapshot returns the recovered state in serialized form.
func (r *recoveryMachine) Snapshot() (raft.FSMSnapshot, error) {
	r.read((*state.State).Recover)
	return r.stateMachine.Snapshot()
}
