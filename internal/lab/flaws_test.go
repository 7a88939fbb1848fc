package lab

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"larchrouter/internal/lab/rules"
	"larchrouter/internal/lab/standin"
)

// Guards against a rule that detects nothing, and one that a correct relay breaks: each flaw of a stand-in must be
// detected by the rule that covers it.
func TestRulesDetectStandinFlaws(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	const base = "duration = \"3s\"\n[fleet]\nrelays = 2\nzones = [\"a\"]\n[platform]\ndestinations = 3\nlatency = \"30ms\"\ncold = \"2s\"\n[load]\nrate = 40.0\nclients = 3\ndeadline = \"2s\"\n"
	drains := "[[step]]\nat = \"0s\"\ndo = \"drain\"\nto = \"endpoint/0\"\n"
	fails := "[[fault]]\nat = \"0s\"\nfor = \"3s\"\nkind = \"errors\"\npart = 0.5\nfrom = \"endpoints:dest=0\"\n"
	shut := "[[fault]]\nat = \"500ms\"\nfor = \"2s\"\nkind = \"shut\"\nfrom = \"endpoints:dest=0\"\n"
	const busy, once, strangers = "rate = 150.0\n", "classes = [\"once\"]", "strangers = 30.0"
	for _, c := range []struct {
		flaw standin.Flaw
		more string
		rule rules.Rule
	}{
		{standin.NoFlaw, drains + fails + shut, ""},
		{standin.NoFlaw, strangers, ""},
		{standin.NoReadTimeout, strangers, rules.Strange},
		{standin.AcceptsInvalid, strangers, rules.Strange},
		{standin.RepeatsOutsideWindow, fails + once, rules.Repeat},
		{standin.DuplicateAttempts, "", rules.Twice},
		{standin.RepeatsOutsideWindow, fails, rules.Repeat},
		{standin.IgnoresWaits, shut, rules.Wait},
		{standin.SendsToDraining, "duration = \"9s\"\n" + drains, rules.Drain},
		{standin.SendsToDisabled, "[[step]]\nat = \"500ms\"\ndo = \"ban\"\nto = \"endpoint/0\"\n", rules.Drain},
		{standin.LosesMessages, "", rules.End},
		{standin.ClosesAfterReading, "", rules.End},
		{standin.LateNotices, "[[fault]]\nat = \"0s\"\nfor = \"3s\"\nkind = \"outage\"\nfrom = \"discovery\"\n" + strings.Replace(fails, "0.5", "1.0", 1), rules.End},
		{standin.LateNotices, "[[fault]]\nat = \"200ms\"\nfor = \"3s\"\nkind = \"cut\"\nfrom = \"relays\"\nto = \"endpoints:dest=0\"\nboth = true\n", rules.End},
		{standin.NoFlaw, busy + "[[fault]]\nat = \"500ms\"\nfor = \"1500ms\"\nkind = \"outage\"\nfrom = \"endpoints:dest=0\"\n", rules.Cold}, // the stand-in has no slow start
		{standin.NoticeAfterDelivery, "", rules.Once},
		{standin.MiscountsServed, "", rules.Figures},
		{standin.AltersBodies, "", rules.Own},
		{standin.WrongDestination, "", rules.Own},
		{standin.InventsMessages, "", rules.Own},
		{standin.UnlimitedAttempts, strings.Replace(fails, "0.5", "1.0", 1), rules.Attempts},
		{standin.ExitsUnasked, "", rules.Process},
		{standin.NoFlaw, "[[fault]]\nat = \"1s\"\nkind = \"kill\"\nfrom = \"relays\"\n", rules.End}, // the stand-in has no journal
	} {
		t.Run(fmt.Sprintf("%s,%s", c.flaw, c.rule), func(t *testing.T) {
			t.Parallel()
			text := base + c.more
			if more, ok := strings.CutPrefix(c.more, "duration = \"9s\"\n"); ok {
				text = strings.Replace(base, "3s", "9s", 1) + more
			}
			if more, ok := strings.CutPrefix(c.more, busy); ok {
				text = strings.NewReplacer("rate = 40.0\n", busy, "destinations = 3", "destinations = 1\nlimit = 0.0").Replace(base) + more
			}
			if c.more == strangers {
				text = base + c.more // base ends with the table load, to which this key belongs
			} else if more, ok := strings.CutSuffix(c.more, once); ok {
				text = base + once + "\n" + more
			}
			r := playScenario(t, parseScenario(t, text), Options{Root: t.TempDir(), RelayCommand: "exec " + self, Env: []string{standin.FlawEnv + "=" + string(c.flaw)}})
			if c.rule != "" && r.Report.Broken[c.rule] == 0 || c.rule == "" && len(r.Failures) > 0 {
				logResult(t, r)
				t.Errorf("rule %q: broken %d times", c.rule, r.Report.Broken[c.rule])
			}
			if c.rule == "" && r.Report.Served == 0 {
				t.Error("nothing was served")
			}
		})
	}
}
