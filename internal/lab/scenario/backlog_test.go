package scenario

import (
	"strings"
	"testing"
)

// Guards against a backlog that no relay could store, and against an error that names another key.
func TestBacklogCheck(t *testing.T) {
	for text, want := range map[string]string{
		"[fleet]\ndisk-mb = 4\nbacklog-mb = 3":                                "",
		"[fleet]\ndisk-mb = 4\nbacklog-mb = 3.5":                              "the journal needs 1",
		"[fleet]\nbacklog-mb = -1":                                            "line 2: fleet.backlog-mb",
		"[fleet]\ndisk-mb = 9\nkeepers = 3\ncopies = 1\nbacklog-mb = 3":       "does not go with fleet.copies",
		"[fleet]\ndisk-mb = 9\nkeepers = 3\nbacklog-mb = 3\n[load]\nrate = 9": "",
	} {
		_, err := Parse([]byte(text))
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
