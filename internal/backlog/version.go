package backlog

import (
	"bytes"
	"crypto/rand"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"path/filepath"
	"strings"

	"larchrouter/internal/backlog/state"
)

// VERSION says the format of the folder's files and the folder's salt, which each segment has too. Other formats have to
// begin with another line.
const (
	versionName = "VERSION"
	versionLine = "larchrouter backlog 1 "
	saltLen     = 16
)

func versionText(salt []byte) []byte {
	b := fmt.Appendf(nil, "%s%x ", versionLine, salt)
	return fmt.Appendf(b, "%08x\n", crc32.Checksum(b, castagnoli))
}

// readVersion checks whose folder it is, and marks one that is new. Of one that is damaged the segments know the salt.
func (s *Store) readVersion(segments map[segmentKey]*files) error {
	b, err := s.d.whole(versionName)
	missing := errors.Is(err, fs.ErrNotExist)
	if err != nil && !missing {
		return err
	}
	salt := make([]byte, saltLen)
	if _, err := fmt.Sscanf(string(b), versionLine+"%x", &salt); err == nil && bytes.Equal(b, versionText(salt)) {
		s.setSalt(salt)
		return nil
	}
	if missing && len(segments) == 0 {
		rand.Read(salt)
		s.setSalt(salt)
		return s.d.replace(versionName, versionText(salt))
	}
	if salt = s.saltOf(segments); salt == nil || !damagedVersion(string(b)) {
		return &Version{filepath.Join(s.d.dir, versionName), strings.TrimSpace(string(b[:min(len(b), 64)])), strings.TrimSpace(versionLine)}
	}
	s.damaged(&Damage{Segment: versionName, Why: "it was written anew"})
	s.setSalt(salt)
	return s.d.replace(versionName, versionText(salt))
}

func (s *Store) setSalt(salt []byte) {
	s.saltAll, s.salt = salt, le.Uint32(salt)
}

// damagedVersion tells a line of this format that is cut or flipped from another's.
func damagedVersion(line string) bool {
	own := string(versionText(make([]byte, saltLen)))
	salt, sum := line, ""
	if i := strings.LastIndexByte(line, ' '); i > 0 {
		salt, sum = line[:i+1], line[i+1:]
	}
	whole := sum == fmt.Sprintf("%08x\n", crc32.Checksum([]byte(salt), castagnoli))
	return !whole && (len(line) == len(own) || strings.HasPrefix(versionLine, line) || strings.HasPrefix(line, versionLine))
}

// saltOf is the salt that the segments have; nil if none is readable.
func (s *Store) saltOf(segments map[segmentKey]*files) []byte {
	for k, has := range segments {
		if !has.index {
			continue
		}
		b := make([]byte, state.Header)
		n, err := s.d.read(indexName(&state.Segment{Dest: k.dest, First: k.first}), b, 0)
		if _, _, _, ok := readHeader(b[:n], k.dest, k.first); err == nil && ok && le.Uint32(b[saltAt+saltLen:]) == crc32.Checksum(b[saltAt:saltAt+saltLen], castagnoli) {
			return b[saltAt : saltAt+saltLen]
		}
	}
	return nil
}
