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
	flagMembers   = flag.Int("hollow.members", 20, "members")
	flagProcesses = flag.Int("hollow.processes", 2, "processes that they share")
	flagKeepers   = flag.Int("hollow.keepers", 3, "keepers: 1, 3 or 5, in three regions")
	flagLease     = flag.Duration("hollow.lease", 2*time.Second, "lease of a member's session")
	flagElection  = flag.Duration("hollow.election", time.Second, "for which keepers that hear no leader wait")
	flagLength    = flag.Duration("hollow.length", time.Second, "of each part of the play")
	flagCut       = flag.Duration("hollow.cut", 3*time.Second, "for which a region is cut off")
	flagGone      = flag.Duration("hollow.gone", 3*time.Second, "for which a rack's members are gone, 60 of 2,000")
	flagSpeed     = flag.Float64("hollow.speed", 60, "by which the clock of changes and restarts is faster")
	flagBurst     = flag.Int("hollow.burst", 4, "changes of a burst")
	flagDoc       = flag.Int("hollow.document", 4096, "bytes of a change's document")
	flagList      = flag.Int("hollow.list", 380, "endpoints on each member's list")
	flagKeeper    = flag.String("hollow.keeper", "", "program of the keepers; empty for one that is built")
	flagFolders   = flag.String("hollow.folders", "", "folder of the members' folders, in memory best for many: on one disk they hold keepers up that share it")
	flagParts     = flag.String("hollow.parts", "day burst leader rack region", "of the play, in their order")
	flagSeed      = flag.Uint64("hollow.seed", 1, "by which members are chosen")
)

// The day at 2,000 members.
const (
	changeEvery  = 62 * time.Second  // 1,400 a day
	restartEvery = 411 * time.Second // 210 a day
	restartAway  = time.Second
	wholeFleet   = 2000
	rackOf       = 60
)

// threeRegions are 50, 70 and 100 ms from each other, one way, and by chance up to half as much further; one piece in 200 is lost.
func threeRegions() [][]Distance {
	of := func(ms time.Duration) Distance {
		return Distance{Delay: ms * time.Millisecond, Spread: ms * time.Millisecond / 2, Lost: 0.005}
	}
	return [][]Distance{{{}, of(50), of(100)}, {of(50), {}, of(70)}, {of(100), of(70), {}}}
}

// play plays one part while changes and restarts go on at the day's rate, and then waits until all is in force.
func (p *player) play(name string, r *rand.Rand, do func() string) part {
	u := part{name: name, from: Clock(), elections: -p.keepers.elections()}
	p.use(&u, -1)
	stop := make(chan struct{})
	due := make(chan time.Duration, 1000)
	proposed := make(chan struct{})
	go func() {
		defer close(proposed)
		for at := range due {
			p.change(at, *flagDoc)
		}
	}()
	ticked := make(chan struct{})
	go func() {
		defer close(ticked)
		changes := time.NewTicker(time.Duration(float64(changeEvery) / *flagSpeed))
		defer changes.Stop()
		restarts := time.NewTicker(time.Duration(float64(restartEvery) / *flagSpeed * wholeFleet / float64(p.members)))
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
				one := []int{r.IntN(p.members)}
				p.order(Order{Do: Kill, Members: one})
				time.AfterFunc(restartAway, func() { p.order(Order{Do: Begin, Members: one}) })
			}
		}
	}()
	if name == "burst" {
		for now := Clock(); len(due) < *flagBurst; {
			due <- now
		}
	}
	began := time.Now()
	u.note = do()
	time.Sleep(max(0, *flagLength-time.Since(began)))
	close(stop)
	<-ticked
	p.use(&u, 1) // the day's rate is that of the time until here
	u.to = Clock()
	close(due)
	<-proposed
	u.settled = p.settled(time.Minute)
	u.elections += p.keepers.elections()
	p.t.Logf("%s: %v, settled %v, %v, %d elections", name, u.note, u.settled, p.modes(), u.elections)
	return u
}

// everyone are the members that a condition holds for.
func (p *player) everyone(holds func(int) bool) (all []int) {
	for m := range p.members {
		if holds(m) {
			all = append(all, m)
		}
	}
	return all
}

// back notes that members come back now.
func (p *player) back(members []int) {
	p.mu.Lock()
	p.returns = append(p.returns, Return{Clock(), members})
	p.mu.Unlock()
}

