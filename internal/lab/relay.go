package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/platform"
	"larchrouter/internal/lab/proc"
)

// The platform's times for restarts.
const (
	readyTimeout      = 30 * time.Second        // from a relay's start until it must be able to serve
	newConnsAfterTerm = 300 * time.Millisecond  // how long new connections still arrive after SIGTERM
	killAfter         = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	minRestartDelay   = 600 * time.Millisecond  // from the end of a process to the next start, at least
)

// relay is one relay of the run. Its name, directory and addresses stay the same across its processes.
type relay struct {
	name       string
	run        *labRun
	dir        string // directory of configuration, logs and state
	listenAddr string
	config     platform.Config

	mu           sync.Mutex // held while a process is started or ended
	process      *proc.Process
	adminAddr    string
	processCount int // processes started so far
	paused       bool
	ending       bool // the run ends
}

// First ports of a relay's addresses, and how many are tried from there on. They are below the kernel's ephemeral ports.
const (
	clientPort = 8443
	adminPort  = 15000
	maxPorts   = 100
)

// newRelay creates a relay's directory, addresses and links. It starts no process.
func newRelay(run *labRun, index int) (*relay, error) {
	r := &relay{name: fmt.Sprintf("relay/%d", index), run: run, dir: filepath.Join(run.dir, fmt.Sprintf("relay-%d", index))}
	ip := run.addrs.relayIP(index)
	for _, d := range []string{"state", "tmp"} {
		if err := os.MkdirAll(filepath.Join(r.dir, d), 0o755); err != nil {
			return nil, err
		}
	}
	var err error
	if r.listenAddr, err = freeAddr(ip, clientPort); err != nil {
		return nil, err
	}
	for _, p := range run.scenario.Parties() {
		if p.Kind() != "endpoint" {
			continue
		}
		addr := run.sharedEndpointAddrs[p.Name]
		if addr == "" {
			if addr, err = run.partners.Serve(r.name, p.Name, ip+":0"); err != nil {
				return nil, err
			}
		}
		run.discovery.SetAddr(r.name, p.Name, addr)
	}
	discovery, err := run.discovery.Serve(r.name, ip+":0")
	if err != nil {
		return nil, err
	}
	f := run.scenario.Fleet
	r.config = platform.Config{Name: r.name, Listen: r.listenAddr, Discovery: discovery, Source: ip, Seed: fmt.Sprintf("%016x", run.scenario.Seed*1000003+uint64(index)),
		Limits:   map[string]any{"cores": f.Cores, "memory_mb": f.MemoryMB, "sockets": f.Sockets, "disk_mb": f.DiskMB},
		Settings: run.draw.Settings(run.scenario, index)}
	if f.BacklogMB > 0 {
		r.config.Backlog = map[string]any{"disk_mb": f.BacklogMB}
	}
	if run.fronts != nil {
		if err := run.fronts.add(r.name, ip, r.listenAddr); err != nil {
			return nil, err
		}
		r.config.Fleet = map[string]any{"keepers": run.keeperFronts(), "zone": run.scenario.Zone(index)}
		if f.Copies > 0 {
			if err := r.configureCopies(ip); err != nil {
				return nil, err
			}
		}
	}
	return r, nil
}

func (r *relay) configPath() string { return filepath.Join(r.dir, "config.json") }

// writeConfig replaces the configuration file atomically.
func (r *relay) writeConfig(data []byte) error {
	next := r.configPath() + ".next"
	if err := os.WriteFile(next, data, 0o644); err != nil {
		return err
	}
	return os.Rename(next, r.configPath())
}

// encodeConfig returns the current configuration as JSON, with the list of endpoints that the relay received last.
func (r *relay) encodeConfig() ([]byte, error) {
	known, version, err := r.run.discovery.Known(r.name)
	if err != nil {
		return nil, err
	}
	r.config.Known = known
	r.run.record(history.Event{Kind: history.ListSent, Relay: r.name, Version: version, Detail: "configuration"})
	return json.MarshalIndent(r.config, "", " ")
}

