package settings

import (
	"strings"
	"testing"
)

const completeConfig = `{"listen":"a:1","known":{"servers":[]},"settings":{"bounds":{"max-attempts":8},
"classes":[{"name":"a","give-up":1},{"name":"b","give-up":2,"keep-order":true}],"skus":["x"]}}`

// Guards against a configuration that is accepted though a part of it is missing.
func TestCheckCompleteReportsMissingKeys(t *testing.T) {
	for next, want := range map[string]string{
		completeConfig: "",
		strings.Replace(completeConfig, `{"name":"a","give-up":1},`, ``, 1):    "",
		strings.Replace(completeConfig, `"name":"a"`, `"name":"c","new":1`, 1): "",
		strings.Replace(completeConfig, `,"keep-order":true`, ``, 1):           "",
		strings.Replace(completeConfig, `"listen":"a:1",`, ``, 1):              "/listen is missing",
		strings.Replace(completeConfig, `"max-attempts":8`, ``, 1):             "/settings/bounds/max-attempts is missing",
		strings.Replace(completeConfig, `{"max-attempts":8}`, `8`, 1):          "/settings/bounds is no object",
		strings.Replace(completeConfig, `"name":"a",`, ``, 1):                  "/settings/classes[0]/name is missing",
		strings.Replace(completeConfig, `"give-up":2`, `"give-up":null`, 1):    "/settings/classes[1]/give-up is missing",
		strings.Replace(completeConfig, `{"name":"a","give-up":1}`, `7`, 1):    "/settings/classes[0]/",
		strings.Replace(completeConfig, `["x"]`, `"x"`, 1):                     "/settings/skus is no list",
		strings.Replace(completeConfig, `"settings"`, `"setting"`, 1):          "/settings is missing",
		completeConfig[:len(completeConfig)/2]:                                 "unexpected end of JSON input",
		``:                                                                     "unexpected end of JSON input",
		`null`:                                                                 "is no object",
	} {
		err := CheckComplete([]byte(completeConfig), []byte(next))
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: error %v, want %q", next, err, want)
		}
	}
}

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
