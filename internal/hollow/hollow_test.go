package hollow

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"larchrouter/internal/fleet/hold"
	"larchrouter/internal/lab/proc"
)

var (
	flagMembers   = flag.Int("hollow.members", 20, "members")
	flagProcesses = flag.Int("hollow.processes", 2, "processes that they share")
	flagKeepers   = flag.Int("hollow.keepers", 3, "keepers: 1, 3 or 5, in three regions")
	flagLease     = flag.Duration("hollow.lease", 2*time.Second, "lease of a member's session")
	flagLength    = flag.Duration("hollow.length", time.Second, "of each part of the play")
	flagCut       = flag.Duration("hollow.cut", 4*time.Second, "for which a region is cut off, and 60 in 2,000 members are gone")
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

// part is one part of a play, and what it used.
type part struct {
	name     string
	from, to time.Duration
	settled  bool
	note     string
	members  proc.Use // of all processes together
	bytes    int64
	keepers  []proc.Use
}

// use adds what is used now, with a sign.
func (p *player) use(u *part, sign float64) {
	for i, sh := range p.shares {
		if now, err := sh.Usage(); err == nil {
			u.members.CPU += time.Duration(sign * float64(now.CPU))
			u.members.MemoryMB += max(0, sign) * now.MemoryMB
			u.members.Descriptors += int(max(0, sign)) * now.Descriptors
		}
		p.mu.Lock()
		u.bytes += int64(sign) * p.shares[i].bytes
		p.mu.Unlock()
	}
	if u.keepers == nil {
		u.keepers = make([]proc.Use, len(p.keepers.up))
	}
	for i, k := range p.keepers.up {
		if now, err := k.Usage(); err == nil {
			u.keepers[i].CPU += time.Duration(sign * float64(p.keepers.used[i]+now.CPU))
			u.keepers[i].MemoryMB, u.keepers[i].Descriptors = now.MemoryMB, now.Descriptors
		}
	}
}

// play plays one part while changes and restarts go on at the day's rate, and then waits until all is in force.
func (p *player) play(name string, r *rand.Rand, do func() string) part {
	u := part{name: name, from: Clock()}
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
				due <- Clock()
			case <-restarts.C:
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
	p.t.Logf("%s: %v, settled %v, %v", name, u.note, u.settled, p.modes())
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

// back notes that members come back now, and waits until they hold a lease.
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
			time.Sleep(*flagCut)
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
	whole := p.everyone(func(int) bool { return true })
	p.order(Order{Do: Begin, Members: whole})
	if !p.until(2*time.Minute, whole) {
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
	if !p.until(time.Minute, whole) {
		t.Errorf("not all are back: %v", p.modes())
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
	if n := p.now[0]; n.Mode != hold.Alone || n.Force != p.last {
		t.Errorf("member 0 acts by %v %d, not by %d", n.Mode, n.Force, p.last)
	}
}

// tell prints what a part took.
func (p *player) tell(u part, v Verdict) {
	h := hdrhistogram.New(1, 600_000, 3)
	never := 0
	for i, a := range p.asked {
		switch took := v.InForce[i]; {
		case a.At < u.from || a.At > u.to:
		case took < 0:
			never++
		default:
			h.RecordValue(max(1, took.Milliseconds()))
		}
	}
	span := (u.to - u.from).Seconds()
	n := float64(p.members)
	p.t.Logf("%s: %.0f s, %d changes, in force everywhere after %.2f s (p50), %.2f (p99), %.2f (worst), never %d", u.name, span, h.TotalCount(),
		float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, float64(h.Max())/1000, never)
	p.t.Logf("%s: a member %.0f B/s, %.3f %% of a core, %.2f MB, %.1f descriptors", u.name, float64(u.bytes)/span/n, u.members.CPU.Seconds()/span/n*100,
		u.members.MemoryMB/n, float64(u.members.Descriptors)/n)
	for i, k := range u.keepers {
		p.t.Logf("%s: %s %.1f %% of a core, %.0f MB, %d descriptors", u.name, name(i), k.CPU.Seconds()/span*100, k.MemoryMB, k.Descriptors)
	}
}
