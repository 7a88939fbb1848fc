package lab

import "larchrouter/internal/lab/proc"

// splitCores reserves the given number of the machine's cores for the relays, and keeps the lab off them until restore is called:
// relays may have to wait for a core, but the lab's timestamps must not be late because of it. For 0 nothing is reserved.
func splitCores(shared int) (relays proc.Cores, restore func(), err error) {
	if shared == 0 {
		return nil, func() {}, nil
	}
	all, err := proc.UsableCores()
	if err != nil {
		return nil, nil, err
	}
	labCores, relays, err := all.Split(shared)
	if err != nil {
		return nil, nil, err
	}
	if err := labCores.Pin(); err != nil {
		return nil, nil, err
	}
	return relays, func() { all.Pin() }, nil
}
