package relay

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/internal/discovery"
	"larchrouter/internal/loopback"
)

// The smallest limits that the operators' page on terms names, with the most descriptors.
const (
	smallestMemoryMB = 32
	mostSockets      = 1024
	// maxShownLog is how many bytes of a relay's log a failed test shows.
	maxShownLog = 2000
	// reconnectPause is how long a peer of a crowd waits before it connects again.
	reconnectPause = 100 * time.Millisecond
	// strangerTimeout is how long a peer that sends no proper request may be left without an error or a close.
	strangerTimeout = 3 * time.Second
)

// limitedProcess is a relay process at the smallest limits, with an admin address.
type limitedProcess struct {
	cmd         *exec.Cmd
	addr, admin string
	state       string
	platform    *fakePlatform
	stop        chan struct{}
	sampler     sync.WaitGroup
	exited      chan struct{}
	maxFiles    atomic.Int64 // bytes of the files in the state directory, at most
}

// limitedConfig is the configuration of a relay at the smallest limits.
func limitedConfig(t *testing.T, platform *fakePlatform, addr, admin string) string {
	config := string(testConfig(t, platform))
	config = strings.Replace(config, `"memory_mb":192,"sockets":1024`, fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, smallestMemoryMB, mostSockets), 1)
	return strings.Replace(config, `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q,"admin_addr":%q`, addr, admin), 1)
}

// startLimitedProcess starts the program at the smallest limits. configure, which may be nil, changes its configuration.
func startLimitedProcess(t *testing.T, platform *fakePlatform, state string, configure func(string) string) *limitedProcess {
	t.Helper()
	return startLimitedProcessAt(t, platform, state, loopback.FreeAddress(t), configure)
}

// startLimitedProcessAt starts it at an address, which a process of the same state directory may have.
func startLimitedProcessAt(t *testing.T, platform *fakePlatform, state, addr string, configure func(string) string) *limitedProcess {
	t.Helper()
	p := &limitedProcess{addr: addr, admin: loopback.FreeAddress(t), state: state, platform: platform, stop: make(chan struct{}), exited: make(chan struct{})}
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	discardNotices(t, platform)
	config := limitedConfig(t, platform, p.addr, p.admin)
	if configure != nil {
		config = configure(config)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(path)
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+file, "BALANCER_STATE="+state)
	var log bytes.Buffer
	p.cmd.Stderr = &log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.cmd.Wait(); close(p.exited) }()
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			text := log.String()
			t.Logf("end of the relay's log:\n%s", text[max(0, len(text)-maxShownLog):])
		}
	})
	awaitReady(t, p.admin)
	p.sampler.Go(p.sample)
	return p
}

// awaitReady waits until a relay is ready, by its admin address.
func awaitReady(t *testing.T, admin string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + admin + "/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("the relay is not ready within 10 s")
}

// sample records the largest size of the state directory until the measurement ends.
func (p *limitedProcess) sample() {
	for {
		names, _ := os.ReadDir(p.state)
		var sum int64
		for _, name := range names {
			if info, err := name.Info(); err == nil && info.Mode().IsRegular() {
				sum += info.Size()
			}
		}
		p.maxFiles.Store(max(p.maxFiles.Load(), sum))
		select {
		case <-p.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// statusBytes returns a figure of /proc/PID/status in bytes, 0 if the process has ended.
func (p *limitedProcess) statusBytes(name string) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// checkMemory fails the test if the process has ended, or if its peak in resident memory, by the kernel, and its files
// together passed the limit.
func (p *limitedProcess) checkMemory(t *testing.T) {
	t.Helper()
	peak, now := p.statusBytes("VmHWM"), p.statusBytes("VmRSS")
	close(p.stop)
	p.sampler.Wait()
	files := p.maxFiles.Load()
	const mb = 1e6
	t.Logf("memory, MB: peak %.1f, at the end %.1f, files %.1f; limit %d", float64(peak)/mb, float64(now)/mb, float64(files)/mb, smallestMemoryMB)
	select {
	case <-p.exited:
		t.Errorf("the process has ended: %v", p.cmd.ProcessState)
	default:
		if peak+files > smallestMemoryMB*mb {
			t.Errorf("%.1f MB with files, want at most %d", float64(peak+files)/mb, smallestMemoryMB)
		}
	}
}

// discardNotices has a platform take all notices.
func discardNotices(t *testing.T, platform *fakePlatform) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() {
		for {
			select {
			case <-platform.notices:
			case <-ended:
				return
			}
		}
	}()
}

// newServingHost starts an endpoint that answers each call 200, and counts the runs of each id.
func newServingHost(t *testing.T, onCall func(id string)) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		if onCall != nil {
			onCall(req.Header.Get("X-Request-Id"))
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// testEndpointOf returns an endpoint of a destination.
func testEndpointOf(dest int, id, addr string) discovery.Server {
	endpoint := testEndpoint(id, addr, "taller")
	endpoint.Cell = dest
	return endpoint
}
