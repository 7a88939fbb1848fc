package settings_test

import (
	"errors"
	"strings"
	"testing"

	"larchrouter/internal/remedy"
	"larchrouter/internal/schema"
	"larchrouter/internal/settings"
	"larchrouter/internal/settings/settingstest"
)

// Guards against a settings object that is accepted though a part of it is missing, and against one that is rejected for
// lack of a member that WIRE calls optional.
func TestCheckCompleteReportsMissingMembers(t *testing.T) {
	complete := string(settingstest.Complete(t, `{"classes":[{"name":"a"},{"name":"b","effect":"idempotent","keep-order":true,"aim-stretch":2}],"tenants":[{"name":"x","fraction":1,"quota-per-s":2}]}`))
	for _, test := range []struct{ old, new, want string }{
		{"", "", ""},
		{`"name":"a"`, `"name":"c","new":1`, ""},
		{`,"keep-order":true`, ``, ""},
		{`"aim-stretch":2,`, ``, ""},
		{`"tenants":[{"fraction":1,"name":"x","quota-per-s":2}]`, `"tenants":[]`, ""},
		{`"effect":"idempotent","give-up":24,"group":"all"`, `"effect":"idempotent","give-up":24`, ""},
		{`"group":"all",`, ``, "/classes[0]/group is missing"},
		{`"window":15,`, ``, "/classes[0]/window is missing"},
		{`"domain-type":"deliver",`, ``, "/domain-type is missing"},
		{`"max-attempts":8,`, ``, "/bounds/max-attempts is missing"},
		{`"goal":{`, `"goals":{`, "/goal is missing"},
		{`"goal":{`, `"goal":8,"goals":{`, "/goal is no object"},
		{`"name":"a",`, ``, "/classes[0]/name is missing"},
		{`"give-up":24`, `"give-up":null`, "/classes[0]/give-up is missing"},
		{`"classes":[`, `"classes":[7,`, "/classes[0] is no object"},
		{`"skus":["big"]`, `"skus":"big"`, "/skus is no list"},
		{`"quota-per-s":2`, `"quota":2`, "/tenants[0]/quota-per-s is missing"},
		{`"prices":{"connection":0,`, `"prices":{`, "/prices/connection is missing"},
		{complete, complete[:len(complete)/2], "unexpected end of JSON input"},
		{complete, "", "unexpected end of JSON input"},
		{complete, "null", "is no object"},
	} {
		if !strings.Contains(complete, test.old) {
			t.Fatalf("%s is not in the settings", test.old)
		}
		err := settings.CheckComplete([]byte(strings.Replace(complete, test.old, test.new, 1)))
		if test.want == "" && err != nil || test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)) {
			t.Errorf("%s replaced by %s: error %v, want %q", test.old, test.new, err, test.want)
		}
		if missing := (*schema.Error)(nil); errors.As(err, &missing) && remedy.Of(err) == "" {
			t.Errorf("no remedy for %v", err)
		}
	}
}
