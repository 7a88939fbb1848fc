// Command standin plays the parties round one relay process of the project for the review's cases: the platform
// (discovery and the receiver of notices), endpoints and clients. It uses the standard library only.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one run: its directory, its record and the processes that it started.
type world struct {
	root, dir string
	start     time.Time

	mu        sync.Mutex
	record    *os.File
	messages  map[string]*message
	strays    map[string]int // calls at endpoints with an id that no client handed in
	processes []*exec.Cmd
}

// message is one message as its client sees it.
type message struct {
	id, key, class string
	sentAt         time.Time
	due            time.Time
	status         int // of the relay's answer; 0 for none
	acceptedAt     time.Time
	deliveredAt    time.Time
	noticeAt       time.Time
	notice         string
	runs           int // times that an endpoint has run it
}

func newWorld() (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	return &world{root: root, dir: dir, start: time.Now(), record: record, messages: map[string]*message{}, strays: map[string]int{}}, nil
}

// log adds a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(format, args...)
}

func (w *world) logLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that were started and removes the directory.
func (w *world) close() {
	for _, p := range w.processes {
		p.Process.Kill()
		p.Wait()
	}
	w.record.Close()
	os.RemoveAll(w.dir)
}

// freeAddr returns a loopback address with a free port.
func freeAddr() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// server is one entry of discovery's list.
type server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// discovery is the platform at one address: the list, which does not change, and the receiver of notices.
type discovery struct {
	w        *world
	addr     string
	list     map[string]any
	listener net.Listener
	http     *http.Server
}

func (w *world) newDiscovery(name string, servers []server) (*discovery, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{w: w, addr: l.Addr().String(), list: map[string]any{"version": 41, "full": true, "servers": servers}, listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", func(rw http.ResponseWriter, req *http.Request) {
		answer := d.list
		if since := req.URL.Query().Get("since"); since != "" {
			ms, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms"))
			if since == "41" {
				select {
				case <-time.After(time.Duration(ms) * time.Millisecond):
				case <-req.Context().Done():
					return
				}
				answer = map[string]any{"version": 41, "full": false, "servers": []server{}}
			}
		}
		json.NewEncoder(rw).Encode(answer)
	})
	mux.HandleFunc("POST /status", func(rw http.ResponseWriter, req *http.Request) {
		for decoder := json.NewDecoder(req.Body); decoder.More(); {
			var n struct {
				ID      string `json:"id"`
				Status  string `json:"status"`
				AgainMs int    `json:"again_ms"`
			}
			if decoder.Decode(&n) != nil {
				rw.WriteHeader(http.StatusBadRequest)
				return
			}
			w.mu.Lock()
			if m := w.messages[n.ID]; m != nil && m.noticeAt.IsZero() {
				m.noticeAt, m.notice = time.Now(), n.Status
			}
			w.logLocked("platform %s: notice %s for %s, again_ms %d", name, n.Status, n.ID, n.AgainMs)
			w.mu.Unlock()
		}
		rw.WriteHeader(http.StatusNoContent)
	})
	d.http = &http.Server{Handler: mux}
	go d.http.Serve(l)
	return d, nil
}

// moveAway takes no new connections from now on and closes the open ones after 1.5 s.
func (d *discovery) moveAway() {
	d.listener.Close()
	time.AfterFunc(1500*time.Millisecond, func() { d.http.Close() })
}

// relay is one relay with its folder and addresses.
type relay struct {
	w                     *world
	listen, admin, config string
	state                 string
	discovery             string
	configuration         map[string]any
}

func (w *world) newRelay(d *discovery, settings map[string]any) (*relay, error) {
	r := &relay{w: w, listen: freeAddr(), state: filepath.Join(w.dir, "state"), config: filepath.Join(w.dir, "config.json"), discovery: d.addr}
	if err := os.Mkdir(r.state, 0o755); err != nil {
		return nil, err
	}
	r.configuration = map[string]any{"name": "n0", "listen": r.listen, "discovery": d.addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}, "known": d.list, "settings": settings}
	return r, nil
}

