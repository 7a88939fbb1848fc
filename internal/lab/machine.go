package lab

import (
	"os"
	"syscall"
)

// runDirParent returns the directory in which the run's directory is created: dir if not empty, else /dev/shm if it has more than
// 2 GiB free, else the system's directory for temporary files. Files in the memory file system outlive a process, as on the
// platform. On a disk, a file that is renamed over another is flushed, which delayed the start of 90 relays at once, each with its
// configuration and journal, by 3 to 10 s.
func runDirParent(dir string) string {
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

// raiseDescriptorLimit raises the limit of open files to its maximum: the lab needs a socket for each pair of parties.
func raiseDescriptorLimit() {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) == nil {
		l.Cur = l.Max
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &l)
	}
}
