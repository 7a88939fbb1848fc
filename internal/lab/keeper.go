package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"larchrouter/internal/keeper/api"
	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/link"
	"larchrouter/internal/lab/proc"
	"larchrouter/internal/lab/scenario"
)

// Ports of a keeper's own addresses.
const (
	keeperHTTPPort = 7400
	keeperRaftPort = 7600
)

// operatorName is the name of the party that calls keepers for the operators.
const operatorName = "operator"

// keeperIP returns the IP address of the nth keeper, operatorIP that of the operators.
func (b addrBlock) keeperIP(n int) string { return fmt.Sprintf("%s.202.%d", b.prefix, 1+n) }
func (b addrBlock) operatorIP() string    { return b.prefix + ".203.1" }

// sharedFronts are the fronts at which processes reach each other. A sender is identified by the IP address that it sends from.
type sharedFronts struct {
	run  *labRun
	mu   sync.Mutex
	byIP map[string]*link.SharedFront // by the IP address that the process sends from
}

func (p *sharedFronts) byAddress(ip string) *link.SharedFront {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byIP[ip]
}

// open opens a front for the process that listens at target.
func (p *sharedFronts) open(name, target string) (*link.SharedFront, error) {
	return p.run.network.ShareProcess(name, p.run.addrs.sharedIP(), target, p.byAddress)
}

// add opens a front for a process and lets the process, which sends from ip, reach the others.
func (p *sharedFronts) add(name, ip, target string) error {
	s, err := p.open(name, target)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byIP[ip] = s
	return nil
}

// keeper is one keeper of the run. Its name, directory and addresses stay the same across its processes.
type keeper struct {
	name      string
	run       *labRun
	dir       string
	ip        string
	frontAddr string // address at which others call it over HTTP

	mu           sync.Mutex
	process      *proc.Process
	processCount int // processes started so far
	paused       bool
	ending       bool
}

func (k *keeper) configPath() string { return filepath.Join(k.dir, "keeper.toml") }

// startKeepers opens the keepers' fronts, writes their configurations, and starts them.
func (run *labRun) startKeepers(ctx context.Context) error {
	n := run.scenario.Fleet.Keepers
	if n == 0 {
		return nil
	}
	if run.options.KeeperCommand == "" {
		return errors.New("the scenario has keepers, but no command starts one")
	}
	run.fronts = &sharedFronts{run: run, byIP: map[string]*link.SharedFront{}}
	if err := run.fronts.add(operatorName, run.addrs.operatorIP(), run.addrs.operatorIP()+":1"); err != nil {
		return err
	}
	type peer struct {
		Name string `toml:"name"`
		HTTP string `toml:"http"`
		Raft string `toml:"raft"`
	}
	var peers []peer
	for i := range n {
		k := &keeper{name: fmt.Sprintf("keeper/%d", i), run: run, dir: filepath.Join(run.dir, fmt.Sprintf("keeper-%d", i)), ip: run.addrs.keeperIP(i)}
		if err := os.MkdirAll(k.dir, 0o755); err != nil {
			return err
		}
		if err := run.fronts.add(k.name, k.ip, fmt.Sprintf("%s:%d", k.ip, keeperHTTPPort)); err != nil {
			return err
		}
		k.frontAddr = run.fronts.byAddress(k.ip).Addr
		raft, err := run.fronts.open(k.name, fmt.Sprintf("%s:%d", k.ip, keeperRaftPort))
		if err != nil {
			return err
		}
		peers = append(peers, peer{k.name, k.frontAddr, raft.Addr})
		run.keepers = append(run.keepers, k)
	}
	for _, k := range run.keepers {
		for _, other := range run.keepers {
			if other != k {
				run.network.Link(k.name, other.name)
			}
		}
		run.network.Link(operatorName, k.name)
		data, err := toml.Marshal(map[string]any{"name": k.name, "http": fmt.Sprintf("%s:%d", k.ip, keeperHTTPPort), "raft": fmt.Sprintf("%s:%d", k.ip, keeperRaftPort),
			"source": k.ip, "dir": filepath.Join(k.dir, "state"), "lease": time.Duration(run.scenario.Fleet.Lease).String(),
			"election": min(time.Second, time.Duration(run.scenario.Fleet.Lease)/4).String(), "peer": peers})
		if err != nil {
			return err
		}
		if err := os.WriteFile(k.configPath(), data, 0o644); err != nil {
			return err
		}
		if err := k.start(ctx); err != nil {
			return err
		}
	}
	for end := time.Now().Add(readyTimeout); run.leader(ctx) == nil; time.Sleep(20 * time.Millisecond) {
		if ctx.Err() != nil || time.Now().After(end) {
			return errors.Join(ctx.Err(), fmt.Errorf("no keeper is the leader after %v", readyTimeout))
		}
	}
	return nil
}

// keeperFronts returns the addresses at which relays call keepers.
func (run *labRun) keeperFronts() (all []string) {
	for _, k := range run.keepers {
		all = append(all, k.frontAddr)
	}
	return all
}

