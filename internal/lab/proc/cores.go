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

// UsableCores returns the cores that this process may run on.
func UsableCores() (Cores, error) {
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

// Split divides the cores: the last n are for the programs under test, the others for the lab. It is an error if none is left
// for the lab.
func (c Cores) Split(n int) (lab, tested Cores, err error) {
	if n >= len(c) {
		return nil, nil, fmt.Errorf("%d cores for the programs under test leave none of %d for the lab", n, len(c))
	}
	return c[:len(c)-n], c[len(c)-n:], nil
}

// Pin restricts all threads of this process, and the processes and threads that they start from now on, to these cores.
func (c Cores) Pin() error {
	set := c.set()
	for range 2 { // the second pass finds threads that were started during the first
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

// runPinned calls do with the calling thread restricted to these cores; processes that do starts inherit the restriction.
// A nil receiver restricts nothing. The caller must have locked the goroutine to its thread.
func (c Cores) runPinned(do func() error) error {
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
