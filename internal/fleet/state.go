package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"

	"larchrouter/internal/fleet/hold"
	"larchrouter/internal/keeper/api"
)

// kept is what a relay leaves to its next process.
type kept struct {
	Instance    string           `json:"instance"`
	Turn        uint64           `json:"turn"`
	Force       uint64           `json:"force"`
	Next        uint64           `json:"next"`
	Generations []api.Generation `json:"generations"`
}

func statePath(dir string) string { return filepath.Join(dir, "fleet") }

// save puts what the relay is about to act by on disk, whole. As with the journal, what write(2) has taken outlasts
// the process.
func (k *Kept) save(t hold.Told) error {
	s := kept{Instance: k.Instance, Turn: t.Turn, Force: t.Force, Next: t.Next}
	for _, n := range []uint64{t.Force, t.Next} {
		if g, ok := k.docs[n]; ok {
			s.Generations = append(s.Generations, api.Generation{Number: n, Doc: g.doc})
		}
	}
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("%08x %s\n", crc32.ChecksumIEEE(data), data)
	if err := os.WriteFile(k.path+".tmp", []byte(text), 0o600); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if err := os.Rename(k.path+".tmp", k.path); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// readState reads what was kept; nil where nothing was.
func readState(path string) (*kept, error) {
	// A copy that a kill cut short is of no use, and takes room.
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

// parseState reads the text of the file, whole or not at all.
func parseState(data []byte) (*kept, error) {
	sum, text, ok := strings.Cut(strings.TrimSuffix(string(data), "\n"), " ")
	if !ok || sum != fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(text))) {
		return nil, errors.New("fleet: the checksum differs")
	}
	var s kept
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return &s, nil
}
