package lab

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/platform"
	"larchrouter/internal/lab/scenario"
)

// fleetPort is the port at which a relay receives copies of the other relays' messages.
const fleetPort = 15500

// configureCopies opens the relay's fleet address and configures it to copy its messages to other relays.
func (r *relay) configureCopies(ip string) error {
	f := r.run.scenario.Fleet
	listen := fmt.Sprintf("%s:%d", ip, fleetPort)
	front, err := r.run.fronts.open(r.name, listen)
	if err != nil {
		return err
	}
	r.config.Fleet["listen"], r.config.Fleet["address"], r.config.Fleet["copies"] = listen, front.Addr, f.Copies
	if f.Short != "" {
		r.config.Fleet["short"] = f.Short
	}
	for i := range f.Relays {
		if other := fmt.Sprintf("relay/%d", i); other != r.name {
			r.run.network.Link(r.name, other)
			r.run.network.Link(other, r.name)
		}
	}
	return nil
}

func (r *relay) stateDir() string { return filepath.Join(r.dir, "state") }

// loseMachine kills the relay and removes its state, as when a machine is lost with its disk. After downtime a relay with the same
// name starts empty; for 0 none does.
func (r *relay) loseMachine(ctx context.Context, downtime time.Duration) error {
	return r.replaceMachine(ctx, downtime, "lose", func() error {
		if err := os.RemoveAll(r.stateDir()); err != nil {
			return err
		}
		return os.Mkdir(r.stateDir(), 0o755)
	})
}

// rollback kills the relay and starts it again after downtime with its state directory as it was age before the kill.
func (r *relay) rollback(ctx context.Context, at, age time.Duration, downtime time.Duration) error {
	snapshot := filepath.Join(r.dir, "state-before")
	if err := copyFiles(snapshot, r.stateDir()); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(age):
	}
	return r.replaceMachine(ctx, max(downtime, minRestartDelay), "lose", func() error {
		if err := os.RemoveAll(r.stateDir()); err != nil {
			return err
		}
		return os.Rename(snapshot, r.stateDir())
	})
}

// copyFiles copies the regular files of a directory tree. A process may be using it, so files may vanish meanwhile.
func copyFiles(to, from string) error {
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		switch {
		case errors.Is(err, fs.ErrNotExist): // it was removed meanwhile
			return nil
		case err != nil:
			return err
		}
		name, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		name = filepath.Join(to, name)
		switch {
		case d.IsDir():
			return os.MkdirAll(name, 0o755)
		case !d.Type().IsRegular():
			return nil
		}
		data, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		return errors.Join(err, os.WriteFile(name, data, 0o600))
	})
}

// replaceMachine kills the relay's process, calls changeState to change its state directory, and starts a new process after
// downtime, or minRestartDelay if longer; for 0 it starts none.
func (r *relay) replaceMachine(ctx context.Context, downtime time.Duration, detail string, changeState func() error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process == nil {
		return nil
	}
	text := "for good"
	if downtime > 0 {
		text = "for a while"
	}
	r.run.record(history.Event{Kind: history.ProcessChanged, Proc: r.name, PID: r.process.PID, Detail: detail, Text: text})
	r.process.Kill()
	r.process = nil
	r.markDownAfter(r.run.deathNoticeDelay(), r.processCount)
	if err := changeState(); err != nil {
		return err
	}
	go r.run.recordTakeovers(ctx)
	if downtime == 0 {
		return nil
	}
	return r.restartAfter(ctx, max(downtime, minRestartDelay))
}

// recordTakeovers records the metrics of all relays every 100 ms for some time after a loss, because they show which replication
// groups a relay has taken over.
func (run *labRun) recordTakeovers(ctx context.Context) {
	for end := time.Now().Add(run.takeOverTime() + 5*time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		for _, r := range run.relays {
			if !r.mu.TryLock() {
				continue
			}
			admin, up := r.adminAddr, r.process != nil && !r.paused
			r.mu.Unlock()
			if !up {
				continue
			}
			go func() {
				ctx, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				requestedAt := run.clock.Now()
				if figures, err := platform.Metrics(ctx, admin); err == nil {
					run.record(history.Event{Kind: history.Metrics, Relay: r.name, Proc: r.name, CompleteAt: requestedAt, Values: figures})
				}
			}()
		}
	}
}

// takeOverTime returns the time that the rules allow for taking over a lost machine's messages.
func (run *labRun) takeOverTime() time.Duration { return scenario.TakeoverTime(run.scenario) }
