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

// The file VERSION has the format of the folder's files and the folder's salt, which is in each index file too. Other
// formats must begin with another line.
const (
	versionFileName = "VERSION"
	versionPrefix   = "larchrouter backlog 1 "
	saltSize        = 16
)

func versionText(salt []byte) []byte {
	b := fmt.Appendf(nil, "%s%x ", versionPrefix, salt)
	return fmt.Appendf(b, "%08x\n", crc32.Checksum(b, castagnoliTable))
}

// readVersion checks the format of the folder and writes the file for a new folder. A damaged file is rewritten with the
// salt from the index files.
func (s *Store) readVersion(segments map[segmentKey]*segmentFiles) error {
	content, err := s.folder.readFile(versionFileName)
	missing := errors.Is(err, fs.ErrNotExist)
	if err != nil && !missing {
		return err
	}
	salt := make([]byte, saltSize)
	if _, err := fmt.Sscanf(string(content), versionPrefix+"%x", &salt); err == nil && bytes.Equal(content, versionText(salt)) {
		s.setSalt(salt)
		return nil
	}
	if missing && len(segments) == 0 {
		rand.Read(salt)
		s.setSalt(salt)
		return s.folder.replace(versionFileName, versionText(salt))
	}
	if salt = s.segmentSalt(segments); salt == nil || !isDamagedVersion(string(content)) {
		return &VersionError{filepath.Join(s.folder.dir, versionFileName), strings.TrimSpace(string(content[:min(len(content), 64)])), strings.TrimSpace(versionPrefix)}
	}
	s.reportDamage(&DamageError{Segment: versionFileName, Reason: "it was rewritten"})
	s.setSalt(salt)
	return s.folder.replace(versionFileName, versionText(salt))
}

func (s *Store) setSalt(salt []byte) {
	s.folderSalt, s.frameSalt = salt, littleEndian.Uint32(salt)
}

// isDamagedVersion distinguishes a damaged line of this format from an intact line of another format.
func isDamagedVersion(line string) bool {
	sample := string(versionText(make([]byte, saltSize)))
	salt, sum := line, ""
	if i := strings.LastIndexByte(line, ' '); i > 0 {
		salt, sum = line[:i+1], line[i+1:]
	}
	intact := sum == fmt.Sprintf("%08x\n", crc32.Checksum([]byte(salt), castagnoliTable))
	return !intact && (len(line) == len(sample) || strings.HasPrefix(versionPrefix, line) || strings.HasPrefix(line, versionPrefix))
}

// segmentSalt returns the salt from the index files, nil if none is readable.
func (s *Store) segmentSalt(segments map[segmentKey]*segmentFiles) []byte {
	for key, files := range segments {
		if !files.hasIndex {
			continue
		}
		b := make([]byte, state.HeaderSize)
		n, err := s.folder.read(indexFileName(&state.Segment{Dest: key.dest, First: key.first}), b, 0)
		if _, _, _, ok := decodeHeader(b[:n], key.dest, key.first); err == nil && ok && littleEndian.Uint32(b[saltOffset+saltSize:]) == crc32.Checksum(b[saltOffset:saltOffset+saltSize], castagnoliTable) {
			return b[saltOffset : saltOffset+saltSize]
		}
	}
	return nil
}
