package lab

import (
	"os"
	"syscall"
)

// What a run takes of the machine that it runs on.

// folderIn is where a run's folder is made. Files of the memory's own file system outlast a process as the platform's
// do. On a disk, a file that is renamed over another is flushed: with 90 relays that started at once, each with its
// configuration and journal, that held starts up for 3 to 10 s.
func folderIn(dir string) string {
	if dir != "" {
		return dir
	}
	const shared = "/dev/shm"
	var fs syscall.Statfs_t
	if err := syscall.Statfs(shared, &fs); err == nil && fs.Bavail*uint64(fs.Bsize) > 2<<30 {
		if probe, err := os.MkdirTemp(shared, "larchlab-probe-"); err == nil {
			os.Remove(probe)
			return shared
		}
	}
	return os.TempDir()
}

// raiseLimits lets the lab hold a socket for each pair of parties.
func raiseLimits() {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) == nil {
		l.Cur = l.Max
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &l)
	}
}
