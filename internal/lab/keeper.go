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

// The ports of a keeper's own addresses.
const (
	keeperHTTP = 7400
	keeperRaft = 7600
)

// operator is the party that speaks for the operators to keepers.
const operator = "operator"

// keeperIP is the address of the nth keeper, operatorIP the operators'.
func (b block) keeperIP(n int) string { return fmt.Sprintf("%s.202.%d", b.prefix, 1+n) }
func (b block) operatorIP() string    { return b.prefix + ".203.1" }

// parties are the processes that reach each other at fronts that all of them use, and are known by where they send from.
type parties struct {
	w  *world
	mu sync.Mutex
	by map[string]*link.Shared // by address
}

func (p *parties) who(ip string) *link.Shared {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.by[ip]
}

// share opens a front for a process.
func (p *parties) share(name, target string) (*link.Shared, error) {
	return p.w.net.Share(name, p.w.block.sharedIP(), target, p.who)
}

// add lets a party that sends from an address reach the others.
func (p *parties) add(name, ip, target string) error {
	s, err := p.share(name, target)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.by[ip] = s
	return nil
}

// keeper is one keeper of the run: its name, folder and addresses stay the same across its processes.
type keeper struct {
	name  string
	w     *world
	dir   string
	ip    string
	front string // where others call it over HTTP

	mu     sync.Mutex
	now    *proc.Process
	n      int // processes so far
	paused bool
	quit   bool
}

func (k *keeper) configPath() string { return filepath.Join(k.dir, "keeper.toml") }

// startKeepers opens the keepers' fronts, writes their configurations, and starts them.
func (w *world) startKeepers(ctx context.Context) error {
	n := w.scenario.Fleet.Keepers
	if n == 0 {
		return nil
	}
	if w.options.Keeper == "" {
		return errors.New("nothing says how a keeper is started")
	}
	w.parties = &parties{w: w, by: map[string]*link.Shared{}}
	if err := w.parties.add(operator, w.block.operatorIP(), w.block.operatorIP()+":1"); err != nil {
		return err
	}
	type peer struct {
		Name string `toml:"name"`
		HTTP string `toml:"http"`
		Raft string `toml:"raft"`
	}
	var peers []peer
	for i := range n {
		k := &keeper{name: fmt.Sprintf("keeper/%d", i), w: w, dir: filepath.Join(w.dir, fmt.Sprintf("keeper-%d", i)), ip: w.block.keeperIP(i)}
		if err := os.MkdirAll(k.dir, 0o755); err != nil {
			return err
		}
		if err := w.parties.add(k.name, k.ip, fmt.Sprintf("%s:%d", k.ip, keeperHTTP)); err != nil {
			return err
		}
		k.front = w.parties.who(k.ip).Addr
		raft, err := w.parties.share(k.name, fmt.Sprintf("%s:%d", k.ip, keeperRaft))
		if err != nil {
			return err
		}
		peers = append(peers, peer{k.name, k.front, raft.Addr})
		w.keepers = append(w.keepers, k)
	}
	for _, k := range w.keepers {
		for _, other := range w.keepers {
			if other != k {
				w.net.Link(k.name, other.name)
			}
		}
		w.net.Link(operator, k.name)
		data, err := toml.Marshal(map[string]any{"name": k.name, "http": fmt.Sprintf("%s:%d", k.ip, keeperHTTP), "raft": fmt.Sprintf("%s:%d", k.ip, keeperRaft),
			"source": k.ip, "dir": filepath.Join(k.dir, "state"), "lease": time.Duration(w.scenario.Fleet.Lease).String(),
			"election": min(time.Second, time.Duration(w.scenario.Fleet.Lease)/4).String(), "peer": peers})
		if err != nil {
			return err
		}
		if err := os.WriteFile(k.configPath(), data, 0o644); err != nil {
			return err
		}
		if err := k.begin(ctx); err != nil {
			return err
		}
	}
	for end := time.Now().Add(readyIn); w.leader(ctx) == nil; time.Sleep(20 * time.Millisecond) {
		if ctx.Err() != nil || time.Now().After(end) {
			return errors.Join(ctx.Err(), fmt.Errorf("no keeper leads after %v", readyIn))
		}
	}
	return nil
}

// keeperFronts are where relays call keepers.
func (w *world) keeperFronts() (all []string) {
	for _, k := range w.keepers {
		all = append(all, k.front)
	}
	return all
}

// operators is a client that calls keepers as the operators do, through links.
func (w *world) operators() *api.Client {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(w.block.operatorIP())}}
	return &api.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: d.DialContext}}, Keepers: w.keeperFronts()}
}

// leader is the keeper that leads; nil if none says so.
func (w *world) leader(ctx context.Context) *keeper {
	c := w.operators()
	for _, k := range w.keepers {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		var st api.Status
		err := c.Ask(ctx, k.front, http.MethodGet, api.StatusPath, nil, &st)
		cancel()
		if err == nil && st.Leads {
			return k
		}
	}
	return nil
}

// resolve picks those that a target names now.
func (w *world) resolve(ctx context.Context, text string) ([]scenario.Party, error) {
	found, err := scenario.Resolve(text, w.scenario.Parties())
	if err != nil || found[0].Name != scenario.LeaderTarget {
		return found, err
	}
	k := w.leader(ctx)
	if k == nil {
		return nil, errors.New("no keeper leads")
	}
	return []scenario.Party{{Name: k.name}}, nil
}

