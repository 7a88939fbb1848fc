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

// fleetPort is where a relay takes copies of what others hold.
const fleetPort = 15500

// copies gives a relay its fleet address, and has it copy what it holds.
func (r *relay) copies(ip string) error {
	f := r.w.scenario.Fleet
	listen := fmt.Sprintf("%s:%d", ip, fleetPort)
	front, err := r.w.parties.share(r.name, listen)
	if err != nil {
		return err
	}
	r.config.Fleet["listen"], r.config.Fleet["address"], r.config.Fleet["copies"] = listen, front.Addr, f.Copies
	if f.Short != "" {
		r.config.Fleet["short"] = f.Short
	}
	for i := range f.Relays {
		if other := fmt.Sprintf("relay/%d", i); other != r.name {
			r.w.net.Link(r.name, other)
			r.w.net.Link(other, r.name)
		}
	}
	return nil
}

func (r *relay) state() string { return filepath.Join(r.dir, "state") }

// lose has the relay's machine go with its disk. After a while one comes back under its name, empty; for 0 none does.
func (r *relay) lose(ctx context.Context, out time.Duration) error {
	return r.replace(ctx, out, "lose", func() error {
		if err := os.RemoveAll(r.state()); err != nil {
			return err
		}
		return os.Mkdir(r.state(), 0o755)
	})
}

// rollback has the relay's machine come back with its folder as it was a while before.
func (r *relay) rollback(ctx context.Context, at, by time.Duration, out time.Duration) error {
	old := filepath.Join(r.dir, "state-before")
	if err := copyFiles(old, r.state()); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(by):
	}
	return r.replace(ctx, max(out, restartIn), "lose", func() error {
		if err := os.RemoveAll(r.state()); err != nil {
			return err
		}
		return os.Rename(old, r.state())
	})
}

// copyFiles copies the files of a folder, and nothing else that is in it: a process may be using it.
func copyFiles(to, from string) error {
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		switch {
		case errors.Is(err, fs.ErrNotExist): // it has gone meanwhile
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

// replace ends the relay's process by SIGKILL, does something to its folder, and starts it again after a while; never for 0.
func (r *relay) replace(ctx context.Context, out time.Duration, how string, do func() error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now == nil {
		return nil
	}
	text := "for good"
	if out > 0 {
		text = "for a while"
	}
	r.w.record(history.Event{Kind: history.Proc, Proc: r.name, PID: r.now.PID, How: how, Text: text})
	r.now.Kill()
	r.now = nil
	r.notice(r.w.noticed(), r.n)
	if err := do(); err != nil {
		return err
	}
	go r.w.lookForHeirs(ctx)
	if out == 0 {
		return nil
	}
	return r.again(ctx, max(out, restartIn))
}

// lookForHeirs records often, for a while after a loss, which estates relays have taken up.
func (w *world) lookForHeirs(ctx context.Context) {
	for end := time.Now().Add(w.takeOver() + 5*time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		for _, r := range w.relays {
			if !r.mu.TryLock() {
				continue
			}
			admin, up := r.admin, r.now != nil && !r.paused
			r.mu.Unlock()
			if !up {
				continue
			}
			go func() {
				ctx, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				asked := w.clock.Now()
				if figures, err := platform.Metrics(ctx, admin); err == nil {
					w.record(history.Event{Kind: history.Metrics, Relay: r.name, Proc: r.name, Whole: asked, Figures: figures})
				}
			}()
		}
	}
}

// takeOver is for what a machine held to be taken over: the rules allow what it costs.
func (w *world) takeOver() time.Duration { return scenario.TakeOver(w.scenario) }
