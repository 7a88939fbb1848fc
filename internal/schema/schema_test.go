package schema

import (
	"errors"
	"testing"
)

// Guards against a document that is accepted though a nested or conditional member is missing.
func TestCheckReportsFirstFault(t *testing.T) {
	root := Object{
		Required: map[string]Value{"list": List{Object{Required: Members("a")}}},
		Optional: map[string]Value{"extra": Object{Required: Members("b")}},
		RequiredIf: func(members map[string]any) []string {
			if members["extra"] != nil {
				return []string{"beside"}
			}
			return nil
		},
	}
	for document, want := range map[string]string{
		`{"list":[]}`: "",
		`{"list":[{"a":0},{"a":false,"c":1}],"d":2}`: "",
		`{"list":[{"a":0}],"extra":null}`:            "",
		`{"list":[],"extra":{"b":1},"beside":1}`:     "",
		`{"list":[],"extra":{"b":1}}`:                "/beside is missing",
		`{"list":[],"extra":{},"beside":1}`:          "/extra/b is missing",
		`{"list":[{"a":0},{"a":null}]}`:              "/list[1]/a is missing",
		`{"list":[{"a":0},3]}`:                       "/list[1] is no object",
		`{"list":{}}`:                                "/list is no list",
		`{}`:                                         "/list is missing",
		`[]`:                                         " is no object",
	} {
		err := Check([]byte(document), root)
		var fault *Error
		if want == "" && err != nil || want != "" && (!errors.As(err, &fault) || err.Error() != want) {
			t.Errorf("%s: %v, want %q", document, err, want)
		}
	}
}
