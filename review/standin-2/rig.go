// Command review2 plays the cases of the second review: it starts relays with the commands of the deploy file, stands in
// for the platform, the clients and the endpoints round them, and judges what these can see.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// object is a JSON object.
type object = map[string]any

// rig is one run of a case.
type rig struct {
	mu       sync.Mutex
	start    time.Time
	record   *os.File
	dir      string // temporary folder
	trouble  bool
	procs    []*relay
	hosts    []*host
	idle     map[string][]*client // connections of clients that wait for their next request, by address
	broken   []string
	closers  []func()
	requests int
}

// unplayable ends a run that cannot show anything.
type unplayable struct{ reason string }

func newRig(recordPath string) *rig {
	dir, err := os.MkdirTemp("", "review2-")
	check(err)
	record, err := os.Create(recordPath)
	check(err)
	return &rig{start: time.Now(), record: record, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
}

func check(err error) {
	if err != nil {
		panic(unplayable{err.Error()})
	}
}

// now is the time since the start of the run.
func (r *rig) now() time.Duration { return time.Since(r.start) }

// log writes a line to record.txt.
func (r *rig) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (r *rig) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.log("RULE BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// close ends all processes and removes the temporary folder.
func (r *rig) close() {
	for _, p := range r.procs {
		p.kill()
	}
	for _, f := range r.closers {
		f()
	}
	os.RemoveAll(r.dir)
	r.record.Close()
}

// run plays a case and exits with its result.
func run(recordPath string, play func(r *rig)) {
	code := func() (code int) {
		r := newRig(recordPath)
		defer r.close()
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		go func() {
			<-stop
			r.log("the run was stopped from outside")
			r.close()
			os.Exit(2)
		}()
		defer func() {
			switch p := recover().(type) {
			case nil:
			case unplayable:
				r.log("could not run: %s", p.reason)
				logs, _ := filepath.Glob(filepath.Join(r.dir, "*.txt"))
				for _, path := range logs {
					text, _ := os.ReadFile(path)
					r.log("%s ends with %q", filepath.Base(path), text[max(0, len(text)-600):])
				}
				fmt.Println("could not run:", p.reason)
				code = 2
			default:
				panic(p)
			}
		}()
		play(r)
		if len(r.broken) > 0 {
			fmt.Println("rule broken:", r.broken[0])
			return 1
		}
		r.log("the rule held")
		fmt.Println("the rule held")
		return 0
	}()
	os.Exit(code)
}

// endpoint is what the list says of an endpoint.
type endpoint struct {
	ID, Addr, Zone, Kind, State string
	Cell                        int
	Weight                      float64
}

func (e endpoint) entry() object {
	return object{"id": e.ID, "addr": e.Addr, "zone": e.Zone, "kind": e.Kind, "cell": e.Cell, "state": e.State, "weight": e.Weight, "started_ms": 0}
}

// platform stands in for discovery and for the receiver of notices.
type platform struct {
	rig      *rig
	addr     string
	mu       sync.Mutex
	version  int
	list     []endpoint
	changes  []change
	changed  chan struct{}
	notices  []noticeSeen
	onNotice func(n noticeSeen) // may be nil
}

type change struct {
	version int
	entry   endpoint
}

type noticeSeen struct {
	ID, Status string
	At         time.Duration
}

func (r *rig) newPlatform(list ...endpoint) *platform {
	p := &platform{rig: r, version: 1, list: list, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", p.serveHosts)
	mux.HandleFunc("POST /status", p.serveStatus)
	server := &http.Server{Handler: mux}
	go server.Serve(listener)
	r.closers = append(r.closers, func() { server.Close() })
	return p
}

// change changes the list.
func (p *platform) change(e endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.changes = append(p.changes, change{p.version, e})
	found := false
	for i := range p.list {
		if p.list[i].ID == e.ID {
			p.list[i], found = e, true
		}
	}
	if !found {
		p.list = append(p.list, e)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.rig.log("discovery: version %d, %s is %s", p.version, e.ID, e.State)
}

func (p *platform) known() object {
	p.mu.Lock()
	defer p.mu.Unlock()
	servers := []object{}
	for _, e := range p.list {
		if e.State != "left" {
			servers = append(servers, e.entry())
		}
	}
	return object{"version": p.version, "full": true, "servers": servers}
}

func (p *platform) serveHosts(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	since, err := strconv.Atoi(req.URL.Query().Get("since"))
	if err != nil {
		json.NewEncoder(w).Encode(p.known())
		return
	}
	wait, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms"))
	deadline := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	for {
		p.mu.Lock()
		version, changed := p.version, p.changed
		latest := map[string]endpoint{}
		for _, c := range p.changes {
			if c.version > since {
				latest[c.entry.ID] = c.entry
			}
		}
		p.mu.Unlock()
		answer := func() {
			servers := []object{}
			for _, e := range latest {
				servers = append(servers, e.entry())
			}
			json.NewEncoder(w).Encode(object{"version": version, "full": false, "servers": servers})
		}
		if version > since {
			answer()
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer()
			return
		case <-req.Context().Done():
			return
		}
	}
}

func (p *platform) serveStatus(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	for line := range bytes.Lines(body) {
		var n noticeSeen
		if json.Unmarshal(line, &n) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n.At = p.rig.now()
		p.mu.Lock()
		p.notices = append(p.notices, n)
		p.mu.Unlock()
		if p.onNotice != nil {
			p.onNotice(n)
		}
		p.rig.log("notice: %s", strings.TrimSpace(string(line)))
	}
	w.WriteHeader(http.StatusNoContent)
}

// noticeOf returns the first notice for an id.
func (p *platform) noticeOf(id string) (noticeSeen, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.notices {
		if n.ID == id {
			return n, true
		}
	}
	return noticeSeen{}, false
}

// settings returns the settings of a small deployment, as the page WIRE shows them.
func settings(change func(s object)) object {
	s := object{
		"bounds": object{"cancel": true, "conn-idle": 10.0, "cpu-us-per-request": 0.0, "cpu-us-per-s": 637500, "dial-timeout": 1.5, "max-attempts": 8, "max-retry-after": 3.0,
			"most-held": 344, "peers": false, "probes": false, "retry-after": true, "second-copies": false, "streams-per-conn": 8},
		"classes":       []object{{"aim": 3.0, "effect": "deduplicated", "give-up": 24.0, "group": "all", "late-share": 0.3, "name": "order-msg", "stream": false, "window": 15.0, "worth": 1.0}},
		"client-habits": object{"marks-retry": false},
		"domain-type":   "deliver",
		"family-info": object{"late": "halving", "notes": "", "own-limits": []bool{false, false}, "per-call": []int{20, 1}, "refused-price": 0.05,
			"report-x0": "share of the allowance that is left", "report-x1": "calls a second that the limit allows; 0 where there is none", "workers": 27, "zone-fee": []float64{0}},
		"fleet-size": 2, "goal": object{"whole": 0.4, "worst-class": 0.0, "worst-tenant": 0.35, "worst-window": 0.25}, "index": 0,
		"load-report": object{"columns": []string{"x0", "x1"}, "how": "inline"}, "over-share-worth": 0.05,
		"prices":        object{"connection": 0.0, "cross-zone": 0.0, "handshake": 0.06, "late-fail": 0.03, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "registry-mode": 0.0, "waste": 0.05},
		"registry-mode": "subscribe",
		"rules":         object{"ask-within": 10.0, "cold": 12.0, "cold-from": 0.29, "drain-grace": 1.0, "fall": 2.0, "grace-to-answer": 0.02, "overload-factor": 1.5},
		"skus":          []string{"big-buyers", "small-partners"},
		"tenants":       []object{{"fraction": 0.6, "name": "sibiu", "quota-per-s": 40.0}, {"fraction": 0.4, "name": "brasov", "quota-per-s": 30.0}},
		"tick":          0.005, "tier": 0, "tiers": []string{"partner-systems"}, "weights": "rough", "worth-by": "request", "zone": 0, "zones": []string{"sibiu-dc1"},
	}
	if change != nil {
		change(s)
	}
	return s
}

// relay is one process of a relay.
type relay struct {
	rig    *rig
	name   string
	addr   string // where clients connect
	admin  string // second address; empty for none
	state  string
	config string
	cmd    *exec.Cmd
	exited chan struct{}
	ended  bool
}

// givenAddrs are the addresses that freeAddr has returned.
var givenAddrs = map[string]bool{}

// freeAddr returns a loopback address that is free now. Its IP address is of this run alone, so that no other process takes
// the port before it is used.
func freeAddr() string {
	pid := os.Getpid()
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>14%64, pid>>7&127, 1+pid&127))
		check(err)
		addr := l.Addr().String()
		l.Close()
		if !givenAddrs[addr] {
			givenAddrs[addr] = true
			return addr
		}
	}
}

// relaySpec is the configuration of a relay.
type relaySpec struct {
	name, addr, admin, state string
	platform                 string
	known, settings          object
	extra                    object
}

func (r *rig) writeConfig(path string, s relaySpec) {
	conf := object{"name": s.name, "listen": s.addr, "discovery": s.platform, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3}, "known": s.known, "settings": s.settings}
	if s.admin != "" {
		conf["admin_addr"] = s.admin
	}
	for k, v := range s.extra {
		conf[k] = v
	}
	data, err := json.MarshalIndent(conf, "", " ")
	check(err)
	check(os.WriteFile(path+".new", data, 0o644))
	check(os.Rename(path+".new", path))
}

