package hollow

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/fleet/lease"
)

var (
	flagMembers         = flag.Int("hollow.members", 20, "members")
	flagProcesses       = flag.Int("hollow.processes", 2, "number of processes that run the members")
	flagKeepers         = flag.Int("hollow.keepers", 3, "number of keepers: 1, 3 or 5, in three regions")
	flagLease           = flag.Duration("hollow.lease", 2*time.Second, "lease of a member's session")
	flagElectionTimeout = flag.Duration("hollow.election", time.Second, "time without a leader after which keepers start an election")
	flagPhaseLength     = flag.Duration("hollow.length", time.Second, "least duration of each phase")
	flagCutDuration     = flag.Duration("hollow.cut", 3*time.Second, "time for which a region is cut off")
	flagRackDowntime    = flag.Duration("hollow.gone", 3*time.Second, "time for which the members of a rack (60 of 2,000) are stopped")
	flagSpeed           = flag.Float64("hollow.speed", 60, "factor by which changes and restarts come faster than on the reference day")
	flagBurstChanges    = flag.Int("hollow.burst", 4, "number of changes in a burst")
	flagDocumentBytes   = flag.Int("hollow.document", 4096, "size of a change's document in bytes")
	flagListSize        = flag.Int("hollow.list", 380, "number of endpoints on each member's list")
	flagKeeperProgram   = flag.String("hollow.keeper", "", "path of the keeper program; built by the test if empty")
	flagMemberDirs      = flag.String("hollow.folders", "", "parent of the members' directories; in memory for many members, since on a disk shared with the keepers they delay the keepers")
	flagPhases          = flag.String("hollow.parts", "day burst leader rack region", "phases of the run, in order")
	flagSeed            = flag.Uint64("hollow.seed", 1, "seed of the random choice of members")
)

// Rates of changes and restarts on the reference day of a fleet of 2,000 members.
const (
	changeInterval     = 62 * time.Second  // 1,400 a day
	restartInterval    = 411 * time.Second // 210 a day
	restartDowntime    = time.Second       // between the kill and the start
	referenceFleetSize = 2000              // members
	referenceRackSize  = 60                // members of a rack in that fleet
)

// threeRegions returns the paths between three regions: one-way delays of 50, 70 and 100 ms, a random addition of up to half
// the delay, and a loss of one segment in 200.
func threeRegions() [][]Path {
	path := func(ms time.Duration) Path {
		return Path{Delay: ms * time.Millisecond, Jitter: ms * time.Millisecond / 2, LossRate: 0.005}
	}
	return [][]Path{{{}, path(50), path(100)}, {path(50), {}, path(70)}, {path(100), path(70), {}}}
}

// runPhase runs one phase while changes and restarts go on at the reference day's rate, and then waits until all changes are in
// effect. Phase "rest" has neither changes nor restarts.
func (c *controller) runPhase(name string, random *rand.Rand, do func() string) phase {
	result := phase{name: name, from: Clock(), elections: -c.keepers.countElections()}
	c.addUsage(&result, -1)
	stop := make(chan struct{})
	due := make(chan time.Duration, 1000)
	proposalsDone := make(chan struct{})
	go func() {
		defer close(proposalsDone)
		for at := range due {
			c.propose(at, *flagDocumentBytes)
		}
	}()
	tickersDone := make(chan struct{})
	go func() {
		defer close(tickersDone)
		changes := time.NewTicker(time.Duration(float64(changeInterval) / *flagSpeed))
		defer changes.Stop()
		restarts := time.NewTicker(time.Duration(float64(restartInterval) / *flagSpeed * referenceFleetSize / float64(c.members)))
		defer restarts.Stop()
		for {
			select {
			case <-stop:
				return
			case <-changes.C:
				if name != "rest" {
					due <- Clock()
				}
			case <-restarts.C:
				if name == "rest" {
					continue
				}
				restarted := []int{random.IntN(c.members)}
				c.send(Command{Action: KillMembers, Members: restarted})
				time.AfterFunc(restartDowntime, func() { c.send(Command{Action: StartMembers, Members: restarted}) })
			}
		}
	}()
	if name == "burst" {
		for now := Clock(); len(due) < *flagBurstChanges; {
			due <- now
		}
	}
	startedAt := time.Now()
	result.note = do()
	time.Sleep(max(0, *flagPhaseLength-time.Since(startedAt)))
	close(stop)
	<-tickersDone
	c.addUsage(&result, 1) // usage is counted for the time with changes and restarts only
	result.to = Clock()
	close(due)
	<-proposalsDone
	result.settled = c.waitSettled(time.Minute)
	result.elections += c.keepers.countElections()
	c.t.Logf("%s: %v, settled %v, %v, %d elections", name, result.note, result.settled, c.countModes(), result.elections)
	return result
}

// membersWhere returns the members for which a condition holds.
func (c *controller) membersWhere(matches func(int) bool) (members []int) {
	for m := range c.members {
		if matches(m) {
			members = append(members, m)
		}
	}
	return members
}

