package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"

	"larchrouter/internal/fleet/lease"
	"larchrouter/internal/keeper/api"
)

// persistedState is the state that a relay stores for its next process.
type persistedState struct {
	Instance    string           `json:"instance"`
	Revision    uint64           `json:"turn"`
	Current     uint64           `json:"force"`
	Next        uint64           `json:"next"`
	Generations []api.Generation `json:"generations"`
}

func statePath(dir string) string { return filepath.Join(dir, "fleet") }

// save stores the grant that the relay is about to act on, with its documents, replacing the file as a whole. It does not sync the
// file: as with the journal, data that write(2) has accepted outlives the process.
func (m *Member) save(grant lease.Grant) error {
	state := persistedState{Instance: m.Instance, Revision: grant.Revision, Current: grant.Current, Next: grant.Next}
	for _, number := range []uint64{grant.Current, grant.Next} {
		if g, ok := m.generations[number]; ok {
			state.Generations = append(state.Generations, api.Generation{Number: number, Doc: g.document})
		}
	}
	data, err := json.Marshal(state)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("%08x %s\n", crc32.ChecksumIEEE(data), data)
	if err := os.WriteFile(m.path+".tmp", []byte(text), 0o600); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if err := os.Rename(m.path+".tmp", m.path); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// readState reads the stored state; nil if there is none.
func readState(path string) (*persistedState, error) {
	// A temporary copy left by a killed process is useless and takes space.
	if err := os.Remove(path + ".tmp"); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseState(data)
}

// parseState parses the text of the file. It returns an error unless the whole text is intact.
func parseState(data []byte) (*persistedState, error) {
	sum, text, ok := strings.Cut(strings.TrimSuffix(string(data), "\n"), " ")
	if !ok || sum != fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(text))) {
		return nil, errors.New("fleet: the checksum of the stored state does not match")
	}
	var state persistedState
	if err := json.Unmarshal([]byte(text), &state); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return &state, nil
}
