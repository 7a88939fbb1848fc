package relay

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Stand-ins for a fleet of real processes that shares few cores: the record of accepted messages, a platform and
// endpoints that sometimes do not answer, and relays that are restarted.

// acceptedMessage is a message that a relay answered with 202.
type acceptedMessage struct {
	relay int
	due   time.Time
}

// outcomes records the accepted messages, and when each was delivered or its notice arrived.
type outcomes struct {
	mu       sync.Mutex
	accepted map[string]acceptedMessage
	ended    map[string]time.Time
}

func newOutcomes() *outcomes {
	return &outcomes{accepted: map[string]acceptedMessage{}, ended: map[string]time.Time{}}
}

func (o *outcomes) accept(id string, message acceptedMessage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted[id] = message
}

func (o *outcomes) end(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.ended[id]; !ok {
		o.ended[id] = time.Now()
	}
}

// startPartialEndpoint starts an endpoint that answers only a fraction of its calls, and returns its address.
func startPartialEndpoint(t *testing.T, outcomes *outcomes, answerRate float64) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		if rand.Float64() >= answerRate {
			<-req.Context().Done()
			return
		}
		outcomes.end(req.Header.Get("X-Request-Id"))
	}))
	t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String()
}

// stallingPlatform is a platform whose connections stall after noticesPerConn POSTs of notices: what is sent on them
// from then on is not read.
type stallingPlatform struct {
	*fakePlatform
	outcomes *outcomes
}

const noticesPerConn = 8

type postCountKey struct{}

func startStallingPlatform(t *testing.T, o *outcomes, p *fakePlatform) string {
	stalling := &stallingPlatform{p, o}
	s := httptest.NewUnstartedServer(http.HandlerFunc(stalling.serve))
	s.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, postCountKey{}, new(int))
	}
	s.Start()
	t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String()
}

func (n *stallingPlatform) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/status" {
		n.fakePlatform.serve(w, req)
		return
	}
	posts := req.Context().Value(postCountKey{}).(*int)
	if *posts++; *posts > noticesPerConn {
		<-req.Context().Done()
		return
	}
	for lines := json.NewDecoder(req.Body); ; {
		var received notice
		if lines.Decode(&received) != nil {
			break
		}
		n.outcomes.end(received.ID)
	}
	w.WriteHeader(http.StatusNoContent)
}

// startOnCores starts a command whose threads may use only the given cores.
func startOnCores(t *testing.T, cmd *exec.Cmd, cores unix.CPUSet) {
	t.Helper()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var previous unix.CPUSet
	if err := unix.SchedGetaffinity(0, &previous); err != nil {
		t.Fatal(err)
	}
	if err := unix.SchedSetaffinity(0, &cores); err != nil {
		t.Fatal(err)
	}
	defer unix.SchedSetaffinity(0, &previous)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
}

// outage is the time from when a relay was stopped or killed until it was ready again.
type outage struct{ startedAt, readyAt time.Time }

// restartedRelay is a relay that runs as one process after another.
type restartedRelay struct {
	number               int
	configPath, stateDir string
	addr                 string
	cores                unix.CPUSet

	mu      sync.Mutex
	cmd     *exec.Cmd
	outages []outage
}

// newRestartedRelay creates a relay with a fixed address, so that clients find it again after a restart.
func newRestartedRelay(t *testing.T, number int, config string, cores unix.CPUSet) *restartedRelay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	r := &restartedRelay{number: number, configPath: filepath.Join(t.TempDir(), "config.json"), stateDir: t.TempDir(),
		addr: listener.Addr().String(), cores: cores}
	configText := strings.Replace(config, "127.0.0.1:0", r.addr, 1)
	if err := os.WriteFile(r.configPath, []byte(configText), 0o600); err != nil {
		t.Fatal(err)
	}
	return r
}

// start starts a process and waits until it is ready.
func (r *restartedRelay) start(t *testing.T) {
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(path)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+r.configPath, "BALANCER_STATE="+r.stateDir)
	startOnCores(t, cmd, r.cores)
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	r.mu.Lock()
	r.cmd = cmd
	r.mu.Unlock()
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		resp, err := client.Get("http://" + r.addr + "/up")
		if err == nil {
			resp.Body.Close()
			return
		}
		if time.Now().After(end) {
			t.Fatal("a relay did not become ready: ", err)
		}
	}
}

// restart ends the process by a signal and starts the next one.
func (r *restartedRelay) restart(t *testing.T, signal syscall.Signal) {
	from := time.Now()
	r.cmd.Process.Signal(signal)
	kill := time.AfterFunc(3700*time.Millisecond, func() { r.cmd.Process.Kill() })
	r.cmd.Wait()
	kill.Stop()
	r.start(t)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outages = append(r.outages, outage{from, time.Now()})
}

// upgrade starts the next process beside the running one, and then stops that.
func (r *restartedRelay) upgrade(t *testing.T) {
	from, old := time.Now(), r.cmd
	r.start(t)
	old.Process.Signal(syscall.SIGTERM)
	old.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outages = append(r.outages, outage{from, time.Now()})
}

// endDeadline returns when a message must have ended. No notice is overdue from a restart until some time after the
// relay is ready again.
func (r *restartedRelay) endDeadline(message acceptedMessage) time.Time {
	const grace = 1500 * time.Millisecond
	limit := message.due.Add(maxEndDelay)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.outages {
		if ready := o.readyAt.Add(grace); limit.After(o.startedAt) && limit.Before(ready) {
			limit = ready
		}
	}
	return limit
}
