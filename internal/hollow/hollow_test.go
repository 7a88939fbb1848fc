package hollow

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/fleet/hold"
)

var (
	flagMembers         = flag.Int("hollow.members", 20, "members")
	flagProcesses       = flag.Int("hollow.processes", 2, "processes that they share")
	flagKeepers         = flag.Int("hollow.keepers", 3, "keepers: 1, 3 or 5, in three regions")
	flagLease           = flag.Duration("hollow.lease", 2*time.Second, "lease of a member's session")
	flagElectionTimeout = flag.Duration("hollow.election", time.Second, "for which keepers that hear no leader wait")
	flagPhaseLength     = flag.Duration("hollow.length", time.Second, "of each part of the play")
	flagCutDuration     = flag.Duration("hollow.cut", 3*time.Second, "for which a region is cut off")
	flagRackDowntime    = flag.Duration("hollow.gone", 3*time.Second, "for which a rack's members are gone, 60 of 2,000")
	flagSpeed           = flag.Float64("hollow.speed", 60, "by which the clock of changes and restarts is faster")
	flagBurstChanges    = flag.Int("hollow.burst", 4, "changes of a burst")
	flagDocumentBytes   = flag.Int("hollow.document", 4096, "bytes of a change's document")
	flagListSize        = flag.Int("hollow.list", 380, "endpoints on each member's list")
	flagKeeperProgram   = flag.String("hollow.keeper", "", "program of the keepers; empty for one that is built")
	flagMemberDirs      = flag.String("hollow.folders", "", "folder of the members' folders, in memory best for many: on one disk they hold keepers up that share it")
	flagPhases          = flag.String("hollow.parts", "day burst leader rack region", "of the play, in their order")
	flagSeed            = flag.Uint64("hollow.seed", 1, "by which members are chosen")
)

// The day at 2,000 members.
const (
	changeInterval     = 62 * time.Second  // 1,400 a day
	restartInterval    = 411 * time.Second // 210 a day
	restartDowntime    = time.Second
	referenceFleetSize = 2000
	referenceRackSize  = 60
)

// threeRegions are 50, 70 and 100 ms from each other, one way, and by chance up to half as much further; one piece in 200 is lost.
func threeRegions() [][]Path {
	path := func(ms time.Duration) Path {
		return Path{Delay: ms * time.Millisecond, Jitter: ms * time.Millisecond / 2, LossRate: 0.005}
	}
	return [][]Path{{{}, path(50), path(100)}, {path(50), {}, path(70)}, {path(100), path(70), {}}}
}

// play plays one part while changes and restarts go on at the day's rate, and then waits until all is in force.
func (p *controller) runPhase(name string, random *rand.Rand, do func() string) phase {
	result := phase{name: name, from: Clock(), elections: -p.keepers.countElections()}
	p.addUsage(&result, -1)
	stop := make(chan struct{})
	due := make(chan time.Duration, 1000)
	proposalsDone := make(chan struct{})
	go func() {
		defer close(proposalsDone)
		for at := range due {
			p.propose(at, *flagDocumentBytes)
		}
	}()
	tickersDone := make(chan struct{})
	go func() {
		defer close(tickersDone)
		changes := time.NewTicker(time.Duration(float64(changeInterval) / *flagSpeed))
		defer changes.Stop()
		restarts := time.NewTicker(time.Duration(float64(restartInterval) / *flagSpeed * referenceFleetSize / float64(p.members)))
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
				restarted := []int{random.IntN(p.members)}
				p.send(Command{Action: KillMembers, Members: restarted})
				time.AfterFunc(restartDowntime, func() { p.send(Command{Action: StartMembers, Members: restarted}) })
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
	p.addUsage(&result, 1) // the day's rate is that of the time until here
	result.to = Clock()
	close(due)
	<-proposalsDone
	result.settled = p.waitSettled(time.Minute)
	result.elections += p.keepers.countElections()
	p.t.Logf("%s: %v, settled %v, %v, %d elections", name, result.note, result.settled, p.countModes(), result.elections)
	return result
}

// everyone are the members that a condition holds for.
func (p *controller) membersWhere(matches func(int) bool) (members []int) {
	for m := range p.members {
		if matches(m) {
			members = append(members, m)
		}
	}
	return members
}

// back notes that members come back now.
func (p *controller) recordRecovery(members []int) {
	p.mu.Lock()
	p.recoveries = append(p.recoveries, Recovery{Clock(), members})
	p.mu.Unlock()
}

// cut cuts a region off for a while.
func (p *controller) cutRegion(region int) {
	p.keepers.setCut(region, true)
	p.send(Command{Action: CutRegion, Region: region})
	time.Sleep(*flagCutDuration)
	p.recordRecovery(p.membersWhere(func(m int) bool { return Region(m, 3) == region }))
	p.send(Command{Action: RepairRegion, Region: region})
	p.keepers.setCut(region, false)
}

// parts are what a play may have.
func (p *controller) phases() map[string]func() string {
	k := p.keepers
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
			rack := p.membersWhere(func(m int) bool { return m < max(1, p.members*referenceRackSize/referenceFleetSize) })
			p.send(Command{Action: KillMembers, Members: rack})
			time.Sleep(*flagRackDowntime)
			p.recordRecovery(rack)
			p.send(Command{Action: StartMembers, Members: rack})
			return fmt.Sprint(len(rack), " members killed")
		},
		"region": func() string { // one without the keeper that leads, and without the operators
			region := 2
			if k.wan.Keepers[k.waitForLeader()].Region == region {
				region = 1
			}
			p.cutRegion(region)
			return fmt.Sprint("region ", region)
		},
		"leading-region": func() string {
			region := k.wan.Keepers[k.waitForLeader()].Region
			k.operatorRegion.Store(int64((region + 1) % 3))
			p.cutRegion(region)
			return fmt.Sprint("region ", region)
		},
	}
}

