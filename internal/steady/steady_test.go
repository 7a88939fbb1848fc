package steady

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// restore has later tests go on by the clock of before.
func restoreClock(t *testing.T) {
	before := current.Load()
	t.Cleanup(func() { current.Store(before) })
}

// A process that starts after the wall clock was stepped goes on with the time of the one before.
func TestWallClockStepBetweenProcesses(t *testing.T) {
	restoreClock(t)
	dir := t.TempDir()
	if err := Anchor(dir); err != nil {
		t.Fatal(err)
	}
	written := UnixMilli()
	for _, step := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second} {
		now := time.Now()
		current.Store(&anchor{process: now, steady: now.Round(0).Add(step)}) // as a new process reads the wall clock
		if err := Anchor(dir); err != nil {
			t.Fatal(err)
		}
		if ago := Since(written); ago < -time.Millisecond || ago > 10*time.Second {
			t.Errorf("after a step by %v what was written just now is %v ago", step, ago)
		}
	}
}

// After a boot the monotonic clock tells nothing of before, and a damaged file is none: the wall clock begins another time.
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

// A folder that cannot be written leaves the process with its time, and says what to do.
func TestAnchorInUnwritableFolder(t *testing.T) {
	restoreClock(t)
	err := Anchor(filepath.Join(t.TempDir(), "absent"))
	var clockErr *ClockError
	if !errors.As(err, &clockErr) || clockErr.Remedy() == "" {
		t.Errorf("%v is no failure with a remedy", err)
	}
	if deviation := Now().Sub(time.Now()).Abs(); deviation > time.Second {
		t.Errorf("the time is %v off the wall clock's", deviation)
	}
}
