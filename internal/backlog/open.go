package backlog

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"larchrouter/internal/backlog/state"
	"larchrouter/internal/steady"
)

// Open opens the backlog in a folder and creates the folder if it does not exist. A folder of another format is a
// VersionError. Damage is repaired and can be read with TakeDamageReports.
func Open(dir string, options Options) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, &FileError{"cannot be created", dir, err}
	}
	folder, err := newFolder(dir, cmp.Or(options.MaxOpenFiles, 16), options.injectFault)
	if err != nil {
		return nil, err
	}
	indexes, err := newIndexReader(folder)
	if err != nil {
		return nil, err
	}
	now := options.now
	if now == nil {
		now = steady.Now
	}
	store := &Store{folder: folder, indexes: indexes, dueLists: map[*state.Segment]dueList{}, now: now,
		state: state.New(state.Limits{DiskBytes: options.DiskBytes, MinSegmentBytes: cmp.Or(options.MinSegmentBytes, 256<<10), MaxSegmentBytes: cmp.Or(options.MaxSegmentBytes, 4<<20)})}
	segments, leftovers, err := store.listSegments()
	if err == nil {
		err = store.readVersion(segments)
	}
	if err == nil {
		err = store.loadAll(segments)
	}
	for i := 0; err == nil && i < len(leftovers); i++ {
		err = store.folder.remove(leftovers[i])
	}
	if err != nil {
		store.Close()
		return nil, err
	}
	return store, nil
}

// segmentFiles lists the files that a folder has of one segment.
type segmentFiles struct {
	hasIndex bool
	rewrites []uint32 // number of rewrites of each data file
}

// parseFileName parses the name of a segment's file. rewrite is the number of rewrites of a data file, -1 for an index file.
func parseFileName(fileName string) (dest int, first uint64, rewrite int64, ok bool) {
	stem, suffix, _ := strings.Cut(fileName, ".")
	if n, err := fmt.Sscanf(stem, "%d-%x", &dest, &first); n != 2 || err != nil {
		return 0, 0, 0, false
	}
	var number uint32
	if rewrite = -1; suffix != "idx" {
		if n, err := fmt.Sscanf(suffix, "%d.dat", &number); n != 1 || err != nil {
			return 0, 0, 0, false
		}
		rewrite = int64(number)
	}
	segment := &state.Segment{Dest: dest, First: first, Rewrites: number}
	return dest, first, rewrite, fileName == dataFileName(segment) || rewrite < 0 && fileName == indexFileName(segment)
}

type segmentKey struct {
	dest  int
	first uint64
}

// listSegments returns the files of each segment, and the temporary index files that a killed process left.
func (s *Store) listSegments() (segments map[segmentKey]*segmentFiles, leftovers []string, err error) {
	dirEntries, err := os.ReadDir(s.folder.dir)
	if err != nil {
		return nil, nil, s.folder.fileError("cannot be read", "", err)
	}
	segments = map[segmentKey]*segmentFiles{}
	for _, f := range dirEntries {
		if strings.HasSuffix(f.Name(), ".idx.tmp") {
			leftovers = append(leftovers, f.Name())
		}
		dest, first, rewrite, ok := parseFileName(f.Name())
		if !ok {
			continue
		}
		key := segmentKey{dest, first}
		if segments[key] == nil {
			segments[key] = &segmentFiles{}
		}
		if rewrite < 0 {
			segments[key].hasIndex = true
		} else {
			segments[key].rewrites = append(segments[key].rewrites, uint32(rewrite))
		}
	}
	return segments, leftovers, nil
}

// loadAll loads the segments, then the table.
func (s *Store) loadAll(segments map[segmentKey]*segmentFiles) error {
	sorted := slices.SortedFunc(maps.Keys(segments), func(a, b segmentKey) int {
		return cmp.Or(cmp.Compare(a.dest, b.dest), cmp.Compare(a.first, b.first))
	})
	for i, key := range sorted {
		isTail := i+1 == len(sorted) || sorted[i+1].dest != key.dest
		if err := s.loadSegment(&state.Segment{Dest: key.dest, First: key.first, Last: key.first, EarliestDue: noDueTime}, segments[key], isTail); err != nil {
			return err
		}
	}
	s.committedSequence = s.lastSequence
	s.table = s.newTable(tableFileName)
	var size int64
	if f, err := os.Stat(filepath.Join(s.folder.dir, tableFileName)); err == nil {
		size = f.Size()
	}
	if s.state.Len() == 0 && size != pageSize {
		return s.table.create()
	}
	if err := s.table.load(size); !errors.Is(err, errDamagedTable) {
		return err
	}
	return s.withRepair(s.rebuildTable)
}
