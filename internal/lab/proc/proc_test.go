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

// Run as a child, this binary is a lab that starts a process and then waits to be killed.
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

func start(t *testing.T, command string) (*Process, string) {
	t.Helper()
	log := filepath.Join(t.TempDir(), "log")
	p, err := Start(Spec{Name: "x", Command: command, Log: log, LogMost: 1 << 16}, func(*Process) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	return p, log
}

// Guards against processes that outlive a lab which is killed.
func TestChildrenEndWithTheLab(t *testing.T) {
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
	for begin := time.Now(); !ended(pid); time.Sleep(time.Millisecond) {
		if time.Since(begin) > 30*time.Second {
			syscall.Kill(pid, syscall.SIGKILL)
			t.Fatal("the process outlives the lab")
		}
	}
}

// ended tells whether a process is gone or a zombie that nobody has waited for.
func ended(pid int) bool {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	return err != nil || strings.Contains(string(stat), ") Z ")
}

// Guards against a lab that waits for ever for a program that ignores SIGTERM, is stopped, or writes without end.
func TestEndsWhatDoesNotWantTo(t *testing.T) {
	for _, command := range []string{"trap '' TERM; while :; do sleep 0.01; done", "while :; do echo 0123456789012345678901234567890123456789; done"} {
		p, log := start(t, command)
		if strings.HasPrefix(command, "while") {
			for {
				if info, err := os.Stat(log + ".first"); err == nil && info.Size() > 0 {
					break
				}
				time.Sleep(time.Millisecond)
			}
		}
		p.End(50 * time.Millisecond)
		if !p.Expected() {
			t.Error("an end that was asked for counts as a crash")
		}
		for _, name := range []string{log, log + ".first"} {
			if info, err := os.Stat(name); err == nil && info.Size() > 1<<16 {
				t.Errorf("%s has grown to %d", name, info.Size())
			}
		}
	}
	p, _ := start(t, "exec sleep 600")
	p.Signal(syscall.SIGSTOP, false)
	p.End(10 * time.Millisecond)
}

func TestTellsOfAnEndAndOfUse(t *testing.T) {
	p, log := start(t, "echo begun; exit 3")
	<-p.Done()
	if p.Expected() || p.Err() == nil || !strings.Contains(p.Err().Error(), "3") {
		t.Errorf("expected %v, %v; want a crash with status 3", p.Expected(), p.Err())
	}
	if got := Tail(log, 5); len(got) != 1 || got[0] != "begun" {
		t.Errorf("log %q", got)
	}
	p, _ = start(t, "exec sleep 600")
	if u, err := p.Usage(); err != nil || u.Descriptors < 3 {
		t.Errorf("%+v, %v", u, err)
	}
	if _, err := Start(Spec{Name: "x", Dir: "/nowhere", Log: log}, nil); err == nil {
		t.Error("a program starts in a folder that is not there")
	}
}

// Guards against folders that pile up, and against the removal of those of labs that still run.
func TestFoldersOfDeadLabs(t *testing.T) {
	dir := t.TempDir()
	dead := exec.Command("/bin/true")
	if err := dead.Run(); err != nil {
		t.Fatal(err)
	}
	left := filepath.Join(dir, fmt.Sprintf("larchlab-%d-abc", dead.Process.Pid))
	lives := filepath.Join(dir, fmt.Sprintf("larchlab-%d-abc", os.Getppid()))
	for _, d := range []string{left, lives} {
		if err := os.Mkdir(d, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Folder(dir); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(left); err == nil {
		t.Error("the folder of a lab that died is still there")
	}
	if _, err := os.Stat(lives); err != nil {
		t.Error("the folder of a lab that runs is gone")
	}
}