// startRelay starts the program with the command of the deploy file.
func (r *rig) startRelay(s relaySpec) *relay {
	n := len(r.procs)
	p := &relay{rig: r, name: s.name, addr: s.addr, admin: s.admin, state: s.state, config: filepath.Join(r.dir, fmt.Sprintf("config-%d.json", n)), exited: make(chan struct{})}
	check(os.MkdirAll(s.state, 0o755))
	tmp := filepath.Join(r.dir, fmt.Sprintf("tmp-%d", n))
	check(os.MkdirAll(tmp, 0o755))
	r.writeConfig(p.config, s)
	p.cmd = exec.Command("/bin/sh", "-c", "exec bin/larchrouter")
	p.cmd.Dir = os.Getenv("REVIEW_ROOT")

	p.cmd.Env = append(os.Environ(), "BALANCER_NAME="+s.name, "BALANCER_LISTEN="+s.addr, "BALANCER_DISCOVERY="+s.platform, "BALANCER_STATE="+s.state,
		"BALANCER_CONFIG="+p.config, "BALANCER_ADMIN_ADDR="+s.admin, "TMPDIR="+tmp)
	output, err := os.Create(filepath.Join(r.dir, fmt.Sprintf("log-%d.txt", n)))
	check(err)
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		output, err = os.Create(filepath.Join(keep, fmt.Sprintf("log-%d.txt", n)))
		check(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	check(p.cmd.Start())
	r.procs = append(r.procs, p)
	r.log("process %d of relay %s started", p.cmd.Process.Pid, s.name)
	go func() {
		p.cmd.Wait()
		output.Close()
		close(p.exited)
	}()
	return p
}

// awaitUp waits until the relay answers GET /up with 200.
func (p *relay) awaitUp() {
	p.awaitURL("http://"+p.addr+"/up", 10*time.Second)
	p.rig.log("relay %s is ready", p.name)
}

func (p *relay) awaitURL(url string, limit time.Duration) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		resp, err := client.Get(url)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	panic(unplayable{"not ready: " + url})
}