// writeConfig replaces the configuration file.
func (r *relay) writeConfig() error {
	data, err := json.MarshalIndent(r.configuration, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.config+".next", data, 0o644); err != nil {
		return err
	}
	return os.Rename(r.config+".next", r.config)
}

// deployRun returns the command run of the deploy file.
func (w *world) deployRun() (string, error) {
	data, err := os.ReadFile(filepath.Join(w.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(data)) {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			return strconv.Unquote(strings.TrimSpace(value))
		}
	}
	return "", fmt.Errorf("the deploy file has no run")
}

// startProcess starts a process of the relay and waits until it can serve.
func (r *relay) startProcess() (*exec.Cmd, error) {
	run, err := r.w.deployRun()
	if err != nil {
		return nil, err
	}
	r.admin = freeAddr()
	r.configuration["admin_addr"] = r.admin
	if err := r.writeConfig(); err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp(r.w.dir, "tmp")
	if err != nil {
		return nil, err
	}
	logFile, err := os.Create(fmt.Sprintf("%s/relay-%d.log", r.w.dir, len(r.w.processes)))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.w.root, logFile, logFile
	cmd.Env = append(os.Environ(), "BALANCER_NAME=n0", "BALANCER_LISTEN="+r.listen, "BALANCER_DISCOVERY="+r.configuration["discovery"].(string),
		"BALANCER_STATE="+r.state, "BALANCER_CONFIG="+r.config, "BALANCER_ADMIN_ADDR="+r.admin, "TMPDIR="+tmp)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	r.w.processes = append(r.w.processes, cmd)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if get("http://"+r.admin+"/ready") == http.StatusOK && get("http://"+r.listen+"/up") == http.StatusOK {
			r.w.log("relay: process %d is ready", cmd.Process.Pid)
			return cmd, nil
		}
	}
	return nil, fmt.Errorf("the relay is not ready after 10 s")
}

func get(url string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// metrics returns the lines of the relay's figures that begin with a prefix.
func (r *relay) metrics(prefix string) string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.admin + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	var text strings.Builder
	data := make([]byte, 64<<10)
	for {
		n, err := resp.Body.Read(data)
		text.Write(data[:n])
		if err != nil {
			break
		}
	}
	var lines []string
	for line := range strings.Lines(text.String()) {
		if strings.HasPrefix(line, prefix) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return strings.Join(lines, " ")
}

// relayLog adds the last lines of the relays' logs to the record.
func (w *world) relayLog() {
	for i := range w.processes {
		data, _ := os.ReadFile(fmt.Sprintf("%s/relay-%d.log", w.dir, i))
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		for _, line := range lines[max(0, len(lines)-12):] {
			w.log("log of process %d: %s", i, line)
		}
	}
}

var clientHTTP = http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: 400 * time.Millisecond}

// send hands a message in, as a client does, and returns it once it is answered or the client has given up.
func (r *relay) send(class, key string, dest int, deadline time.Duration, body string) *message {
	w := r.w
	w.mu.Lock()
	m := &message{id: fmt.Sprintf("9b1f03aa%08x", len(w.messages)), key: key, class: class, sentAt: time.Now()}
	m.due = m.sentAt.Add(deadline)
	w.messages[m.id] = m
	w.logLocked("client: sends %s of class %s to destination %d, %d ms", m.id, class, dest, deadline.Milliseconds())
	w.mu.Unlock()
	req, err := http.NewRequest("POST", "http://"+r.listen+"/api", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = "api.internal"
	for name, value := range map[string]string{"X-Request-Id": m.id, "X-Class": class, "X-Tenant": "sibiu", "X-Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10),
		"X-Addressing": fmt.Sprintf("dest=%d", dest)} {
		req.Header.Set(name, value)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	// A request's time counts from its last byte.
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) {
		w.mu.Lock()
		m.due = time.Now().Add(deadline)
		w.mu.Unlock()
	}}
	resp, err := clientHTTP.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.logLocked("client: no answer for %s: %v", m.id, err)
		return m
	}
	resp.Body.Close()
	if m.status = resp.StatusCode; m.status == 200 || m.status == 202 {
		m.acceptedAt = time.Now()
	}
	w.logLocked("client: %s is answered %d", m.id, m.status)
	return m
}
