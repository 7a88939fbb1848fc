package lab

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"larchrouter/internal/keeper/api"
	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/proc"
)

// The process of a keeper.

// start starts a process of the keeper and waits until it answers. The caller holds the lock, unless nobody else uses k yet.
func (k *keeper) start(ctx context.Context) error {
	k.processCount++
	log := filepath.Join(k.dir, fmt.Sprintf("log-%d.txt", k.processCount))
	k.run.record(history.Event{Kind: history.ProcessChanged, Proc: k.name, Detail: "start"})
	p, err := proc.Start(proc.Spec{Name: k.name, Command: k.run.options.KeeperCommand + " --config " + k.configPath(), Dir: k.run.options.Root, Env: k.run.options.Env,
		MaxDescriptors: 4096, Log: log}, func(p *proc.Process) { k.run.recordEnd(k.name, p, log) })
	if err != nil {
		return err
	}
	k.process = p
	// It is called at its own address, where faults of links do not matter.
	client := &api.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	for end := time.Now().Add(readyTimeout); ; time.Sleep(10 * time.Millisecond) {
		var st api.Status
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := client.CallKeeper(callCtx, fmt.Sprintf("%s:%d", k.ip, keeperHTTPPort),
			http.MethodGet, api.StatusPath, nil, &st)
		cancel()
		if err == nil {
			break
		}
		select {
		case <-p.Done():
			return fmt.Errorf("%s ended before it could serve: %v\n%s", k.name, p.Err(), strings.Join(proc.Tail(log, 5), "\n"))
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s cannot serve after %s: %w", k.name, readyTimeout, err)
		}
	}
	k.run.record(history.Event{Kind: history.ProcessChanged, Proc: k.name, PID: p.PID, Detail: "ready"})
	return nil
}

// restart ends the keeper's process, by SIGKILL or in order, and starts a new one after downtime, or minRestartDelay if longer.
func (k *keeper) restart(ctx context.Context, kill bool, downtime time.Duration) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.process == nil {
		return nil
	}
	if kill {
		k.run.record(history.Event{Kind: history.ProcessChanged, Proc: k.name, PID: k.process.PID, Detail: "kill"})
		k.process.Kill()
	} else {
		k.run.record(history.Event{Kind: history.ProcessChanged, Proc: k.name, PID: k.process.PID, Detail: "term"})
		k.process.Terminate(killAfter)
	}
	k.process = nil
	k.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(max(downtime, minRestartDelay)):
	}
	k.mu.Lock()
	if ctx.Err() != nil || k.ending || k.process != nil {
		return nil
	}
	return k.start(ctx)
}

// pause suspends the keeper's process for the given time.
func (k *keeper) pause(ctx context.Context, duration time.Duration) error {
	return k.run.suspend(ctx, k.name, &k.mu, &k.process, &k.paused, duration)
}

// shutDown ends the keeper's process at the end of the run.
func (k *keeper) shutDown() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ending = true
	if k.process == nil {
		return
	}
	if k.paused {
		k.process.Signal(syscall.SIGCONT, false)
	}
	k.process.Terminate(killAfter)
	k.process = nil
}
