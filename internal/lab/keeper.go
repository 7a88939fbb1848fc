package lab

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"larchrouter/internal/keeper/api"
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
