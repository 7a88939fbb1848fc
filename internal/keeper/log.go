package keeper

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"larchrouter/internal/keeper/state"
)

// machine is the state machine under the log.
type machine struct {
	mu      sync.Mutex
	state   *state.State
	changed chan struct{} // closed with each turn
	failed  chan error    // an entry could not be read: the keeper cannot go on
}

func newMachine() *machine {
	return &machine{state: state.New(), changed: make(chan struct{}), failed: make(chan error, 1)}
}

// castagnoli is the polynomial that processors have an instruction for.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// framed puts a checksum before an entry: the file of the log has none of its own for them.
func framed(payload []byte) []byte {
	return append(binary.LittleEndian.AppendUint32(nil, crc32.Checksum(payload, castagnoli)), payload...)
}

// errDamaged says that an entry is not what was written.
var errDamaged = errors.New("the log is damaged")

// unframed checks an entry.
func unframed(data []byte) ([]byte, error) {
	if len(data) < 4 || crc32.Checksum(data[4:], castagnoli) != binary.LittleEndian.Uint32(data) {
		return nil, errDamaged
	}
	return data[4:], nil
}

// read looks at the state. What it hands out must not be kept.
func (m *machine) read(look func(*state.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	look(m.state)
}

// turned is closed when the next turn begins.
func (m *machine) turned() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// tell wakes whoever waits for a turn. The lock is held.
func (m *machine) tell() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Apply takes in the next entry of the log. One that cannot be read is none at every keeper alike.
func (m *machine) Apply(l *raft.Log) any {
	var e state.Event
	payload, err := unframed(l.Data)
	if err != nil { // it differs from what the others have: this keeper must not go on
		select {
		case m.failed <- fmt.Errorf("entry %d: %w", l.Index, err):
		default:
		}
		return state.Result{Err: err}
	}
	if json.Unmarshal(payload, &e) != nil { // it was written so, and is no event at every keeper alike
		e = state.Event{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.state.Apply(e)
	if r.Changed {
		m.tell()
	}
	return r
}

// Snapshot holds the state as it is now.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := m.state.Snapshot()
	return frozen(data), err
}

// Restore takes the state from a snapshot, whole or not at all.
func (m *machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	s, err := state.Restore(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.tell()
	return nil
}

// frozen is a state as bytes.
type frozen []byte

// Persist writes it.
func (f frozen) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(f); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release has nothing to give back.
func (frozen) Release() {}

// wire is the keepers' own network: plain TCP, from the address that the configuration names.
type wire struct {
	*net.TCPListener
	dialer net.Dialer
	told   net.Addr
}

// Addr is where others reach this keeper.
func (w *wire) Addr() net.Addr { return w.told }

// Dial reaches another.
func (w *wire) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	d := w.dialer
	d.Timeout = timeout
	return d.Dial("tcp", string(addr))
}

func newWire(c *Config, self Peer) (*wire, error) {
	l, err := net.Listen("tcp", c.Raft)
	if err != nil {
		return nil, fmt.Errorf("raft: %w", err)
	}
	told, err := net.ResolveTCPAddr("tcp", self.Raft)
	if err != nil {
		l.Close()
		return nil, fmt.Errorf("raft: %w", err)
	}
	w := &wire{TCPListener: l.(*net.TCPListener), told: told}
	if c.Source != "" {
		w.dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.Source)}
	}
	return w, nil
}

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
			err = fmt.Errorf("%s: %w. Start with an empty folder to learn from the others, or go on from another one with recover", path, err)
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
	r.MaxAppendEntries = 64
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
