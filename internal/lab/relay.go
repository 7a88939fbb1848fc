package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
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

// freeAddr finds a port of an address, from one upwards, that nobody listens on.
func freeAddr(ip string, port int) (addr string, err error) {
	for p := port; p < port+portsMost; p++ {
		addr = fmt.Sprintf("%s:%d", ip, p)
		l, lerr := net.Listen("tcp4", addr)
		if lerr == nil {
			l.Close()
			return addr, nil
		}
		err = lerr
	}
	return "", err
}

// block is a part of the loopback range that belongs to this run alone, as long as it holds the lock: processes
// keep their addresses across restarts, and none may be taken meanwhile by another lab on this machine.
type block struct {
	prefix string // 127.N
	lock   net.Listener
}

// The blocks, and the port whose listener is the lock of one. What other programs use lies below.
const (
	firstBlock = 16
	lastBlock  = 250
	lockPort   = 15999
)

// takeBlock takes a block that no other run has.
func takeBlock() (block, error) {
	from := firstBlock + os.Getpid()%(lastBlock-firstBlock)
	var last error
	for i := range lastBlock - firstBlock {
		n := firstBlock + (from-firstBlock+i)%(lastBlock-firstBlock)
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", n, lockPort))
		if err == nil {
			return block{fmt.Sprintf("127.%d", n), l}, nil
		}
		last = err
	}
	return block{}, fmt.Errorf("no part of the loopback range is free: %w", last)
}

// relayIP is the address of the nth relay.
func (b block) relayIP(n int) string { return fmt.Sprintf("%s.%d.%d", b.prefix, n/250, 1+n%250) }

// clientIP is the address of the nth client.
func (b block) clientIP(n int) string { return fmt.Sprintf("%s.%d.%d", b.prefix, 100+n/250, 1+n%250) }

// strangerIP is where strangers come from, sharedIP where parties stand that all relays reach at one address.
func (b block) strangerIP() string { return b.prefix + ".200.1" }
func (b block) sharedIP() string   { return b.prefix + ".201.1" }

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
		w.discovery.Reach(r.name, p.Name, addr)
	}
	discovery, err := w.discovery.Serve(r.name, ip+":0")
	if err != nil {
		return nil, err
	}
	f := w.scenario.Fleet
	r.config = platform.Config{Name: r.name, Listen: r.listen, Discovery: discovery, Source: ip, Seed: fmt.Sprintf("%016x", w.scenario.Seed*1000003+uint64(index)),
		Limits:   map[string]any{"cores": f.Cores, "memory_mb": f.MemoryMB, "sockets": f.Sockets, "disk_mb": f.DiskMB},
		Settings: w.draw.Settings(w.scenario, index)}
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
	known, version, err := r.w.discovery.List(r.name)
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
		Log: log}, func(p *proc.Process) { r.w.ended(r.name, p, log) })
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
	r.w.front.Use(r.name, true)
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
			r.w.front.Use(r.name, false)
		}
	})
}

// retune puts a changed configuration in place and sends SIGHUP. Broken says how the file is spoilt.
func (r *relay) retune(change func(settings map[string]any), broken string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now == nil {
		return nil
	}
	change(r.config.Settings)
	data, err := r.encode()
	if err != nil {
		return err
	}
	switch broken {
	case "cut":
		data = data[:len(data)/2]
	case "empty":
		data = nil
	case "missing":
		c := r.config
		c.Settings = map[string]any{}
		for k, v := range r.config.Settings {
			if k != "rules" {
				c.Settings[k] = v
			}
		}
		if data, err = json.Marshal(c); err != nil {
			return err
		}
	}
	if err := r.write(data); err != nil {
		return err
	}
	return r.now.Signal(syscall.SIGHUP, false)
}

// byHand takes an endpoint out at the relay, or gives it back.
func (r *relay) byHand(ctx context.Context, endpoint string, out bool) error {
	r.mu.Lock()
	admin, up := r.admin, r.now != nil
	r.mu.Unlock()
	if !up {
		return nil
	}
	how := "enable"
	if out {
		how = "disable"
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if !out { // it may be sent to from now on
		r.w.record(history.Event{Kind: history.ByHand, Relay: r.name, Endpoint: endpoint, How: how})
	}
	status, err := platform.ByHand(ctx, admin, endpoint, out)
	if out {
		r.w.record(history.Event{Kind: history.ByHand, Relay: r.name, Endpoint: endpoint, How: how, Status: status})
	}
	if err != nil || status/100 != 2 {
		return fmt.Errorf("%s: %s %s: status %d, %v", r.name, how, endpoint, status, err)
	}
	return nil
}
