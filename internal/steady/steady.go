// Package steady tells a time that steps of the wall clock do not move, neither within a process nor from one process to the
// next on the same machine. It reads as Unix time, so that what is written by it stays comparable across a boot, and advances
// with CLOCK_MONOTONIC. The difference of the two is fixed by the first process that uses a folder after a boot, and kept
// there.
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

// anchor is a moment on both clocks: the process's own and the steady time.
type anchor struct {
	process time.Time // with its monotonic reading
	steady  time.Time
}

var current atomic.Pointer[anchor]

func init() {
	now := time.Now()
	current.Store(&anchor{process: now, steady: now.Round(0)})
}

// Now is the steady time.
func Now() time.Time {
	a := current.Load()
	return a.steady.Add(time.Since(a.process))
}

// UnixMilli is the steady time in milliseconds, as records keep it.
func UnixMilli() int64 { return Now().UnixMilli() }

// Since is how long ago a time in steady milliseconds was.
func Since(milli int64) time.Duration { return Now().Sub(time.UnixMilli(milli)) }

// Until is how long it is to a time in steady milliseconds.
func Until(milli int64) time.Duration { return time.UnixMilli(milli).Sub(Now()) }

// fileName is the anchor's file in a folder that lasts.
const fileName = "clock"

// kept is what the file holds.
type storedAnchor struct {
	Boot   string        `json:"boot"`
	Offset time.Duration `json:"offset_ns"` // steady Unix time less CLOCK_MONOTONIC
}

// Failure says that the steady time of a folder cannot be kept. The process has one all the same; the next one may begin
// another, which differs from it by what the wall clock was stepped meanwhile.
type ClockError struct {
	Op  string
	Err error
}

func (e *ClockError) Error() string { return "steady clock: " + e.Op + ": " + e.Err.Error() }

// Unwrap is the cause.
func (e *ClockError) Unwrap() error { return e.Err }

// Remedy is what an operator can do.
func (e *ClockError) Remedy() string {
	return "Make the folder that lasts writable; until then keep the wall clock from being stepped while the program restarts."
}

// Anchor has the process go on with the steady time of a folder, or begins one there. It is called before any time is read from
// records of that folder.
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

// clocks reads the process's clock and CLOCK_MONOTONIC at one moment.
func readClocks() (now time.Time, monotonic time.Duration, err error) {
	var ts unix.Timespec
	now = time.Now()
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return now, 0, err
	}
	return now, time.Duration(ts.Nano()), nil
}

// bootID tells boots of the machine apart: CLOCK_MONOTONIC begins anew with each.
func bootID() (string, error) {
	data, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return "", err
	}
	id := strings.TrimSpace(string(data))
	if id == "" {
		return "", errors.New("it is empty")
	}
	return id, nil
}
