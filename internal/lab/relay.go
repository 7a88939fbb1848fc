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

// The times of the platform's page on restarts.
const (
	readyIn     = 30 * time.Second        // for a relay that starts
	lastClients = 300 * time.Millisecond  // new connections come for so long after SIGTERM
	killAfter   = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	restartIn   = 600 * time.Millisecond  // from the end to the next start
)

// relay is one relay of the run: its name, folder and addresses stay the same across its processes.
type relay struct {
	name   string
	w      *world
	dir    string // of configuration, logs and state
	listen string
	config platform.Config

	mu     sync.Mutex // starts and ends of processes come one after the other
	now    *proc.Process
	admin  string
	n      int // processes so far
	paused bool
	quit   bool // the run ends
}

// The ports of a relay's addresses: below those that the kernel gives away.
const (
	clientPort = 8443
	adminPort  = 15000
	portsMost  = 100
)

// newRelay makes a relay's folder, addresses and links.
func newRelay(w *world, index int) (*relay, error) {
	r := &relay{name: fmt.Sprintf("relay/%d", index), w: w, dir: filepath.Join(w.dir, fmt.Sprintf("relay-%d", index))}
	ip := w.block.relayIP(index)
	for _, d := range []string{"state", "tmp"} {
		if err := os.MkdirAll(filepath.Join(r.dir, d), 0o755); err != nil {
			return nil, err
		}
	}
	var err error
	if r.listen, err = freeAddr(ip, clientPort); err != nil {
		return nil, err
	}
	for _, p := range w.scenario.Parties() {
		if p.Kind() != "endpoint" {
			continue
		}
		addr := w.shared[p.Name]
		if addr == "" {
			if addr, err = w.partners.Serve(r.name, p.Name, ip+":0"); err != nil {
				return nil, err
			}
		}
		w.discovery.SetAddr(r.name, p.Name, addr)
	}
	discovery, err := w.discovery.Serve(r.name, ip+":0")
	if err != nil {
		return nil, err
	}
	f := w.scenario.Fleet
	r.config = platform.Config{Name: r.name, Listen: r.listen, Discovery: discovery, Source: ip, Seed: fmt.Sprintf("%016x", w.scenario.Seed*1000003+uint64(index)),
		Limits:   map[string]any{"cores": f.Cores, "memory_mb": f.MemoryMB, "sockets": f.Sockets, "disk_mb": f.DiskMB},
		Settings: w.draw.Settings(w.scenario, index)}
	if f.BacklogMB > 0 {
		r.config.Backlog = map[string]any{"disk_mb": f.BacklogMB}
	}
	if w.parties != nil {
		if err := w.parties.add(r.name, ip, r.listen); err != nil {
			return nil, err
		}
		r.config.Fleet = map[string]any{"keepers": w.keeperFronts(), "zone": w.scenario.Zone(index)}
		if f.Copies > 0 {
			if err := r.copies(ip); err != nil {
				return nil, err
			}
		}
	}
	return r, nil
}

func (r *relay) configPath() string { return filepath.Join(r.dir, "config.json") }

// write puts a configuration in place, whole.
func (r *relay) write(data []byte) error {
	next := r.configPath() + ".next"
	if err := os.WriteFile(next, data, 0o644); err != nil {
		return err
	}
	return os.Rename(next, r.configPath())
}

// encode is the configuration as it stands.
func (r *relay) encode() ([]byte, error) {
	known, version, err := r.w.discovery.Known(r.name)
	if err != nil {
		return nil, err
	}
	r.config.Known = known
	r.w.record(history.Event{Kind: history.Told, Relay: r.name, Version: version, How: "configuration"})
	return json.MarshalIndent(r.config, "", " ")
}

// begin starts a process of the relay, and returns once it can serve. Beside says that one runs already.
func (r *relay) begin(ctx context.Context, beside bool) error {
	admin, err := freeAddr(strings.Split(r.listen, ":")[0], adminPort)
	if err != nil {
		return err
	}
	r.config.Admin = admin
	data, err := r.encode()
	if err != nil {
		return err
	}
	if err := r.write(data); err != nil {
		return err
	}
	text := ""
	if beside {
		text = "beside"
	}
	r.n++
	env := []string{"BALANCER_NAME=" + r.name, "BALANCER_LISTEN=" + r.listen, "BALANCER_DISCOVERY=" + r.config.Discovery,
		"BALANCER_STATE=" + filepath.Join(r.dir, "state"), "BALANCER_CONFIG=" + r.configPath(), "BALANCER_ADMIN_ADDR=" + admin,
		"TMPDIR=" + filepath.Join(r.dir, "tmp")}
	log := r.logPath()
	r.w.record(history.Event{Kind: history.Proc, Proc: r.name, How: "start", Text: text})
	p, err := proc.Start(proc.Spec{Name: r.name, Command: r.w.options.Command, Dir: r.w.options.Root, Env: append(env, r.w.options.Env...), Sockets: r.w.scenario.Fleet.Sockets,
		Log: log, Cores: r.w.relayCores}, func(p *proc.Process) { r.w.ended(r.name, p, log) })
	if err != nil {
		return err
	}
	for end := time.Now().Add(readyIn); !r.serves(ctx, admin); time.Sleep(10 * time.Millisecond) {
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
			return fmt.Errorf("%s cannot serve after %s\n%s", r.name, readyIn, strings.Join(proc.Tail(log, 5), "\n"))
		}
	}
	r.now, r.admin = p, admin
	r.w.record(history.Event{Kind: history.Proc, Proc: r.name, PID: p.PID, How: "ready"})
	r.w.front.SetUsable(r.name, true)
	return nil
}

func (r *relay) logPath() string { return filepath.Join(r.dir, fmt.Sprintf("log-%d.txt", r.n)) }

// serves tells whether a process says that it can serve, at both addresses.
func (r *relay) serves(ctx context.Context, admin string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if !platform.Ready(ctx, admin) {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.listen+"/up", nil)
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

// ended tells of a process that has ended.
func (w *world) ended(name string, p *proc.Process, log string) {
	how := "exit"
	text := "in order"
	if err := p.Err(); err != nil {
		text = err.Error()
	}
	if !p.Expected() {
		how = "crash"
		text = fmt.Sprintf("ended unasked (%s): %s", text, strings.Join(proc.Tail(log, 3), " | "))
	}
	w.record(history.Event{Kind: history.Proc, Proc: name, PID: p.PID, How: how, Text: text})
}

// notice has the front notice, some time after, that a relay has gone.
func (r *relay) notice(after time.Duration, n int) {
	time.AfterFunc(after, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.n == n || r.now == nil { // it has not come back meanwhile
			r.w.front.SetUsable(r.name, false)
		}
	})
}