// begin starts a process of the keeper. The lock is held, or nobody else has it yet.
func (k *keeper) begin(ctx context.Context) error {
	k.n++
	log := filepath.Join(k.dir, fmt.Sprintf("log-%d.txt", k.n))
	k.w.record(history.Event{Kind: history.Proc, Proc: k.name, How: "start"})
	p, err := proc.Start(proc.Spec{Name: k.name, Command: k.w.options.Keeper + " --config " + k.configPath(), Dir: k.w.options.Root, Env: k.w.options.Env,
		Sockets: 4096, Log: log}, func(p *proc.Process) { k.w.ended(k.name, p, log) })
	if err != nil {
		return err
	}
	k.now = p
	// Asked at its own address: whatever is wrong with links, it is there to be asked.
	own := &api.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	for end := time.Now().Add(readyIn); ; time.Sleep(10 * time.Millisecond) {
		var st api.Status
		actx, cancel := context.WithTimeout(ctx, time.Second)
		err := own.Ask(actx, fmt.Sprintf("%s:%d", k.ip, keeperHTTP),
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
			return fmt.Errorf("%s cannot serve after %s: %w", k.name, readyIn, err)
		}
	}
	k.w.record(history.Event{Kind: history.Proc, Proc: k.name, PID: p.PID, How: "ready"})
	return nil
}

// out ends the keeper's process, by SIGKILL or in order, and starts it again after a while.
func (k *keeper) out(ctx context.Context, kill bool, length time.Duration) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.now == nil {
		return nil
	}
	if kill {
		k.w.record(history.Event{Kind: history.Proc, Proc: k.name, PID: k.now.PID, How: "kill"})
		k.now.Kill()
	} else {
		k.w.record(history.Event{Kind: history.Proc, Proc: k.name, PID: k.now.PID, How: "term"})
		k.now.End(killAfter)
	}
	k.now = nil
	k.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(max(length, restartIn)):
	}
	k.mu.Lock()
	if ctx.Err() != nil || k.quit || k.now != nil {
		return nil
	}
	return k.begin(ctx)
}

// pause stops the keeper's process for a while.
func (k *keeper) pause(ctx context.Context, length time.Duration) error {
	return k.w.stopFor(ctx, k.name, &k.mu, &k.now, &k.paused, length)
}

// end has the keeper's process end with the run.
func (k *keeper) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.quit = true
	if k.now == nil {
		return
	}
	if k.paused {
		k.now.Signal(syscall.SIGCONT, false)
	}
	k.now.End(killAfter)
	k.now = nil
}

// proposeIn is how long the operators insist on a change while keepers are out.
const proposeIn = 30 * time.Second

// propose has the operators ask the keepers for changed settings, until they are answered.
func (w *world) propose(ctx context.Context, st scenario.Step, n int) error {
	w.mu.Lock()
	if w.settings == nil {
		w.settings = w.draw.Settings(w.scenario, 0)
	}
	next := w.settings
	apply(next, st)
	data, err := json.Marshal(map[string]any{"settings": next})
	w.mu.Unlock()
	if err != nil {
		return err
	}
	switch st.Break {
	case "cut", "empty":
		data = []byte(`{"settings":{}}`)
	case "missing":
		data = []byte(`{"settings":{"rules":{}}}`)
	}
	c := w.operators()
	change := api.Proposal{Op: fmt.Sprintf("step-%d", n), Doc: data, Who: operator, Why: "a step of the scenario"}
	for end := time.Now().Add(proposeIn); ; time.Sleep(50 * time.Millisecond) {
		cctx, cancel := context.WithTimeout(ctx, 3*time.Second)
		var all []api.Generation
		var made api.Made
		err := c.Call(cctx, http.MethodGet, api.GenerationsPath, nil, &all)
		if err == nil {
			change.Base = 0
			for _, g := range all { // the newest that is in force or on its way
				if g.Stage != "given up" && g.Stage != "past" {
					change.Base = max(change.Base, g.Number)
				}
			}
			err = c.Call(cctx, http.MethodPost, api.GenerationsPath, change, &made)
		}
		cancel()
		var no *api.Refused
		switch {
		case err == nil && st.Break != "":
			return fmt.Errorf("a broken document was taken as generation %d", made.Number)
		case err == nil:
			w.record(history.Event{Kind: history.Step, Text: fmt.Sprintf("generation %d is asked for", made.Number)})
			w.mu.Lock()
			w.accepted = append(w.accepted, made.Number)
			w.mu.Unlock()
			return nil
		case errors.As(err, &no) && st.Break != "":
			return nil
		case errors.As(err, &no) && no.Status == http.StatusConflict && strings.Contains(no.Text, "another generation"):
			change.Op += "'" // the list came from one that was behind: that answer is final, so it is another call
		case errors.As(err, &no), ctx.Err() != nil, time.Now().After(end):
			return err
		}
	}
}

// lookForAccepted looks, at the end, whether all changes that operators were told to be accepted are known.
func (w *world) lookForAccepted(ctx context.Context) {
	if len(w.keepers) == 0 || ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	accepted := slices.Clone(w.accepted)
	w.mu.Unlock()
	var all []api.Generation
	var err error
	for end := time.Now().Add(readyIn); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if k := w.leader(ctx); k != nil {
			if err = w.operators().Ask(ctx, k.front, http.MethodGet, api.GenerationsPath, nil, &all); err == nil {
				break
			}
		}
	}
	if err != nil {
		w.cannot("accepted changes", err)
		return
	}
	for _, n := range accepted {
		if !slices.ContainsFunc(all, func(g api.Generation) bool { return g.Number == n }) {
			w.cannot("accepted changes", fmt.Errorf("generation %d was accepted and is not known", n))
		}
	}
	for _, g := range all {
		w.record(history.Event{Kind: history.Step, Text: fmt.Sprintf("generation %d is %s %s", g.Number, g.Stage, g.Reason)})
	}
}
