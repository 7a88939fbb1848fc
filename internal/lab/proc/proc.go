// Package proc starts the programs under test as separate processes, signals them, measures their resource usage,
// and makes sure that they end with the lab, even if the lab is killed.
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

// Spec describes how to start a program.
type Spec struct {
	Name           string
	Command        string // shell command, as in the deploy file
	Dir            string // working directory
	Env            []string
	MaxDescriptors int    // limit of open file descriptors; 0 for the lab's own limit
	Log            string // path of the file that receives its output
	MaxLogBytes    int64  // limit of the log's size; 0 for 8 MiB
	Cores          Cores  // cores that it may run on; nil for those of the lab
}

// Process is a process that Start started.
type Process struct {
	Name        string
	PID         int
	cmd         *exec.Cmd
	done        chan struct{}
	mu          sync.Mutex
	err         error
	endExpected bool // the lab asked the process to end
}

// starter runs functions on one thread that lives as long as the lab. Processes must be started there, because with Pdeathsig
// a child is killed when the thread that started it ends.
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

// Start starts a program. The function onEnd is called after the process has ended, whether or not it was asked to.
func Start(s Spec, onEnd func(*Process)) (*Process, error) {
	log, err := newCappedFile(s.Log, s.MaxLogBytes)
	if err != nil {
		return nil, err
	}
	command := s.Command
	if s.MaxDescriptors > 0 {
		command = fmt.Sprintf("ulimit -n %d && %s", s.MaxDescriptors, command)
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Env = s.Dir, append([]string{"PATH=" + os.Getenv("PATH")}, s.Env...)
	// The process gets its own group, so that an interrupt at the terminal reaches only the lab, which then ends its processes.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = cmd.Stdout
	p := &Process{Name: s.Name, cmd: cmd, done: make(chan struct{})}
	started := make(chan error)
	starter() <- func() { started <- s.Cores.runPinned(cmd.Start) }
	if err := <-started; err != nil {
		log.Close()
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	p.PID = cmd.Process.Pid
	go func() {
		io.Copy(log, out) // reads on past the log's limit, so that a program that writes without end never blocks
		err := cmd.Wait()
		log.Close()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.done)
		onEnd(p)
	}()
	return p, nil
}

// Signal sends a signal; expect says that the process may end because of it. The error is os.ErrProcessDone if it has ended.
func (p *Process) Signal(sig syscall.Signal, expect bool) error {
	p.mu.Lock()
	p.endExpected = p.endExpected || expect
	p.mu.Unlock()
	select {
	case <-p.done:
		return os.ErrProcessDone
	default:
	}
	return p.cmd.Process.Signal(sig)
}

// Expected reports whether the lab asked the process to end.
func (p *Process) Expected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endExpected
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the error of exec.Cmd.Wait with which the process ended; nil if it ended in order or still runs.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Terminate ends the process with SIGTERM, and with SIGKILL if it has not ended within grace. A process that is stopped does
// not react to SIGTERM and is killed after grace.
func (p *Process) Terminate(grace time.Duration) {
	p.Signal(syscall.SIGTERM, true)
	select {
	case <-p.done:
		return
	case <-time.After(grace):
	}
	p.Kill()
}

// Kill ends the process with SIGKILL and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL, true)
	<-p.done
}

// Usage is the resource usage of a process.
type Usage struct {
	CPU         time.Duration // processor time since it started
	MemoryMB    float64
	PeakMB      float64 // of MemoryMB since the process started
	Descriptors int
}

var ticksPerSecond = 100.0 // the kernel's USER_HZ, a fixed number in what it reports to programs

// Usage reads the current resource usage of the process from /proc.
func (p *Process) Usage() (u Usage, err error) {
	dir := filepath.Join("/proc", strconv.Itoa(p.PID))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return u, err
	}
	_, rest, ok := strings.Cut(string(stat), ") ") // the command name before it may contain any character
	fields := strings.Fields(rest)
	if !ok || len(fields) < 22 {
		return u, errors.New("/proc: stat is truncated")
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	u.CPU = time.Duration((user + system) / ticksPerSecond * float64(time.Second))
	u.MemoryMB = pages * float64(os.Getpagesize()) / 1e6
	u.PeakMB = max(u.MemoryMB, peakMB(dir))
	names, err := os.ReadDir(filepath.Join(dir, "fd"))
	u.Descriptors = len(names)
	return u, err
}

// peakMB returns the most memory in MB that a process had since it started, 0 if that is unknown. The parameter is its
// directory in /proc.
func peakMB(dir string) float64 {
	status, _ := os.ReadFile(filepath.Join(dir, "status"))
	_, value, _ := strings.Cut(string(status), "VmHWM:")
	if fields := strings.Fields(value); len(fields) > 0 {
		kib, _ := strconv.ParseFloat(fields[0], 64)
		return kib * 1024 / 1e6
	}
	return 0
}

// DirMB returns the size in MB (10^6 bytes) of the regular files directly in a directory, each rounded up to blocks of 512 bytes.
func DirMB(dir string) (float64, error) {
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
