package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against an invalid file that runs: the run would not show what its author meant it to show.
func TestErrorsNameLineAndKey(t *testing.T) {
	for text, wants := range map[string][]string{
		"name = \"x\"\nrelays = 3":                             {"line 2", "relays", "no such key"},
		"[fleet]\nrelays = 0":                                  {"line 2", "fleet.relays", "is 0"},
		"[fleet]\nkeepers = 2":                                 {"line 2", "0, 1, 3 or 5"},
		"[fleet]\nzones = []":                                  {"line 2", "fleet.zones"},
		"duration = \"-3s\"":                                   {"line 1", "negative"},
		"duration = \"soon\"":                                  {"line 1", "duration"},
		"name = ":                                              {"line 1"},
		"[load]\nrate = 1e9\nburst = 0.5":                      {"line 2", "line 3", "load.rate", "load.burst"},
		"[[fault]]\nat = \"1s\"\nkind = \"kill\"":              {"line 1", "fault[0]", "names no party"},
		"[[fault]]\nkind = \"kill\"\nfrom = \"relay/3\"":       {"names no party"},
		"[[fault]]\nkind = \"kill\"\nfrom = \"relays:zone=z\"": {"names no party"},
		"\n[[fault]]\nkind = \"cut\"\nfrom = \"relays\"\nto = \"discovery\"":              {"line 2", "needs for"},
		"[[fault]]\nkind = \"cut\"\nfrom = \"relays\"\nfor = \"1s\"":                      {"is not a fault of"},
		"[[fault]]\nkind = \"pause\"\nfrom = \"endpoint/1\"\nfor = \"1s\"":                {"is not a fault of"},
		"[[fault]]\nkind = \"kill\"\nfrom = \"relays\"\nto = \"discovery\"":               {"not a fault of a link"},
		"[[fault]]\nkind = \"errors\"\nfrom = \"endpoint/1\"\nfor = \"1s\"":               {"needs part"},
		"[[fault]]\nkind = \"cut\"\nfrom = \"keepers\"\nto = \"relays\"":                  {"names no party"},
		"[[fault]]\nat = \"1h\"\nkind = \"kill\"\nfrom = \"relays\"":                      {"after the end"},
		"[[step]]\nat = \"1s\"\ndo = \"dance\"":                                           {"line 1", "is not a step"},
		"[[step]]\nat = \"1s\"\ndo = \"release\"":                                         {"needs permits"},
		"[[step]]\ndo = \"settings\"":                                                     {"needs set or break"},
		"[[step]]\ndo = \"settings\"\nset = { colour = 3 }":                               {"colour"},
		"[[step]]\ndo = \"drain\"\nto = \"relay/1\"":                                      {"is not of kind endpoint"},
		"[expect]\nserved = 1.5":                                                          {"line 2", "expect.served"},
		"[expect]\ncontradiction = \"4s\"":                                                {"line 2", "needs fleet.keepers"},
		"[[fault]]\nkind = \"slow\"\nfrom = \"relays\"\nto = \"discovery\"\nfor = \"1s\"": {"needs rate"},
	} {
		_, err := Parse([]byte(text))
		if err == nil {
			t.Errorf("%q: no error", text)
			continue
		}
		for _, want := range wants {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%q: the error is %q, which does not contain %q", text, err, want)
			}
		}
	}
}

func TestResolveTargets(t *testing.T) {
	scenario := Default()
	scenario.Fleet.Relays, scenario.Fleet.Zones = 5, []string{"a", "b"}
	for text, want := range map[string]string{
		"relay/2": "relay/2", "relays:zone=b": "relay/1 relay/3", "relays:part=0.4": "relay/0 relay/1",
		"endpoints:dest=1": "endpoint/1 endpoint/6", "endpoint/3": "endpoint/3", "discovery": "discovery",
	} {
		found, err := Resolve(text, scenario.Parties())
		if err != nil {
			t.Errorf("%s: %v", text, err)
		}
		var names []string
		for _, p := range found {
			names = append(names, p.Name)
		}
		if got := strings.Join(names, " "); got != want {
			t.Errorf("%s resolves to %q, want %q", text, got, want)
		}
	}
}

// Guards against a scenario in the repository that can no longer be read.
func TestRepositoryScenariosParse(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, f := range files {
		if _, err := Read(f); err != nil {
			t.Error(err)
		}
	}
}

func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("../../../scenarios/*.toml")
	for _, name := range files {
		if data, err := os.ReadFile(name); err == nil {
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err == nil && s.Check() != nil {
			t.Error("a scenario that was parsed does not pass Check")
		}
	})
}
