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

// Folder makes a folder for a run under dir, and removes those that labs which have died left there.
func Folder(dir string) (string, error) {
	const prefix = "larchlab-"
	old, err := filepath.Glob(filepath.Join(dir, prefix+"*"))
	if err != nil {
		return "", err
	}
	for _, path := range old {
		owner, _, _ := strings.Cut(strings.TrimPrefix(filepath.Base(path), prefix), "-")
		pid, err := strconv.Atoi(owner)
		if err != nil || pid == os.Getpid() || syscall.Kill(pid, 0) == nil {
			continue
		}
		if err := os.RemoveAll(path); err != nil {
			return "", fmt.Errorf("folder of a lab that has died: %w", err)
		}
	}
	return os.MkdirTemp(dir, fmt.Sprintf("%s%d-", prefix, os.Getpid()))
}

// Deploy is what the deploy file says of building and starting the program.
type Deploy struct {
	Root  string // of the repository
	Build string `toml:"build"`
	Run   string `toml:"run"`
}

// Built runs the deploy file's build, whose output shows only if it fails.
func (d Deploy) Built(ctx context.Context) error {
	cmd := exec.CommandContext(ctx, "/bin/sh", "-c", d.Build)
	cmd.Dir = d.Root
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build of the deploy file: %w\n%s", err, out)
	}
	return nil
}