// A fleet of members in three regions keeps its rules: no two members act by what contradicts each other, at most two generations are
// in use, each change comes into force, and all members are back. Small in CI; its flags give the fleet of docs/keepers.md.
func TestSimulatedFleet(t *testing.T) {
	k := newKeepers(t, t.TempDir(), *flagKeepers, *flagLease, threeRegions())
	k.waitForLeader()
	p := newController(t, k, *flagMembers, *flagProcesses, *flagDocumentBytes, *flagListSize)
	p.propose(Clock(), *flagDocumentBytes)
	startedAt := Clock()
	p.send(Command{Action: StartMembers, Members: p.membersWhere(func(int) bool { return true })})
	if !p.waitUntil(2*time.Minute, Transition.hasLease) {
		t.Fatalf("not all have begun: %v", p.countModes())
	}
	t.Logf("%d members began in %.1f s", p.members, (Clock() - startedAt).Seconds())
	p.waitSettled(time.Minute)
	random := rand.New(rand.NewPCG(*flagSeed, 1))
	var results []phase
	for _, name := range strings.Fields(*flagPhases) {
		run := p.phases()[name]
		if run == nil {
			t.Fatalf("a play has no part %q", name)
		}
		results = append(results, p.runPhase(name, random, run))
	}
	if !p.waitUntil(time.Minute, func(a Transition) bool { return a.Mode == hold.Alone && a.Force == p.lastProposed }) {
		t.Errorf("not all act by change %d alone: %v", p.lastProposed, p.countModes())
	}
	time.Sleep(3 * reportInterval)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failure != "" {
		t.Errorf("the play shows nothing: %s", p.failure)
	}
	verdict := Judge(p.transitions, p.proposals, p.recoveries, Clock())
	for _, result := range results {
		p.logPhase(result, verdict)
		if !result.settled {
			t.Errorf("%s: what was asked for is not in force a minute after", result.name)
		}
	}
	for i, recoveryTime := range verdict.RecoveryTimes {
		t.Logf("return %d: %d members back after %.2f s", i, len(p.recoveries[i].Members), recoveryTime.Seconds())
	}
	t.Logf("%d acts, by the fallback %.0f s of all members together, longest contradiction %v, three generations in use %v", verdict.Transitions, verdict.FallbackTime.Seconds(), verdict.Contradiction, verdict.ThreeGenerations)
	if verdict.Contradiction > 0 || verdict.ThreeGenerations > 0 {
		t.Errorf("members contradict each other for %v, three generations are in use for %v", verdict.Contradiction, verdict.ThreeGenerations)
	}
	if i := slices.Index(verdict.InEffect, -1); i >= 0 {
		t.Errorf("change %d never came into force everywhere", p.proposals[i].Number)
	}
	if slices.Contains(verdict.RecoveryTimes, -1) {
		t.Error("some members never came back")
	}
}