func (p *relay) signal(s syscall.Signal) {
	p.rig.log("%v to process %d of relay %s", s, p.cmd.Process.Pid, p.name)
	p.cmd.Process.Signal(s)
}

func (p *relay) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// kill ends the process.
func (p *relay) kill() {
	if p.running() {
		p.cmd.Process.Kill()
		<-p.exited
	}
}

// call is a request as an endpoint received it.
type call struct {
	ID, Key string
	IDs     []string
	At      time.Duration
	out     *outCall
}

// outCall is a call that an endpoint has not answered.
type outCall struct {
	conn     *net.TCPConn
	answered bool
}

// connKey is the context key of a request's connection.
type connKey struct{}

// isOpen reports whether neither side has closed a connection. The machine takes a close on loopback into account at once,
// so a connection that is open now was open before.
func isOpen(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	established := false
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		established = err == nil && info.State == 1
	})
	return established
}

// host is a stand-in for an endpoint.
type host struct {
	rig   *rig
	name  string
	addr  string
	mu    sync.Mutex
	calls []call
	twice func(id string, first, second call) // called if a message comes while an earlier call with it is out on an open connection
}

// newHost starts an endpoint; serve answers its calls.
func (r *rig) newHost(name string, serve func(c call, w http.ResponseWriter, req *http.Request)) *host {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	return r.newHostAt(name, listener, serve)
}

func (r *rig) newHostAt(name string, listener net.Listener, serve func(c call, w http.ResponseWriter, req *http.Request)) *host {
	h := &host{rig: r, name: name, addr: listener.Addr().String()}
	r.mu.Lock()
	r.hosts = append(r.hosts, h)
	r.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		c := call{ID: req.Header.Get("X-Request-Id"), Key: req.Header.Get("Idempotency-Key"), At: r.now()}
		if req.URL.Path == "/receive-many" {
			c.IDs = batchIDs(body)
		} else {
			c.IDs = []string{c.ID}
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		conn, _ := req.Context().Value(connKey{}).(*net.TCPConn)
		c.out = &outCall{conn: conn}
		r.logCall(h, c)
		serve(c, w, req)
		if rc := http.NewResponseController(w); rc.Flush() == nil {
			r.mu.Lock()
			c.out.answered = true
			r.mu.Unlock()
		}
	})}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		tcp, _ := conn.(*net.TCPConn)
		return context.WithValue(ctx, connKey{}, tcp)
	}
	go server.Serve(listener)
	r.closers = append(r.closers, func() { server.Close() })
	return h
}