// recordRecovery records that stopped or cut-off members may recover from now on.
func (c *controller) recordRecovery(members []int) {
	c.mu.Lock()
	c.recoveries = append(c.recoveries, Recovery{Clock(), members})
	c.mu.Unlock()
}

// cutRegion cuts a region off for flagCutDuration.
func (c *controller) cutRegion(region int) {
	c.keepers.setCut(region, true)
	c.send(Command{Action: CutRegion, Region: region})
	time.Sleep(*flagCutDuration)
	c.recordRecovery(c.membersWhere(func(m int) bool { return Region(m, 3) == region }))
	c.send(Command{Action: RepairRegion, Region: region})
	c.keepers.setCut(region, false)
}

// phases returns the available phases by name; each function performs the phase's events and returns a note for the log.
func (c *controller) phases() map[string]func() string {
	k := c.keepers
	return map[string]func() string{
		"rest":  func() string { return "no changes, no restarts" },
		"day":   func() string { return "" },
		"burst": func() string { return fmt.Sprint(*flagBurstChanges, " at once") },
		"leader": func() string {
			i := k.waitForLeader()
			k.kill(i)
			time.Sleep(*flagPhaseLength / 2)
			k.start(i)
			return keeperName(i) + " killed"
		},
		"rack": func() string {
			rack := c.membersWhere(func(m int) bool { return m < max(1, c.members*referenceRackSize/referenceFleetSize) })
			c.send(Command{Action: KillMembers, Members: rack})
			time.Sleep(*flagRackDowntime)
			c.recordRecovery(rack)
			c.send(Command{Action: StartMembers, Members: rack})
			return fmt.Sprint(len(rack), " members killed")
		},
		"region": func() string { // a region without the leading keeper and without the operators
			region := 2
			if k.wan.Keepers[k.waitForLeader()].Region == region {
				region = 1
			}
			c.cutRegion(region)
			return fmt.Sprint("region ", region)
		},
		"leading-region": func() string {
			region := k.wan.Keepers[k.waitForLeader()].Region
			k.operatorRegion.Store(int64((region + 1) % 3))
			c.cutRegion(region)
			return fmt.Sprint("region ", region)
		},
	}
}

// TestSimulatedFleet guards against members in three regions that violate the rules of the agreement while keepers, members and
// regions fail: no two members act by contradicting generations, at most two generations are in use, each change comes into
// effect, and all members recover. The defaults are a small fleet for CI; the flags set up the fleet of docs/keepers.md.
func TestSimulatedFleet(t *testing.T) {
	k := newKeepers(t, t.TempDir(), *flagKeepers, *flagLease, threeRegions())
	k.waitForLeader()
	c := newController(t, k, *flagMembers, *flagProcesses, *flagDocumentBytes, *flagListSize)
	c.propose(Clock(), *flagDocumentBytes)
	startedAt := Clock()
	c.send(Command{Action: StartMembers, Members: c.membersWhere(func(int) bool { return true })})
	if !c.waitUntil(2*time.Minute, Transition.hasLease) {
		t.Fatalf("not all members have a lease after the start: %v", c.countModes())
	}
	t.Logf("%d members started in %.1f s", c.members, (Clock() - startedAt).Seconds())
	c.waitSettled(time.Minute)
	random := rand.New(rand.NewPCG(*flagSeed, 1))
	var results []phase
	for _, name := range strings.Fields(*flagPhases) {
		run := c.phases()[name]
		if run == nil {
			t.Fatalf("unknown phase %q", name)
		}
		results = append(results, c.runPhase(name, random, run))
	}
	if !c.waitUntil(time.Minute, func(a Transition) bool { return a.Mode == lease.Single && a.Force == c.lastProposed }) {
		t.Errorf("not all members act by change %d alone: %v", c.lastProposed, c.countModes())
	}
	time.Sleep(3 * reportInterval)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != "" {
		t.Errorf("the run is invalid: %s", c.failure)
	}
	verdict := Judge(c.transitions, c.proposals, c.recoveries, Clock())
	for _, result := range results {
		c.logPhase(result, verdict)
		if !result.settled {
			t.Errorf("%s: proposed changes are not in effect a minute after the phase", result.name)
		}
	}
	for i, recoveryTime := range verdict.RecoveryTimes {
		t.Logf("recovery %d: %d members recovered after %.2f s", i, len(c.recoveries[i].Members), recoveryTime.Seconds())
	}
	t.Logf("%d transitions, %.0f s by the fallback summed over all members, longest contradiction %v, three generations in use for %v", verdict.Transitions, verdict.FallbackTime.Seconds(), verdict.Contradiction, verdict.ThreeGenerations)
	if verdict.Contradiction > 0 || verdict.ThreeGenerations > 0 {
		t.Errorf("members contradicted each other for %v, three generations were in use for %v", verdict.Contradiction, verdict.ThreeGenerations)
	}
	if i := slices.Index(verdict.InEffect, -1); i >= 0 {
		t.Errorf("change %d never came into effect everywhere", c.proposals[i].Number)
	}
	if slices.Contains(verdict.RecoveryTimes, -1) {
		t.Error("some members never recovered")
	}
}
