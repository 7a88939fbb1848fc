package steady

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// restoreClock restores the present clock when the test ends.
func restoreClock(t *testing.T) {
	before := current.Load()
	t.Cleanup(func() { current.Store(before) })
}

// Guards against a steady time that changes if the wall clock is stepped between two processes.
func TestWallClockStepBetweenProcesses(t *testing.T) {
	restoreClock(t)
	dir := t.TempDir()
	if err := Anchor(dir); err != nil {
		t.Fatal(err)
	}
	written := UnixMilli()
	for _, step := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second} {
		now := time.Now()
		current.Store(&anchor{process: now, steady: now.Round(0).Add(step)}) // as in a new process, which reads the stepped wall clock
		if err := Anchor(dir); err != nil {
			t.Fatal(err)
		}
		if ago := Since(written); ago < -time.Millisecond || ago > 10*time.Second {
			t.Errorf("after a step by %v, a time written just now is %v ago", step, ago)
		}
	}
}

// Guards against an anchor of an earlier boot, whose monotonic clock was another, or a damaged one that is used: the steady time has
// to start from the wall clock.
func TestUnusableAnchorIsReplaced(t *testing.T) {
	for name, text := range map[string]string{"another boot": `{"boot":"other","offset_ns":5}`, "cut": `{"boot":"oth`, "empty": ``, "no object": `7`} {
		t.Run(name, func(t *testing.T) {
			restoreClock(t)
			path := filepath.Join(t.TempDir(), fileName)
			if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
				t.Fatal(err)
			}
			if err := Anchor(filepath.Dir(path)); err != nil {
				t.Fatal(err)
			}
			if deviation := Now().Sub(time.Now()).Abs(); deviation > time.Second {
				t.Errorf("the time is %v off the wall clock's", deviation)
			}
			data, err := os.ReadFile(path)
			var stored storedAnchor
			if err != nil || json.Unmarshal(data, &stored) != nil || stored.Boot == "other" {
				t.Errorf("the file has %q: %v", data, err)
			}
		})
	}
}

// Guards against a process without a usable time, or an error without a remedy, where the folder cannot be written.
func TestAnchorInUnwritableFolder(t *testing.T) {
	restoreClock(t)
	err := Anchor(filepath.Join(t.TempDir(), "absent"))
	var clockErr *ClockError
	if !errors.As(err, &clockErr) || clockErr.Remedy() == "" {
		t.Errorf("%v is not an *ClockError with a remedy", err)
	}
	if deviation := Now().Sub(time.Now()).Abs(); deviation > time.Second {
		t.Errorf("the time is %v off the wall clock's", deviation)
	}
}
