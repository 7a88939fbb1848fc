package proc

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// NewRunDir creates a directory for a run in dir, and removes the directories there of labs whose process no longer exists.
func NewRunDir(dir string) (string, error) {
	const prefix = "larchlab-"
	existing, err := filepath.Glob(filepath.Join(dir, prefix+"*"))
	if err != nil {
		return "", err
	}
	for _, path := range existing {
		owner, _, _ := strings.Cut(strings.TrimPrefix(filepath.Base(path), prefix), "-")
		pid, err := strconv.Atoi(owner)
		if err != nil || pid == os.Getpid() || syscall.Kill(pid, 0) == nil {
			continue
		}
		if err := os.RemoveAll(path); err != nil {
			return "", fmt.Errorf("remove the directory of a lab that has ended: %w", err)
		}
	}
	return os.MkdirTemp(dir, fmt.Sprintf("%s%d-", prefix, os.Getpid()))
}

// Deploy contains the commands of the deploy file that build and start the program.
type Deploy struct {
	Root  string // the repository's root, where the commands run
	Build string `toml:"build"`
	Run   string `toml:"run"`
}

// RunBuild runs the deploy file's build command. The error contains its output.
func (d Deploy) RunBuild(ctx context.Context) error {
	cmd := exec.CommandContext(ctx, "/bin/sh", "-c", d.Build)
	cmd.Dir = d.Root
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build command of the deploy file: %w\n%s", err, out)
	}
	return nil
}
