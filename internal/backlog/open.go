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

// Open takes up what lies in a folder; it makes the folder if there is none.
func Open(dir string, o Options) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, &FileError{"cannot be made", dir, err}
	}
	d, err := newFolder(dir, cmp.Or(o.MaxOpenFiles, 16), o.injectFault)
	if err != nil {
		return nil, err
	}
	e, err := newIndexReader(d)
	if err != nil {
		return nil, err
	}
	now := o.now
	if now == nil {
		now = steady.Now
	}
	s := &Store{folder: d, indexes: e, dueLists: map[*state.Segment]dueList{}, now: now,
		state: state.New(state.Limits{DiskBytes: o.DiskBytes, MinSegmentBytes: cmp.Or(o.MinSegmentBytes, 256<<10), MaxSegmentBytes: cmp.Or(o.MaxSegmentBytes, 4<<20)})}
	all, left, err := s.listSegments()
	if err == nil {
		err = s.readVersion(all)
	}
	if err == nil {
		err = s.loadAll(all)
	}
	for i := 0; err == nil && i < len(left); i++ {
		err = s.folder.remove(left[i])
	}
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// files is what a folder has of one segment.
type segmentFiles struct {
	hasIndex bool
	rewrites []uint32 // of data
}

// name reads a file's name; last is its generation, -1 for entries.
func parseFileName(of string) (dest int, first uint64, gen int64, ok bool) {
	stem, suffix, _ := strings.Cut(of, ".")
	if n, err := fmt.Sscanf(stem, "%d-%x", &dest, &first); n != 2 || err != nil {
		return 0, 0, 0, false
	}
	var g uint32
	if gen = -1; suffix != "idx" {
		if n, err := fmt.Sscanf(suffix, "%d.dat", &g); n != 1 || err != nil {
			return 0, 0, 0, false
		}
		gen = int64(g)
	}
	seg := &state.Segment{Dest: dest, First: first, Rewrites: g}
	return dest, first, gen, of == dataFileName(seg) || gen < 0 && of == indexFileName(seg)
}

type segmentKey struct {
	dest  int
	first uint64
}

// list is the segments that there are files of, and what a kill left half written.
func (s *Store) listSegments() (all map[segmentKey]*segmentFiles, left []string, err error) {
	list, err := os.ReadDir(s.folder.dir)
	if err != nil {
		return nil, nil, s.folder.fileError("cannot be read", "", err)
	}
	all = map[segmentKey]*segmentFiles{}
	for _, f := range list {
		if strings.HasSuffix(f.Name(), ".idx.tmp") {
			left = append(left, f.Name())
		}
		dest, first, gen, ok := parseFileName(f.Name())
		if !ok {
			continue
		}
		k := segmentKey{dest, first}
		if all[k] == nil {
			all[k] = &segmentFiles{}
		}
		if gen < 0 {
			all[k].hasIndex = true
		} else {
			all[k].rewrites = append(all[k].rewrites, uint32(gen))
		}
	}
	return all, left, nil
}

// readAll takes up the segments, then the table.
func (s *Store) loadAll(all map[segmentKey]*segmentFiles) error {
	sorted := slices.SortedFunc(maps.Keys(all), func(a, b segmentKey) int {
		return cmp.Or(cmp.Compare(a.dest, b.dest), cmp.Compare(a.first, b.first))
	})
	for i, k := range sorted {
		tail := i+1 == len(sorted) || sorted[i+1].dest != k.dest
		if err := s.loadSegment(&state.Segment{Dest: k.dest, First: k.first, Last: k.first, EarliestDue: noDueTime}, all[k], tail); err != nil {
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