// start starts a process of the relay and waits until it can serve. Upgrading says that another process of the relay is running.
// The caller holds the lock.
func (r *relay) start(ctx context.Context, upgrading bool) error {
	admin, err := freeAddr(strings.Split(r.listenAddr, ":")[0], adminPort)
	if err != nil {
		return err
	}
	r.config.Admin = admin
	data, err := r.encodeConfig()
	if err != nil {
		return err
	}
	if err := r.writeConfig(data); err != nil {
		return err
	}
	detail := ""
	if upgrading {
		detail = "beside"
	}
	r.processCount++
	env := []string{"BALANCER_NAME=" + r.name, "BALANCER_LISTEN=" + r.listenAddr, "BALANCER_DISCOVERY=" + r.config.Discovery,
		"BALANCER_STATE=" + filepath.Join(r.dir, "state"), "BALANCER_CONFIG=" + r.configPath(), "BALANCER_ADMIN_ADDR=" + admin,
		"TMPDIR=" + filepath.Join(r.dir, "tmp")}
	log := r.logPath()
	r.run.record(history.Event{Kind: history.ProcessChanged, Proc: r.name, Detail: "start", Text: detail})
	p, err := proc.Start(proc.Spec{Name: r.name, Command: r.run.options.RelayCommand, Dir: r.run.options.Root, Env: append(env, r.run.options.Env...), MaxDescriptors: r.run.scenario.Fleet.Sockets,
		Log: log, Cores: r.run.relayCores}, func(p *proc.Process) { r.run.recordEnd(r.name, p, log) })
	if err != nil {
		return err
	}
	for end := time.Now().Add(readyTimeout); !r.canServe(ctx, admin); time.Sleep(10 * time.Millisecond) {
		select {
		case <-p.Done():
			return fmt.Errorf("%s ended before it could serve: %v\n%s", r.name, p.Err(), strings.Join(proc.Tail(log, 5), "\n"))
		case <-ctx.Done():
			p.Kill()
			return ctx.Err()
		default:
		}
		if time.Now().After(end) {
			p.Kill()
			return fmt.Errorf("%s cannot serve after %s\n%s", r.name, readyTimeout, strings.Join(proc.Tail(log, 5), "\n"))
		}
	}
	r.process, r.adminAddr = p, admin
	r.run.record(history.Event{Kind: history.ProcessChanged, Proc: r.name, PID: p.PID, Detail: "ready"})
	r.run.loadBalancer.SetUsable(r.name, true)
	return nil
}

func (r *relay) logPath() string {
	return filepath.Join(r.dir, fmt.Sprintf("log-%d.txt", r.processCount))
}

// canServe reports whether the relay says at both of its addresses that it can serve.
func (r *relay) canServe(ctx context.Context, admin string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if !platform.Ready(ctx, admin) {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.listenAddr+"/up", nil)
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// recordEnd records that a process has ended.
func (run *labRun) recordEnd(name string, p *proc.Process, log string) {
	detail := "exit"
	text := "in order"
	if err := p.Err(); err != nil {
		text = err.Error()
	}
	if !p.Expected() {
		detail = "crash"
		text = fmt.Sprintf("ended unasked (%s): %s", text, strings.Join(proc.Tail(log, 3), " | "))
	}
	run.record(history.Event{Kind: history.ProcessChanged, Proc: name, PID: p.PID, Detail: detail, Text: text})
}

// markDownAfter makes the load balancer stop using the relay after a delay, unless a process with another count than the given
// one is running by then.
func (r *relay) markDownAfter(delay time.Duration, processCount int) {
	time.AfterFunc(delay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.processCount == processCount || r.process == nil { // it was not restarted meanwhile
			r.run.loadBalancer.SetUsable(r.name, false)
		}
	})
}
