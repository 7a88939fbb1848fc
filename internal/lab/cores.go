package lab

import "larchrouter/internal/lab/proc"

// divideCores gives the relays so many of the machine's cores, and has the lab keep off them until they are given back: relays may
// have to wait for a core, but the stamps of the lab must not be late for that. For 0 nothing is divided.
func divideCores(shared int) (relays proc.Cores, giveBack func(), err error) {
	if shared == 0 {
		return nil, func() {}, nil
	}
	all, err := proc.UsableCores()
	if err != nil {
		return nil, nil, err
	}
	own, relays, err := all.Split(shared)
	if err != nil {
		return nil, nil, err
	}
	if err := own.Pin(); err != nil {
		return nil, nil, err
	}
	return relays, func() { all.Pin() }, nil
}