// cut cuts a region off for a while.
func (p *player) cut(region int) {
	p.keepers.cut(region, true)
	p.order(Order{Do: Cut, Region: region})
	time.Sleep(*flagCut)
	p.back(p.everyone(func(m int) bool { return Region(m, 3) == region }))
	p.order(Order{Do: Mend, Region: region})
	p.keepers.cut(region, false)
}

// parts are what a play may have.
func (p *player) parts() map[string]func() string {
	k := p.keepers
	return map[string]func() string{
		"rest":  func() string { return "no changes, no restarts" },
		"day":   func() string { return "" },
		"burst": func() string { return fmt.Sprint(*flagBurst, " at once") },
		"leader": func() string {
			i := k.leads()
			k.kill(i)
			time.Sleep(*flagLength / 2)
			k.start(i)
			return name(i) + " killed"
		},
		"rack": func() string {
			rack := p.everyone(func(m int) bool { return m < max(1, p.members*rackOf/wholeFleet) })
			p.order(Order{Do: Kill, Members: rack})
			time.Sleep(*flagGone)
			p.back(rack)
			p.order(Order{Do: Begin, Members: rack})
			return fmt.Sprint(len(rack), " members killed")
		},
		"region": func() string { // one without the keeper that leads, and without the operators
			region := 2
			if k.wan.Keepers[k.leads()].Region == region {
				region = 1
			}
			p.cut(region)
			return fmt.Sprint("region ", region)
		},
		"leading-region": func() string {
			region := k.wan.Keepers[k.leads()].Region
			k.from.Store(int64((region + 1) % 3))
			p.cut(region)
			return fmt.Sprint("region ", region)
		},
	}
}

// A fleet of members in three regions keeps its rules: no two members act by what contradicts each other, at most two generations are
// in use, each change comes into force, and all members are back. Small in CI; its flags give the fleet of docs/keepers.md.
func TestHollowFleet(t *testing.T) {
	k := newKeepers(t, t.TempDir(), *flagKeepers, *flagLease, threeRegions())
	k.leads()
	p := newPlayer(t, k, *flagMembers, *flagProcesses, *flagDoc, *flagList)
	p.change(Clock(), *flagDoc)
	began := Clock()
	p.order(Order{Do: Begin, Members: p.everyone(func(int) bool { return true })})
	if !p.until(2*time.Minute, Act.leased) {
		t.Fatalf("not all have begun: %v", p.modes())
	}
	t.Logf("%d members began in %.1f s", p.members, (Clock() - began).Seconds())
	p.settled(time.Minute)
	r := rand.New(rand.NewPCG(*flagSeed, 1))
	var parts []part
	for _, name := range strings.Fields(*flagParts) {
		do := p.parts()[name]
		if do == nil {
			t.Fatalf("a play has no part %q", name)
		}
		parts = append(parts, p.play(name, r, do))
	}
	if !p.until(time.Minute, func(a Act) bool { return a.Mode == lease.Single && a.Force == p.last }) {
		t.Errorf("not all act by change %d alone: %v", p.last, p.modes())
	}
	time.Sleep(3 * reportEvery)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failed != "" {
		t.Errorf("the play shows nothing: %s", p.failed)
	}
	v := Judge(p.acts, p.asked, p.returns, Clock())
	for _, u := range parts {
		p.tell(u, v)
		if !u.settled {
			t.Errorf("%s: what was asked for is not in force a minute after", u.name)
		}
	}
	for i, b := range v.Back {
		t.Logf("return %d: %d members back after %.2f s", i, len(p.returns[i].Members), b.Seconds())
	}
	t.Logf("%d acts, by the fallback %.0f s of all members together, longest contradiction %v, three generations in use %v", v.Acts, v.Out.Seconds(), v.Contradiction, v.Three)
	if v.Contradiction > 0 || v.Three > 0 {
		t.Errorf("members contradict each other for %v, three generations are in use for %v", v.Contradiction, v.Three)
	}
	if i := slices.Index(v.InForce, -1); i >= 0 {
		t.Errorf("change %d never came into force everywhere", p.asked[i].Number)
	}
	if slices.Contains(v.Back, -1) {
		t.Error("some members never came back")
	}
}
