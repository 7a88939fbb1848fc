package proc

import (
	"errors"
	"fmt"
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// Cores are numbers of processor cores.
type Cores []int

// Usable has the cores that this process may use.
func Usable() (Cores, error) {
	var set unix.CPUSet
	if err := unix.SchedGetaffinity(0, &set); err != nil {
		return nil, fmt.Errorf("cores of this process: %w", err)
	}
	var cores Cores
	for i := 0; len(cores) < set.Count(); i++ {
		if set.IsSet(i) {
			cores = append(cores, i)
		}
	}
	return cores, nil
}

// Split divides cores: the last n are for programs under test, the others for the lab.
func (c Cores) Split(n int) (lab, tested Cores, err error) {
	if n >= len(c) {
		return nil, nil, fmt.Errorf("%d cores for the programs under test leave the lab none of %d", n, len(c))
	}
	return c[:len(c)-n], c[len(c)-n:], nil
}

// Keep has all threads of this process, and what they start from now on, run on these cores alone.
func (c Cores) Keep() error {
	set := c.set()
	for range 2 { // a thread that began meanwhile
		tasks, err := os.ReadDir("/proc/self/task")
		if err != nil {
			return err
		}
		for _, task := range tasks {
			id, err := strconv.Atoi(task.Name())
			if err != nil {
				continue
			}
			if err := unix.SchedSetaffinity(id, set); err != nil && !errors.Is(err, unix.ESRCH) {
				return fmt.Errorf("cores of this process: %w", err)
			}
		}
	}
	return nil
}

// whileOn does something with the calling thread on these cores, which a process that it starts inherits.
func (c Cores) whileOn(do func() error) error {
	if c == nil {
		return do()
	}
	var before unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return err
	}
	if err := unix.SchedSetaffinity(0, c.set()); err != nil {
		return fmt.Errorf("cores %v: %w", c, err)
	}
	return errors.Join(do(), unix.SchedSetaffinity(0, &before))
}

func (c Cores) set() *unix.CPUSet {
	var set unix.CPUSet
	for _, i := range c {
		set.Set(i)
	}
	return &set
}
