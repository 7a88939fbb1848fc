// Package proc starts the programs under test as processes of their own, signals them, follows what they use,
// and has them end with the lab, however that ends.
package proc

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Spec says how a program is started.
type Spec struct {
	Name    string
	Command string // of the shell, as the deploy file has it
	Dir     string // where it is started
	Env     []string
	Sockets int    // descriptors that it may hold
	Log     string // file that its output goes to
	LogMost int64  // bytes that are kept of it
	Cores   Cores  // that it may run on; nil for those of the lab
}

// Process is one that was started.
type Process struct {
	Name string
	PID  int
	cmd  *exec.Cmd
	done chan struct{}
	mu   sync.Mutex
	err  error
	want bool // its end was asked for
}

// starter runs what must come from one thread: a child ends with the thread that started it, so that thread
// lives as long as the lab.
var starter = sync.OnceValue(func() chan func() {
	jobs := make(chan func())
	go func() {
		runtime.LockOSThread()
		for job := range jobs {
			job()
		}
	}()
	return jobs
})

// Start starts a program. Ended tells of each one that ends, asked for or not.
func Start(s Spec, ended func(*Process)) (*Process, error) {
	log, err := newCapped(s.Log, s.LogMost)
	if err != nil {
		return nil, err
	}
	command := s.Command
	if s.Sockets > 0 {
		command = fmt.Sprintf("ulimit -n %d && %s", s.Sockets, command)
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Env = s.Dir, append([]string{"PATH=" + os.Getenv("PATH")}, s.Env...)
	// A group of its own: an interrupt at the terminal is the lab's, which then ends its processes in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = cmd.Stdout
	p := &Process{Name: s.Name, cmd: cmd, done: make(chan struct{})}
	started := make(chan error)
	starter() <- func() { started <- s.Cores.whileOn(cmd.Start) }
	if err := <-started; err != nil {
		log.Close()
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	p.PID = cmd.Process.Pid
	go func() {
		io.Copy(log, out) // goes on past what is kept, so that a program that writes without end never blocks
		err := cmd.Wait()
		log.Close()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.done)
		ended(p)
	}()
	return p, nil
}

// Signal sends a signal; expect says that the process may end on it.
func (p *Process) Signal(sig syscall.Signal, expect bool) error {
	p.mu.Lock()
	p.want = p.want || expect
	p.mu.Unlock()
	select {
	case <-p.done:
		return os.ErrProcessDone
	default:
	}
	return p.cmd.Process.Signal(sig)
}

// Expected tells whether the end of the process was asked for.
func (p *Process) Expected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.want
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err is how it ended.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// End has the process end: SIGTERM, then SIGKILL when its time is up. A stopped one is killed at once.
func (p *Process) End(in time.Duration) {
	p.Signal(syscall.SIGTERM, true)
	select {
	case <-p.done:
		return
	case <-time.After(in):
	}
	p.Kill()
}

// Kill ends the process at once, and waits until it has gone.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL, true)
	<-p.done
}

// Use is what a process uses.
type Use struct {
	CPU         time.Duration // since it started
	MemoryMB    float64
	Descriptors int
}

var ticks = 100.0 // a second; the kernel's USER_HZ, which it fixes for what it tells programs

// Usage reads what the process uses now.
func (p *Process) Usage() (u Use, err error) {
	dir := filepath.Join("/proc", strconv.Itoa(p.PID))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return u, err
	}
	_, rest, ok := strings.Cut(string(stat), ") ") // the name before it may hold anything
	fields := strings.Fields(rest)
	if !ok || len(fields) < 22 {
		return u, errors.New("/proc: stat is cut")
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	u.CPU = time.Duration((user + system) / ticks * float64(time.Second))
	u.MemoryMB = pages * float64(os.Getpagesize()) / 1e6
	names, err := os.ReadDir(filepath.Join(dir, "fd"))
	u.Descriptors = len(names)
	return u, err
}

// FolderMB is what a folder's files take, each in whole blocks of 512 bytes.
func FolderMB(dir string) (float64, error) {
	names, err := os.ReadDir(dir)
	if err != nil {
		return 0, err
	}
	var sum int64
	for _, n := range names {
		if info, err := n.Info(); err == nil && info.Mode().IsRegular() {
			sum += (info.Size() + 511) / 512 * 512
		}
	}
	return float64(sum) / 1e6, nil
}
