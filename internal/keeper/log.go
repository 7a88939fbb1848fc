package keeper

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"larchrouter/internal/keeper/state"
)

// stateMachine applies the entries of the raft log to the state.
type stateMachine struct {
	mu      sync.Mutex
	state   *state.State
	changed chan struct{} // closed and replaced when members have to be notified
	failed  chan error    // receives an error if an entry is damaged and the keeper cannot go on
}

func newStateMachine() *stateMachine {
	return &stateMachine{state: state.New(), changed: make(chan struct{}), failed: make(chan error, 1)}
}

// crcTable has the Castagnoli polynomial, for which processors have an instruction.
var crcTable = crc32.MakeTable(crc32.Castagnoli)

// addChecksum prepends a checksum to an entry, because the log file has none of its own for entries.
func addChecksum(payload []byte) []byte {
	return append(binary.LittleEndian.AppendUint32(nil, crc32.Checksum(payload, crcTable)), payload...)
}

// errDamagedLog reports that an entry is not what was written.
var errDamagedLog = &UnavailableError{"the log is damaged", "start with an empty folder to learn from the others, or go on from another one with recover"}

// verifyChecksum checks the checksum of an entry and returns the payload.
func verifyChecksum(data []byte) ([]byte, error) {
	if len(data) < 4 || crc32.Checksum(data[4:], crcTable) != binary.LittleEndian.Uint32(data) {
		return nil, errDamagedLog
	}
	return data[4:], nil
}

// read calls visit with the state, under the lock. visit must not retain anything of the state.
func (m *stateMachine) read(visit func(*state.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	visit(m.state)
}

// changeSignal returns a channel that is closed at the next change that members have to be notified of.
func (m *stateMachine) changeSignal() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// notifyWaiters wakes all that wait for a change. The caller holds the lock.
func (m *stateMachine) notifyWaiters() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Apply applies the next entry of the log. An entry that is intact but no valid event is refused at every keeper alike.
func (m *stateMachine) Apply(entry *raft.Log) any {
	var event state.Event
	payload, err := verifyChecksum(entry.Data)
	if err != nil { // the entry differs from that of other keepers, so this keeper must not go on
		select {
		case m.failed <- fmt.Errorf("entry %d: %w", entry.Index, err):
		default:
		}
		return state.Result{Err: err}
	}
	if json.Unmarshal(payload, &event) != nil { // it was proposed like this, so every keeper treats it as an invalid event
		event = state.Event{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.state.Apply(event)
	if result.Changed {
		m.notifyWaiters()
	}
	return result
}

// Snapshot returns the present state in serialized form.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := m.state.Snapshot()
	return snapshotBytes(data), err
}

// Restore replaces the state by that of a snapshot, or leaves it unchanged on an error.
func (m *stateMachine) Restore(r io.ReadCloser) error {
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
	m.notifyWaiters()
	return nil
}

// snapshotBytes is a serialized state.
type snapshotBytes []byte

// Persist writes the snapshot to a sink.
func (s snapshotBytes) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release does nothing, as a snapshot holds no resources.
func (snapshotBytes) Release() {}

// raftNetwork is the network layer between keepers: plain TCP, from the local address that the configuration names.
type raftNetwork struct {
	*net.TCPListener
	dialer     net.Dialer
	advertised net.Addr
}

// Addr returns the address at which other keepers reach this one.
func (n *raftNetwork) Addr() net.Addr { return n.advertised }

// Dial connects to another keeper.
func (n *raftNetwork) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialer := n.dialer
	dialer.Timeout = timeout
	return dialer.Dial("tcp", string(addr))
}

func newRaftNetwork(config *Config, self Peer) (*raftNetwork, error) {
	listener, err := net.Listen("tcp", config.Raft)
	if err != nil {
		return nil, fmt.Errorf("raft: %w", err)
	}
	advertised, err := net.ResolveTCPAddr("tcp", self.Raft)
	if err != nil {
		listener.Close()
		return nil, fmt.Errorf("raft: %w", err)
	}
	network := &raftNetwork{TCPListener: listener.(*net.TCPListener), advertised: advertised}
	if config.Source != "" {
		network.dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(config.Source)}
	}
	return network, nil
}
