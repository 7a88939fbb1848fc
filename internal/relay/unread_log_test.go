package relay

import (
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"larchrouter/internal/loopback"
)

// Guards against a relay that blocks when nobody reads its log: it has to start, accept messages and report their
// ends while the pipe that it logs to is full.
func TestServesWhileLogPipeIsFull(t *testing.T) {
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	defer writer.Close()
	fillPipe(t, writer)
	p := newFakePlatform(t, testEndpoint("s-1", "127.0.0.1:1", "taller"))
	addr := loopback.FreeAddress(t)
	config := filepath.Join(t.TempDir(), "config.json")
	text := strings.Replace(string(testConfig(t, p)), "127.0.0.1:0", addr, 1)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(path)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "BALANCER_STATE="+t.TempDir())
	cmd.Stderr = writer
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		resp, err := client.Get("http://" + addr + "/up")
		if err == nil {
			resp.Body.Close()
			break
		}
		if time.Now().After(end) {
			t.Fatal("not ready: ", err)
		}
	}
	status, _ := postMessage(t, addr, "m1", "payment", "X-Deadline-Ms", "500")
	want(t, "status", status, http.StatusAccepted)
	want(t, "notice", receive(t, p.notices, "notice").ID, "m1")
}

// fillPipe writes to a pipe until it is full.
func fillPipe(t *testing.T, writer *os.File) {
	t.Helper()
	raw, err := writer.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	block := make([]byte, 4096)
	var last error
	err = raw.Control(func(fd uintptr) {
		syscall.SetNonblock(int(fd), true)
		for last == nil {
			_, last = syscall.Write(int(fd), block)
		}
		syscall.SetNonblock(int(fd), false) // for the process that inherits it
	})
	if err != nil || !errors.Is(last, syscall.EAGAIN) {
		t.Fatal(err, last)
	}
}
