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
var errDamaged = &Unable{"the log is damaged", "start with an empty folder to learn from the others, or go on from another one with recover"}

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