// operatorClient returns a client that calls keepers through links from the operators' address.
func (run *labRun) operatorClient() *api.Client {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(run.addrs.operatorIP())}}
	return &api.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: d.DialContext}}, Keepers: run.keeperFronts()}
}

// leader returns the keeper that reports to be the leader; nil if there is none.
func (run *labRun) leader(ctx context.Context) *keeper {
	c := run.operatorClient()
	for _, k := range run.keepers {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		var st api.Status
		err := c.CallKeeper(ctx, k.frontAddr, http.MethodGet, api.StatusPath, nil, &st)
		cancel()
		if err == nil && st.IsLeader {
			return k
		}
	}
	return nil
}

// resolve returns the parties that a target of the scenario names now.
func (run *labRun) resolve(ctx context.Context, text string) ([]scenario.Party, error) {
	found, err := scenario.Resolve(text, run.scenario.Parties())
	if err != nil || found[0].Name != scenario.LeaderTarget {
		return found, err
	}
	k := run.leader(ctx)
	if k == nil {
		return nil, errors.New("no keeper is the leader")
	}
	return []scenario.Party{{Name: k.name}}, nil
}

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

// proposeTimeout is how long the operators retry a change while keepers do not answer.
const proposeTimeout = 30 * time.Second

// propose proposes the settings changed by a step to the keepers and retries until they answer. It is an error if they accept
// settings that the step has broken on purpose.
func (run *labRun) propose(ctx context.Context, st scenario.Step, number int) error {
	run.mu.Lock()
	if run.proposedSettings == nil {
		run.proposedSettings = run.draw.Settings(run.scenario, 0)
	}
	next := run.proposedSettings
	applyStep(next, st)
	data, err := json.Marshal(map[string]any{"settings": next})
	run.mu.Unlock()
	if err != nil {
		return err
	}
	switch st.Break {
	case "cut", "empty":
		data = []byte(`{"settings":{}}`)
	case "missing":
		data = []byte(`{"settings":{"rules":{}}}`)
	}
	c := run.operatorClient()
	change := api.Proposal{OperationID: fmt.Sprintf("step-%d", number), Doc: data, Who: operatorName, Why: "a step of the scenario"}
	for end := time.Now().Add(proposeTimeout); ; time.Sleep(50 * time.Millisecond) {
		callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		var generations []api.Generation
		var created api.ChangeResponse
		err := c.Call(callCtx, http.MethodGet, api.GenerationsPath, nil, &generations)
		if err == nil {
			change.Base = 0
			for _, g := range generations { // the newest that is in effect or being rolled out
				if g.Stage != "given up" && g.Stage != "past" {
					change.Base = max(change.Base, g.Number)
				}
			}
			err = c.Call(callCtx, http.MethodPost, api.GenerationsPath, change, &created)
		}
		cancel()
		var refusal *api.RefusedError
		switch {
		case err == nil && st.Break != "":
			return fmt.Errorf("a broken document was accepted as generation %d", created.Number)
		case err == nil:
			run.record(history.Event{Kind: history.Step, Text: fmt.Sprintf("generation %d is asked for", created.Number)})
			run.mu.Lock()
			run.acceptedGenerations = append(run.acceptedGenerations, created.Number)
			run.mu.Unlock()
			return nil
		case errors.As(err, &refusal) && st.Break != "":
			return nil
		case errors.As(err, &refusal) && refusal.Status == http.StatusConflict && strings.Contains(refusal.Text, "another generation"):
			change.OperationID += "'" // the list came from a keeper that lagged behind; the refusal of this Op is final, so the next try needs another
		case errors.As(err, &refusal), ctx.Err() != nil, time.Now().After(end):
			return err
		}
	}
}

// checkAcceptedGenerations checks at the end of the run that the leader knows all generations that the operators were told were
// accepted.
func (run *labRun) checkAcceptedGenerations(ctx context.Context) {
	if len(run.keepers) == 0 || ctx.Err() != nil {
		return
	}
	run.mu.Lock()
	accepted := slices.Clone(run.acceptedGenerations)
	run.mu.Unlock()
	var generations []api.Generation
	var err error
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if k := run.leader(ctx); k != nil {
			if err = run.operatorClient().CallKeeper(ctx, k.frontAddr, http.MethodGet, api.GenerationsPath, nil, &generations); err == nil {
				break
			}
		}
	}
	if err != nil {
		run.reportProblem("accepted changes", err)
		return
	}
	for _, n := range accepted {
		if !slices.ContainsFunc(generations, func(g api.Generation) bool { return g.Number == n }) {
			run.reportProblem("accepted changes", fmt.Errorf("generation %d was accepted and is not known", n))
		}
	}
	for _, g := range generations {
		run.record(history.Event{Kind: history.Step, Text: fmt.Sprintf("generation %d is %s %s", g.Number, g.Stage, g.Reason)})
	}
}
