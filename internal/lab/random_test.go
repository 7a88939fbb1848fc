package lab

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
)

// seeds is how many runs of a random scenario a test plays.
var seeds = flag.Int("random.seeds", 1, "runs of each random scenario")

// firstSeed is the seed of the first run, with which a failed run can be played again alone.
var firstSeed = flag.Uint64("random.first", 1, "seed of the first of them")

// randomReplicationScenario returns a scenario in which owners, replicas, keepers, partners and the links between them fail at
// random times. At most as many machines are lost at once as there are copies, and the next losses come only after the copies
// can be complete again.
func randomReplicationScenario(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 0xe5))
	copies := 1 + r.IntN(2)
	var s strings.Builder
	fmt.Fprintf(&s, "name = \"estates, seed %d\"\nseed = %d\nduration = \"18s\"\n[fleet]\nrelays = 8\nkeepers = 3\nzones = [\"a\", \"b\"]\nlease = \"1500ms\"\ncopies = %d\ndisk-mb = 8\n"+
		"[platform]\ndestinations = 4\nlatency = \"%dms\"\n[load]\nrate = 50.0\ndeadline = \"5s\"\nclasses = [\"keyed\", \"safe\", \"once\"]\n[expect]\npromised = 0\n",
		seed, seed, copies, 50+r.IntN(300))
	fault := func(at float64, text string, args ...any) {
		fmt.Fprintf(&s, "[[fault]]\nat = \"%dms\"\n%s\n", int(1000*at), fmt.Sprintf(text, args...))
	}
	lost := r.Perm(8)
	for i, at := range []float64{3 + 2*r.Float64(), 11 + 2*r.Float64()} {
		for n := range 1 + r.IntN(copies) {
			who := lost[2*i+n]
			switch r.IntN(3) {
			case 0:
				fault(at, "kind = \"lose\"\nfrom = \"relay/%d\"", who)
			case 1:
				fault(at, "kind = \"lose\"\nfor = \"%dms\"\nfrom = \"relay/%d\"", 700+r.IntN(3000), who)
			default:
				fault(at, "kind = \"rollback\"\nby = \"%dms\"\nfor = \"%dms\"\nfrom = \"relay/%d\"", 300+r.IntN(2500), 700+r.IntN(2000), who)
			}
		}
	}
	others := lost[4:]
	for range 5 + r.IntN(4) {
		at, length, who := 2+12*r.Float64(), 300+r.IntN(3500), others[r.IntN(len(others))]
		switch r.IntN(10) {
		case 0:
			fault(at, "for = \"%dms\"\nkind = \"cut\"\nfrom = \"relay/%d\"\nto = \"keepers\"\nboth = %v", length, who, r.IntN(2) == 0)
		case 1:
			fault(at, "for = \"%dms\"\nkind = \"cut\"\nfrom = \"relay/%d\"\nto = \"relays\"\nboth = %v", length, who, r.IntN(2) == 0)
		case 2:
			fault(at, "for = \"%dms\"\nkind = \"delay\"\nby = \"%dms\"\nspread = \"50ms\"\nfrom = \"relays:zone=a\"\nto = \"relays:zone=b\"\nboth = true", length, 10+r.IntN(120))
		case 3:
			fault(at, "for = \"%dms\"\nkind = \"pause\"\nfrom = \"relay/%d\"", length, who)
		case 4:
			fault(at, "for = \"%dms\"\nkind = \"kill\"\nfrom = \"relay/%d\"", length, who)
		case 5:
			fault(at, "for = \"%dms\"\nkind = \"kill\"\nfrom = \"keeper/%d\"", length, r.IntN(3))
		case 6:
			fault(at, "kind = \"upgrade\"\nfrom = \"relay/%d\"", who)
		case 7:
			fault(at, "for = \"%dms\"\nkind = \"slow\"\npart = 8.0\nfrom = \"endpoints:dest=%d\"", length, r.IntN(4))
		case 8:
			fault(at, "for = \"%dms\"\nkind = \"shut\"\nfrom = \"endpoints:dest=%d\"", length, r.IntN(4))
		case 9:
			fault(at, "for = \"%dms\"\nkind = \"slow\"\nrate = 20000\nfrom = \"relay/%d\"\nto = \"relays\"\nboth = true", length, who)
		}
	}
	return s.String()
}

// Guards against accepted messages that end without an outcome, or with more than one, when machines and links of replication
// groups fail at random times.
func TestReplicationUnderRandomFaults(t *testing.T) {
	o := buildPrograms(t)
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			text := randomReplicationScenario(seed)
			r := playScenario(t, parseScenario(t, text), o)
			if len(r.Failures) > 0 {
				logResult(t, r)
				t.Errorf("the run did not meet its expectations; the scenario:\n%s", text)
			}
			if dir := os.Getenv("RANDOM_FAILED"); dir != "" && t.Failed() {
				if err := os.WriteFile(fmt.Sprintf("%s/estates-%d.toml", dir, seed), []byte(text), 0o644); err != nil {
					t.Error(err)
				}
			}
		})
	}
}
