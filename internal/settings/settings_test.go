package settings

import (
	"strings"
	"testing"
)

const sampleSettings = `{"bounds":{"max-attempts":6,"most-held":50},"classes":[{"aim":2,"effect":"deduplicated","give-up":16,
"group":"all","late-share":0.3,"name":"one","window":15,"worth":1}],"family-info":{"workers":7},"fleet-size":3,
"rules":{"cold":13,"cold-from":0.2,"fall":2,"overload-factor":2},"tick":0.005}`

// Guards against settings that are accepted though a value is out of its range.
func TestParseRejectsInvalidSettings(t *testing.T) {
	if _, err := Parse([]byte(sampleSettings)); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string][2]string{
		"attempts":    {`"max-attempts":6`, `"max-attempts":0`},
		"below 0":     {`"max-attempts":6`, `"max-attempts":-6`},
		"deadline":    {`"give-up":16`, `"give-up":0`},
		"negative":    {`"give-up":16`, `"give-up":-16`},
		"no deadline": {`"give-up":16,`, ``},
		"window":      {`"window":15,`, ``},
		"effect":      {`deduplicated`, `sometimes`},
		"name":        {`"name":"one"`, `"name":""`},
		"a word":      {`"worth":1`, `"worth":"1"`},
		"no class":    {`"classes"`, `"class"`},
		"truncated":   {`"tick":0.005}`, `"tick":0.005`},
	} {
		text := strings.Replace(sampleSettings, change[0], change[1], 1)
		if text == sampleSettings {
			t.Fatalf("%s changes nothing", name)
		}
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%s: parsed without an error", name)
		}
	}
}
