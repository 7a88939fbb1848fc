package lab

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/platform"
	"larchrouter/internal/lab/proc"
)

// How relays end, stop and come back.

// kill ends the relay's process by SIGKILL, and starts it again after a while.
func (r *relay) kill(ctx context.Context, out time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now == nil {
		return nil
	}
	r.w.record(history.Event{Kind: history.Proc, Proc: r.name, PID: r.now.PID, How: "kill"})
	r.now.Kill()
	r.now = nil
	r.notice(r.w.noticed(), r.n)
	return r.again(ctx, max(out, restartIn))
}

// again starts a process in place of one that has ended. The lock is held.
func (r *relay) again(ctx context.Context, after time.Duration) error {
	n := r.n
	r.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(after):
	}
	r.mu.Lock()
	if ctx.Err() != nil || r.quit || r.n != n {
		return nil
	}
	return r.begin(ctx, false)
}

// term restarts the relay in order: SIGTERM, and SIGKILL if it has not ended by then.
func (r *relay) term(ctx context.Context, out time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now == nil {
		return nil
	}
	r.w.record(history.Event{Kind: history.Proc, Proc: r.name, PID: r.now.PID, How: "term"})
	leave := time.AfterFunc(lastClients, func() { r.w.front.SetLeaving(r.name) })
	r.now.End(killAfter)
	r.now = nil
	leave.Stop()
	r.w.front.SetUsable(r.name, false)
	return r.again(ctx, max(out, restartIn))
}

// upgrade starts a process beside the one that runs, which then ends.
func (r *relay) upgrade(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.now
	if old == nil {
		return nil
	}
	if err := r.begin(ctx, true); err != nil {
		return fmt.Errorf("upgrade: %w", err)
	}
	r.w.record(history.Event{Kind: history.Proc, Proc: r.name, PID: old.PID, How: "term", Text: "handed over"})
	old.End(killAfter)
	return nil
}

// pause stops the relay's process for a while.
func (r *relay) pause(ctx context.Context, length time.Duration) error {
	return r.w.stopFor(ctx, r.name, &r.mu, &r.now, &r.paused, length)
}

// stopFor stops a process for a while. The lock guards which one it is and that it is stopped.
func (w *world) stopFor(ctx context.Context, name string, mu *sync.Mutex, now **proc.Process, paused *bool, length time.Duration) error {
	mu.Lock()
	p := *now
	if p == nil {
		mu.Unlock()
		return nil
	}
	*paused = true
	w.record(history.Event{Kind: history.Proc, Proc: name, PID: p.PID, How: "stop"})
	err := p.Signal(syscall.SIGSTOP, false)
	mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
	mu.Lock()
	defer mu.Unlock()
	*paused = false
	err = errors.Join(err, p.Signal(syscall.SIGCONT, false))
	w.record(history.Event{Kind: history.Proc, Proc: name, PID: p.PID, How: "cont"})
	return err
}

// look records what the relay's processes use and what it tells of itself.
func (r *relay) look(ctx context.Context) Row {
	row := Row{Name: r.name, State: "up"}
	if !r.mu.TryLock() { // whoever has it ends or starts a process: nobody else's figures wait for that
		row.State = "changing"
		return row
	}
	p, admin, paused := r.now, r.admin, r.paused
	r.mu.Unlock()
	switch {
	case p == nil:
		row.State = "down"
		return row
	case paused:
		row.State = "paused"
	}
	if u, err := p.Usage(); err == nil {
		row.Use = u
		disk, _ := proc.FolderMB(filepath.Join(r.dir, "state"))
		r.w.record(history.Event{Kind: history.Sample, Proc: r.name, PID: p.PID, Figures: map[string]float64{"cpu_s": u.CPU.Seconds(),
			"memory_mb": u.MemoryMB, "descriptors": float64(u.Descriptors), "disk_mb": disk}})
	}
	if paused {
		return row
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	asked := r.w.clock.Now()
	figures, err := platform.Metrics(ctx, admin)
	if err != nil {
		row.State = "silent"
		return row
	}
	row.Figures = figures
	r.w.record(history.Event{Kind: history.Metrics, Relay: r.name, Proc: r.name, PID: p.PID, Whole: asked, Figures: figures})
	return row
}

// end has the relay's process end with the run.
func (r *relay) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quit = true
	if r.now == nil {
		return
	}
	if r.paused {
		r.now.Signal(syscall.SIGCONT, false)
	}
	r.w.record(history.Event{Kind: history.Proc, Proc: r.name, PID: r.now.PID, How: "term"})
	r.now.End(killAfter)
	r.now = nil
}
