package scenario

import (
	"strings"
	"testing"
	"time"
)

// Guards against a scenario with copies that has no effect, or that is read as something else.
func TestCopiesCheck(t *testing.T) {
	const fleet = "[fleet]\nkeepers = 3\ncopies = 1\n"
	for text, want := range map[string]string{
		fleet + "[expect]\npromised = 0\ntaken-over = \"6s\"":                                  "",
		fleet + "short = \"own-disk\"":                                                         "",
		fleet + "[[fault]]\nkind = \"lose\"\nfrom = \"relay/0\"":                               "",
		fleet + "[[fault]]\nat = \"5s\"\nkind = \"rollback\"\nby = \"2s\"\nfrom = \"relay/0\"": "",
		"[fleet]\ncopies = 1":                                 "needs fleet.keepers",
		"[fleet]\nkeepers = 3\ncopies = 5":                    "must be 0 to 4",
		fleet + "short = \"maybe\"":                           "must be refuse or own-disk",
		"[fleet]\nkeepers = 3\n[expect]\ntaken-over = \"6s\"": "needs fleet.copies",
		fleet + "[[fault]]\nat = \"1s\"\nkind = \"rollback\"\nby = \"2s\"\nfrom = \"relay/0\"": "needs by",
		fleet + "[[fault]]\nat = \"5s\"\nkind = \"rollback\"\nfrom = \"relay/0\"":              "needs by",
		fleet + "[[fault]]\nkind = \"lose\"\nfrom = \"keeper/0\"":                              "is not a fault of",
		fleet + "[[fault]]\nkind = \"lose\"\nfrom = \"relay/0\"\nto = \"relay/1\"":             "not a fault of a link",
	} {
		_, err := Parse([]byte(text))
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	scenario := Default()
	if TakeoverTime(scenario) != 0 {
		t.Error("the takeover time without copies is not 0")
	}
	scenario.Fleet.Copies, scenario.Fleet.Lease = 1, Duration(10*time.Second)
	if got := TakeoverTime(scenario); got != 13100*time.Millisecond {
		t.Errorf("the takeover time is %v, want the lease, the clock drift and 3 s", got)
	}
}
