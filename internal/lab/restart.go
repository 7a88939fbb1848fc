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

// killAndRestart ends the relay's process by SIGKILL and starts a new one after downtime, or minRestartDelay if longer.
func (r *relay) killAndRestart(ctx context.Context, downtime time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process == nil {
		return nil
	}
	r.run.record(history.Event{Kind: history.ProcessChanged, Proc: r.name, PID: r.process.PID, Detail: "kill"})
	r.process.Kill()
	r.process = nil
	r.markDownAfter(r.run.deathNoticeDelay(), r.processCount)
	return r.restartAfter(ctx, max(downtime, minRestartDelay))
}

// restartAfter starts a process in place of one that has ended, after a delay. The caller holds the lock, which is released
// during the delay.
func (r *relay) restartAfter(ctx context.Context, delay time.Duration) error {
	processCount := r.processCount
	r.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
	r.mu.Lock()
	if ctx.Err() != nil || r.ending || r.processCount != processCount {
		return nil
	}
	return r.start(ctx, false)
}

// restartGracefully ends the relay's process with SIGTERM, and with SIGKILL if it has not ended after killAfter, and starts a new
// one after downtime, or minRestartDelay if longer.
func (r *relay) restartGracefully(ctx context.Context, downtime time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process == nil {
		return nil
	}
	r.run.record(history.Event{Kind: history.ProcessChanged, Proc: r.name, PID: r.process.PID, Detail: "term"})
	leave := time.AfterFunc(newConnsAfterTerm, func() { r.run.loadBalancer.SetLeaving(r.name) })
	r.process.Terminate(killAfter)
	r.process = nil
	leave.Stop()
	r.run.loadBalancer.SetUsable(r.name, false)
	return r.restartAfter(ctx, max(downtime, minRestartDelay))
}

// upgrade starts a new process beside the running one, which is then terminated.
func (r *relay) upgrade(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.process
	if old == nil {
		return nil
	}
	if err := r.start(ctx, true); err != nil {
		return fmt.Errorf("upgrade: %w", err)
	}
	r.run.record(history.Event{Kind: history.ProcessChanged, Proc: r.name, PID: old.PID, Detail: "term", Text: "handed over"})
	old.Terminate(killAfter)
	return nil
}

// pause suspends the relay's process for the given time.
func (r *relay) pause(ctx context.Context, duration time.Duration) error {
	return r.run.suspend(ctx, r.name, &r.mu, &r.process, &r.paused, duration)
}

// suspend stops a process with SIGSTOP for the given time and continues it. The lock mu guards process and paused; it is not
// held meanwhile.
func (run *labRun) suspend(ctx context.Context, name string, mu *sync.Mutex, process **proc.Process, paused *bool, duration time.Duration) error {
	mu.Lock()
	p := *process
	if p == nil {
		mu.Unlock()
		return nil
	}
	*paused = true
	run.record(history.Event{Kind: history.ProcessChanged, Proc: name, PID: p.PID, Detail: "stop"})
	err := p.Signal(syscall.SIGSTOP, false)
	mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
	mu.Lock()
	defer mu.Unlock()
	*paused = false
	err = errors.Join(err, p.Signal(syscall.SIGCONT, false))
	run.record(history.Event{Kind: history.ProcessChanged, Proc: name, PID: p.PID, Detail: "cont"})
	return err
}

// sample records the resource usage and the metrics of the relay and returns its row.
func (r *relay) sample(ctx context.Context) Row {
	row := Row{Name: r.name, State: "up"}
	if !r.mu.TryLock() { // a process is being started or ended: the samples of other relays must not wait for that
		row.State = "changing"
		return row
	}
	p, admin, paused := r.process, r.adminAddr, r.paused
	r.mu.Unlock()
	switch {
	case p == nil:
		row.State = "down"
		return row
	case paused:
		row.State = "paused"
	}
	if usage, err := p.Usage(); err == nil {
		row.Usage = usage
		disk, _ := proc.DirMB(filepath.Join(r.dir, "state"))
		r.run.record(history.Event{Kind: history.Sample, Proc: r.name, PID: p.PID, Values: map[string]float64{"cpu_s": usage.CPU.Seconds(),
			"memory_mb": usage.MemoryMB, "peak_memory_mb": usage.PeakMB, "descriptors": float64(usage.Descriptors), "disk_mb": disk}})
	}
	if paused {
		return row
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	requestedAt := r.run.clock.Now()
	metrics, err := platform.Metrics(ctx, admin)
	if err != nil {
		row.State = "silent"
		return row
	}
	row.Metrics = metrics
	r.run.record(history.Event{Kind: history.Metrics, Relay: r.name, Proc: r.name, PID: p.PID, CompleteAt: requestedAt, Values: metrics})
	return row
}

// shutDown ends the relay's process at the end of the run.
func (r *relay) shutDown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ending = true
	if r.process == nil {
		return
	}
	if r.paused {
		r.process.Signal(syscall.SIGCONT, false)
	}
	r.run.record(history.Event{Kind: history.ProcessChanged, Proc: r.name, PID: r.process.PID, Detail: "term"})
	r.process.Terminate(killAfter)
	r.process = nil
}