// logCall records a call, and looks for earlier ones that are still out.
func (r *rig) logCall(h *host, c call) {
	first := map[string]call{}
	r.mu.Lock()
	for _, other := range r.hosts {
		other.mu.Lock()
		for _, earlier := range other.calls {
			if earlier.out.answered || earlier.out.conn == nil || !isOpen(earlier.out.conn) {
				continue
			}
			for _, id := range earlier.IDs {
				if slices.Contains(c.IDs, id) {
					first[id] = earlier
				}
			}
		}
		other.mu.Unlock()
	}
	h.mu.Lock()
	h.calls = append(h.calls, c)
	h.mu.Unlock()
	r.mu.Unlock()
	r.log("endpoint %s got %v", h.name, c.IDs)
	for id, earlier := range first {
		if h.twice != nil {
			h.twice(id, earlier, c)
		}
	}
}

// callsOf returns the calls with a message.
func (h *host) callsOf(id string) (calls []call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.calls {
		for _, other := range c.IDs {
			if other == id {
				calls = append(calls, c)
			}
		}
	}
	return calls
}

// batchIDs returns the ids of a call with several messages.
func batchIDs(body []byte) (ids []string) {
	for len(body) > 0 {
		line, rest, ok := bytes.Cut(body, []byte("\r\n"))
		fields := strings.Fields(string(line))
		if !ok || len(fields) != 3 {
			return ids
		}
		length, _ := strconv.Atoi(fields[2])
		ids = append(ids, fields[0])
		body = rest[min(len(rest), length+2):]
	}
	return ids
}

// submission is a message as a client hands it in.
type submission struct {
	ID, Class, Key string
	Dest, Deadline int
	Body           string
}

// text returns the request.
func (s submission) text() string {
	key := ""
	if s.Key != "" {
		key = "Idempotency-Key: " + s.Key + "\r\n"
	}
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: sibiu\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\nX-Addressing: dest=%d\r\n\r\n%s",
		s.ID, s.Class, s.Deadline, key, len(s.Body), s.Dest, s.Body)
}

// id returns a new id.
func (r *rig) id() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	return fmt.Sprintf("%016x", uint64(0x9b1f03aa5c000000)+uint64(os.Getpid()%4096)<<12+uint64(r.requests))
}

// client is a client's connection.
type client struct {
	conn    net.Conn
	reader  *bufio.Reader
	closing bool // the relay closes the connection after its answer
}

// handIn hands a message in as clients do: on a connection that is idle, or on a new one if all are busy. The status is 0
// without an answer.
func (r *rig) handIn(addr string, s submission) (status int) {
	r.mu.Lock()
	var c *client
	if idle := r.idle[addr]; len(idle) > 0 {
		c, r.idle[addr] = idle[len(idle)-1], idle[:len(idle)-1]
	}
	r.mu.Unlock()
	if c == nil {
		var err error
		if c, err = dialClient(addr); err != nil {
			r.log("client could not connect: %v", err)
			return 0
		}
	}
	if status = c.submit(r, s); status != 0 && !c.closing {
		r.mu.Lock()
		if r.idle == nil {
			r.idle = map[string][]*client{}
		}
		r.idle[addr] = append(r.idle[addr], c)
		r.mu.Unlock()
		return status
	}
	c.conn.Close()
	return status
}

// tellLimit adds a report of a partner that has a limit to an answer.
func tellLimit(w http.ResponseWriter, left, rate float64) {
	w.Header().Set("X-Load", fmt.Sprintf("{\"x0\":%g,\"x1\":%g}", left, rate))
}

func dialClient(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// submit hands a message in and waits 400 ms for the answer, as clients do. The status is 0 without an answer.
func (c *client) submit(r *rig, s submission) (status int) {
	r.log("client hands in %s for destination %d, class %s, %d ms", s.ID, s.Dest, s.Class, s.Deadline)
	c.conn.SetDeadline(time.Now().Add(400 * time.Millisecond))
	if _, err := io.WriteString(c.conn, s.text()); err != nil {
		r.log("client could not send %s: %v", s.ID, err)
		return 0
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		r.log("client got no answer to %s: %v", s.ID, err)
		c.conn.Close()
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	c.closing = resp.Close
	r.log("client got %d to %s", resp.StatusCode, s.ID)
	return resp.StatusCode
}
