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

// Stand-ins for a fleet of real processes that shares few cores: what clients were promised, a platform and endpoints that
// now and then say nothing, and relays that are restarted.

// promise is one message that a relay answered with 202.
type acceptedMessage struct {
	relay int
	due   time.Time
}

// outcomes are what clients were promised, and when each message was delivered or its end told.
type outcomes struct {
	mu       sync.Mutex
	accepted map[string]acceptedMessage
	ended    map[string]time.Time
}

func newOutcomes() *outcomes {
	return &outcomes{accepted: map[string]acceptedMessage{}, ended: map[string]time.Time{}}
}

func (o *outcomes) accept(id string, p acceptedMessage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted[id] = p
}

func (o *outcomes) end(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.ended[id]; !ok {
		o.ended[id] = time.Now()
	}
}

// endpoint answers a part of its calls, and never the others.
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

// noticeTaker is a platform whose connections fall silent after some POSTs of notices each: what is sent on them from then
// on is read by nobody.
type stallingPlatform struct {
	*platform
	outcomes *outcomes
}

const noticesPerConn = 8

type postCountKey struct{}

func startStallingPlatform(t *testing.T, o *outcomes, p *platform) string {
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
		n.platform.serve(w, req)
		return
	}
	posts := req.Context().Value(postCountKey{}).(*int)
	if *posts++; *posts > noticesPerConn {
		<-req.Context().Done()
		return
	}
	for lines := json.NewDecoder(req.Body); ; {
		var told notice
		if lines.Decode(&told) != nil {
			break
		}
		n.outcomes.end(told.ID)
	}
	w.WriteHeader(http.StatusNoContent)
}

// startOnCores starts a command whose threads may use only some cores.
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

// outage is from when a relay was told to end, or killed, until it was ready again.
type outage struct{ from, to time.Time }

// restarted is a relay, process after process.
type restartedRelay struct {
	number        int
	config, state string
	addr          string
	cores         unix.CPUSet

	mu      sync.Mutex
	cmd     *exec.Cmd
	outages []outage
}

// newRestarted has a relay listen at a fixed address, so that clients find it again.
func newRestartedRelay(t *testing.T, number int, config string, cores unix.CPUSet) *restartedRelay {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer free.Close()
	r := &restartedRelay{number: number, config: filepath.Join(t.TempDir(), "config.json"), state: t.TempDir(),
		addr: free.Addr().String(), cores: cores}
	text := strings.Replace(config, "127.0.0.1:0", r.addr, 1)
	if err := os.WriteFile(r.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return r
}

// start starts a process, and waits until it is ready.
func (r *restartedRelay) start(t *testing.T) {
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(path)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+r.config, "BALANCER_STATE="+r.state)
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
			t.Fatal("a relay is not ready: ", err)
		}
	}
}

// restart ends the process by a signal, and starts the next one.
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

// upgrade starts the next process beside the one that runs, and then ends that.
func (r *restartedRelay) upgrade(t *testing.T) {
	from, old := time.Now(), r.cmd
	r.start(t)
	old.Process.Signal(syscall.SIGTERM)
	old.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outages = append(r.outages, outage{from, time.Now()})
}

// limit is by when a message has to have ended: no notice is overdue from a restart until some time after the relay is ready.
func (r *restartedRelay) endDeadline(p acceptedMessage) time.Time {
	const grace = 1500 * time.Millisecond
	limit := p.due.Add(endLimit)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.outages {
		if ready := o.to.Add(grace); limit.After(o.from) && limit.Before(ready) {
			limit = ready
		}
	}
	return limit
}
