// Package steady provides a clock that steps of the wall clock do not affect, neither within a process nor from one process to the
// next on the same machine. It reads as Unix time, so that stored times stay comparable across a boot, and advances with
// CLOCK_MONOTONIC. The first process that uses a folder after a boot determines the difference of the two and stores it there.
package steady

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"larchrouter/internal/smallfile"
)

// anchor is one moment as read on the process's clock and on the steady clock.
type anchor struct {
	process time.Time // with its monotonic reading
	steady  time.Time
}

var current atomic.Pointer[anchor]

func init() {
	now := time.Now()
	current.Store(&anchor{process: now, steady: now.Round(0)})
}

// Now returns the steady time.
func Now() time.Time {
	a := current.Load()
	return a.steady.Add(time.Since(a.process))
}

// UnixMilli returns the steady time in Unix milliseconds, as it is stored in records.
func UnixMilli() int64 { return Now().UnixMilli() }

// Since returns the time elapsed since a steady time in Unix milliseconds.
func Since(milli int64) time.Duration { return Now().Sub(time.UnixMilli(milli)) }

// Until returns the time until a steady time in Unix milliseconds.
func Until(milli int64) time.Duration { return time.UnixMilli(milli).Sub(Now()) }

// fileName is the name of the anchor's file in the persistent folder.
const fileName = "clock"

// storedAnchor is the content of the anchor's file.
type storedAnchor struct {
	Boot   string        `json:"boot"`
	Offset time.Duration `json:"offset_ns"` // steady Unix time minus CLOCK_MONOTONIC
}

// ClockError reports that the steady time of a folder cannot be read or stored. The process has a steady time all the same. The next
// process may start another one, which differs by the steps of the wall clock in between.
type ClockError struct {
	Op  string
	Err error
}

func (e *ClockError) Error() string { return "steady clock: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ClockError) Unwrap() error { return e.Err }

// Remedy returns what an operator can do about the error.
func (e *ClockError) Remedy() string {
	return "Make the folder that lasts writable; until then keep the wall clock from being stepped while the program restarts."
}

// Anchor makes the process continue the steady time of a folder, or start one there. It must be called before any time from
// records of that folder is used. Its errors are of type *ClockError.
func Anchor(dir string) error {
	boot, err := bootID()
	if err != nil {
		return &ClockError{"boot id", err}
	}
	now, monotonic, err := readClocks()
	if err != nil {
		return &ClockError{"monotonic clock", err}
	}
	path := filepath.Join(dir, fileName)
	var stored storedAnchor
	if smallfile.Read(path, &stored) && stored.Boot == boot {
		current.Store(&anchor{process: now, steady: time.Unix(0, int64(monotonic+stored.Offset))})
		return nil
	}
	offset := time.Duration(Now().UnixNano()) - monotonic
	if err := smallfile.Write(path, storedAnchor{Boot: boot, Offset: offset}); err != nil {
		return &ClockError{"keep", err}
	}
	return nil
}

// readClocks reads the process's clock and CLOCK_MONOTONIC at the same moment.
func readClocks() (now time.Time, monotonic time.Duration, err error) {
	var ts unix.Timespec
	now = time.Now()
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return now, 0, err
	}
	return now, time.Duration(ts.Nano()), nil
}

// bootID returns the identifier of the machine's present boot. CLOCK_MONOTONIC starts anew with each boot.
func bootID() (string, error) {
	data, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return "", err
	}
	id := strings.TrimSpace(string(data))
	if id == "" {
		return "", errors.New("boot id is empty")
	}
	return id, nil
}
