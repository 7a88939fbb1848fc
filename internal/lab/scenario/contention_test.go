package scenario

import (
	"strings"
	"testing"
)

// Guards against faults and client behaviours that a file names and a run would ignore.
func TestContentionCheck(t *testing.T) {
	const silence = "[[fault]]\nkind = \"silence\"\nfrom = \"discovery\"\nto = \"relays\"\n"
	const slow = "[[fault]]\nkind = \"slow-notices\"\nfrom = \"discovery\"\n"
	for text, want := range map[string]string{
		silence + "for = \"1s\"":              "",
		silence:                               "needs for",
		slow + "for = \"1s\"\nby = \"700ms\"": "",
		slow + "for = \"1s\"":                 "slow-notices needs by",
		slow + "for = \"1s\"\nby = \"1s\"\nto = \"relays\"": "not a fault of a link",
		"[fleet]\nshared-cores = 2":                         "",
		"[fleet]\nshared-cores = -1":                        "line 2: fleet.shared-cores",
		"[load]\npipelined = 0.5\nhalf-closed = 1.0":        "",
		"[load]\npipelined = 1.5":                           "line 2: load.pipelined",
		"[load]\nhalf-closed = -0.5":                        "line 2: load.half-closed",
	} {
		_, err := Parse([]byte(text))
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
