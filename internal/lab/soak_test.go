package lab

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
)

// soakParallelRuns is how many soak runs are played at the same time. It is small because their processes share the machine with
// the lab's timers.
const soakParallelRuns = 3

// soakScenario returns a random scenario in which endpoints drain while discovery, links, endpoints and relays fail, relays get
// series of signals, and in some runs many strangers connect, or a crowd that holds memory. Clients use their connections until the relay is killed.
func soakScenario(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 0x50a1))
	relays := []int{3, 5, 7, 14}[r.IntN(4)]
	sockets, strangers := 512, 0.0
	if r.IntN(3) == 0 {
		sockets, strangers = 160, 25
	}
	memoryMB, crowd := 64, 0
	if crowdDraws := rand.New(rand.NewPCG(seed, 0x50a2)); crowdDraws.IntN(3) == 0 { // the smallest limits that the pages name
		relays, memoryMB, sockets, crowd = 3, 32, 1024, 200+crowdDraws.IntN(500)
	}
	var s strings.Builder
	fmt.Fprintf(&s, "name = \"soak, seed %d\"\nseed = %d\nduration = \"18s\"\n[fleet]\nrelays = %d\nzones = [\"a\", \"b\"]\ncores = 2.0\nmemory-mb = %d\nsockets = %d\n"+
		"[platform]\ndestinations = 3\nendpoints = 4\nlatency = \"%dms\"\ncold = \"3s\"\nlimit = 300.0\n"+
		"[load]\nrate = 90.0\nburst = 1.5\ndeadline = \"5s\"\nclients = 12\nearly = 0.01\nclasses = [\"keyed\", \"safe\", \"once\"]\npipelined = 0.1\nhalf-closed = 0.03\nstrangers = %g\ncrowd = %d\n[expect]\npromised = 0\n",
		seed, seed, relays, memoryMB, sockets, 20+r.IntN(150), strangers, crowd)
	fault := func(at float64, text string, args ...any) {
		fmt.Fprintf(&s, "[[fault]]\nat = \"%dms\"\n%s\n", int(1000*at), fmt.Sprintf(text, args...))
	}
	for _, kind := range []string{"slow-lists", "busy-lists", "cut-lists", "stalled-lists", "mute-lists", "outage", "late-list"} {
		if r.IntN(3) > 0 {
			continue
		}
		amount := fmt.Sprintf("part = %.2f", 0.3+0.7*r.Float64())
		switch kind {
		case "slow-lists", "late-list":
			amount = fmt.Sprintf("by = \"%dms\"", 100+r.IntN(900))
		case "outage":
			amount = ""
		}
		fault(10*r.Float64(), "for = \"%dms\"\nfrom = \"discovery\"\nkind = %q\n%s", 2000+r.IntN(9000), kind, amount)
	}
	if r.IntN(2) == 0 {
		fault(9*r.Float64(), "for = \"%dms\"\nkind = \"silence\"\nfrom = \"discovery\"\nto = \"relays\"\nboth = %v", 1000+r.IntN(6000), r.IntN(2) == 0)
	}
	for range r.IntN(3) {
		at, length, dest := 2+10*r.Float64(), 500+r.IntN(4000), r.IntN(3)
		switch r.IntN(4) {
		case 0:
			fault(at, "for = \"%dms\"\nkind = \"slow\"\npart = 6.0\nfrom = \"endpoints:dest=%d\"", length, dest)
		case 1:
			fault(at, "for = \"%dms\"\nkind = \"reset\"\nbytes = 300\nfrom = \"relays\"\nto = \"endpoints:dest=%d\"", length, dest)
		case 2:
			fault(at, "for = \"%dms\"\nkind = \"cut\"\nfrom = \"relays\"\nto = \"endpoints:dest=%d\"\nboth = true", length, dest)
		case 3:
			fault(at, "for = \"%dms\"\nkind = \"outage\"\nfrom = \"endpoints:dest=%d\"", length, dest)
		}
	}
	// In some runs a destination falls silent and returns cold.
	if silentDraws := rand.New(rand.NewPCG(seed, 0x50a3)); silentDraws.IntN(2) == 0 {
		fault(1+6*silentDraws.Float64(), "for = \"%dms\"\nkind = %q\nfrom = \"endpoints:dest=%d\"", 3000+silentDraws.IntN(5000),
			[]string{"hang", "vanish"}[silentDraws.IntN(2)], silentDraws.IntN(3))
	}
	// Series of signals: one relay after the other, some of them twice within a short time.
	at := 1 + 2*r.Float64()
	for i := range r.Perm(relays)[:min(relays, 2+r.IntN(3))] {
		for range 1 + r.IntN(2) {
			fault(at, "kind = %q\nfrom = \"relay/%d\"", []string{"term", "kill", "upgrade", "term"}[r.IntN(4)], i)
			at += 0.3 + 2.5*r.Float64()
		}
	}
	for i, endpoint := range []int{0, 4, 8, 1, 5} {
		fmt.Fprintf(&s, "[[step]]\nat = \"%dms\"\ndo = \"drain\"\nto = \"endpoint/%d\"\n", 500+1500*i+r.IntN(800), endpoint)
	}
	for range r.IntN(3) {
		fmt.Fprintf(&s, "[[step]]\nat = \"%dms\"\ndo = \"settings\"\nto = \"relay/%d\"\nset = { \"max-attempts\" = %d }\n", 1000+r.IntN(12000), r.IntN(relays), 4+r.IntN(5))
	}
	return s.String()
}

// Guards against calls to draining endpoints, and accepted messages without exactly one outcome in time, when random faults of
// all kinds come together.
func TestSoakUnderRandomFaults(t *testing.T) {
	o := buildPrograms(t)
	slots := make(chan struct{}, soakParallelRuns)
	var served sync.Map
	t.Run("runs", func(t *testing.T) {
		for seed := *firstSeed; seed < *firstSeed+uint64(max(soakParallelRuns, *seeds)); seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				text := soakScenario(seed)
				r := playScenario(t, parseScenario(t, text), o)
				served.Store(seed, r.Report.Served)
				if len(r.Failures) > 0 {
					logResult(t, r)
					t.Errorf("the run did not meet its expectations; the scenario:\n%s", text)
				}
			})
		}
	})
	served.Range(func(seed, share any) bool {
		t.Logf("seed %v: served %.3f", seed, share)
		return true
	})
}
