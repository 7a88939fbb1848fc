package proc

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain lets this binary, run as a child process, act as a lab that starts a process and then waits to be killed.
func TestMain(m *testing.M) {
	if dir := os.Getenv("PROC_TEST_LAB"); dir != "" {
		p, err := Start(Spec{Name: "x", Command: "exec sleep 600", Log: filepath.Join(dir, "log")}, func(*Process) {})
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(p.PID)
		time.Sleep(10 * time.Minute)
	}
	os.Exit(m.Run())
}

func startProcess(t *testing.T, command string) (*Process, string) {
	t.Helper()
	log := filepath.Join(t.TempDir(), "log")
	p, err := Start(Spec{Name: "x", Command: command, Log: log, MaxLogBytes: 1 << 16}, func(*Process) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	return p, log
}

// Guards against processes that outlive a killed lab.
func TestChildrenEndWhenLabIsKilled(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), "PROC_TEST_LAB="+t.TempDir())
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var pid int
	if _, err := fmt.Fscan(out, &pid); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Kill()
	cmd.Wait()
	for begin := time.Now(); !processEnded(pid); time.Sleep(time.Millisecond) {
		if time.Since(begin) > 30*time.Second {
			syscall.Kill(pid, syscall.SIGKILL)
			t.Fatal("the process outlived the lab")
		}
	}
}

// processEnded reports whether a process no longer exists or is a zombie.
func processEnded(pid int) bool {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	return err != nil || strings.Contains(string(stat), ") Z ")
}

// Guards against a lab that waits forever for a program that ignores SIGTERM, is stopped, or writes without end.
func TestTerminateEndsUncooperativeProcesses(t *testing.T) {
	for _, command := range []string{"trap '' TERM; while :; do sleep 0.01; done", "while :; do echo 0123456789012345678901234567890123456789; done"} {
		p, log := startProcess(t, command)
		if strings.HasPrefix(command, "while") {
			for {
				if info, err := os.Stat(log + ".first"); err == nil && info.Size() > 0 {
					break
				}
				time.Sleep(time.Millisecond)
			}
		}
		p.Terminate(50 * time.Millisecond)
		if !p.Expected() {
			t.Error("an end that the lab asked for counts as a crash")
		}
		for _, name := range []string{log, log + ".first"} {
			if info, err := os.Stat(name); err == nil && info.Size() > 1<<16 {
				t.Errorf("%s has grown to %d", name, info.Size())
			}
		}
	}
	p, _ := startProcess(t, "exec sleep 600")
	p.Signal(syscall.SIGSTOP, false)
	p.Terminate(10 * time.Millisecond)
}

func TestReportsExitAndUsage(t *testing.T) {
	p, log := startProcess(t, "echo begun; exit 3")
	<-p.Done()
	if p.Expected() || p.Err() == nil || !strings.Contains(p.Err().Error(), "3") {
		t.Errorf("expected %v, %v; want a crash with status 3", p.Expected(), p.Err())
	}
	if got := Tail(log, 5); len(got) != 1 || got[0] != "begun" {
		t.Errorf("log %q", got)
	}
	p, _ = startProcess(t, "exec sleep 600")
	if u, err := p.Usage(); err != nil || u.Descriptors < 3 {
		t.Errorf("%+v, %v", u, err)
	}
	if _, err := Start(Spec{Name: "x", Dir: "/nowhere", Log: log}, nil); err == nil {
		t.Error("a program was started in a directory that does not exist")
	}
}

// Guards against directories that accumulate, and against removing those of labs that still run.
func TestNewRunDirRemovesStaleDirs(t *testing.T) {
	dir := t.TempDir()
	dead := exec.Command("/bin/true")
	if err := dead.Run(); err != nil {
		t.Fatal(err)
	}
	stale := filepath.Join(dir, fmt.Sprintf("larchlab-%d-abc", dead.Process.Pid))
	running := filepath.Join(dir, fmt.Sprintf("larchlab-%d-abc", os.Getppid()))
	for _, d := range []string{stale, running} {
		if err := os.Mkdir(d, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := NewRunDir(dir); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(stale); err == nil {
		t.Error("the directory of a lab that has ended still exists")
	}
	if _, err := os.Stat(running); err != nil {
		t.Error("the directory of a running lab was removed")
	}
}
