package wire

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"time"

	"larchrouter/choice"
)

// Events that the simulator tells, and actions that answer them.

// event returns the event for a line; nil for a line that package choice does not use.
func (s *server) event(l *line) (choice.Event, error) {
	switch l.name {
	case "ACCEPT":
		return choice.Arrival{ID: l.required("op-id"), Class: l.integer("priority", false), Dest: l.integer("far-end", true),
			Left: l.seconds("left", true), Key: l.fields["subject"], Tenant: l.integer("tenant", false)}, nil
	case "ATTEMPT_END":
		return choice.Result{ID: l.required("op-id"), Host: l.required("host"), Attempt: l.integer("try", false),
			Outcome: l.outcome("how"), Took: l.seconds("cost-time", false), Done: l.integer("over", false) == 1,
			RetryAfter: time.Duration(l.integer("remark-ms", false)) * time.Millisecond, Report: l.floats("feedback")}, nil
	case "UPDATE":
		scope := l.integer("scope", false)
		if scope < 0 || scope > 3 {
			l.fail("scope", fmt.Sprintf("%d is no scope", scope))
		}
		if scope == 3 {
			return choice.ListUpdate{Failed: true}, nil
		}
		sheet := l.integer("sheet", false)
		hosts, ok := s.sheets[sheet]
		if !ok {
			l.fail("sheet", fmt.Sprintf("no CATALOG %d was given", sheet))
		}
		return choice.ListUpdate{Complete: scope != 0, Hosts: hosts}, nil
	case "CLIENT_GONE":
		return choice.Withdrawn{ID: l.required("op-id")}, nil
	case "FIRED":
		l.integer("tag", false)
		return choice.Woken{}, nil
	case "PROBE_DONE":
		l.required("host")
		l.outcome("how")
		return nil, nil // the adapter never sends a probe
	case "FROM_PEER":
		if b := l.fields["bytes"]; b != "" && b != "-" {
			if _, err := base64.StdEncoding.DecodeString(b); err != nil {
				l.fail("bytes", "not base64")
			}
		}
		return nil, nil
	case "FIRST_BYTE":
		l.required("op-id")
		return nil, nil
	}
	return nil, fmt.Errorf("line %d: unknown message %q", l.number, l.name)
}

// print writes the line for an action of an instance.
func (s *server) print(name string, a choice.Action) {
	seconds := func(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', -1, 64) }
	switch a := a.(type) {
	case choice.Send:
		fmt.Fprintf(s.out, "PLACE\trelay-id=%s\top-id=%s\thost=%s\tmax-wait=%s\n", name, a.ID, a.Host, seconds(a.Timeout))
	case choice.Refuse:
		fmt.Fprintf(s.out, "DENY\trelay-id=%s\top-id=%s\tnot-before-for=%s\n", name, a.ID, seconds(a.After))
	case choice.Fail:
		fmt.Fprintf(s.out, "SURRENDER\trelay-id=%s\top-id=%s\n", name, a.ID)
	case choice.Cancel:
		fmt.Fprintf(s.out, "REVOKE\trelay-id=%s\top-id=%s\ttry=%d\n", name, a.ID, a.Attempt)
	case choice.Wake:
		fmt.Fprintf(s.out, "ARM\trelay-id=%s\twait=%s\ttag=0\n", name, seconds(a.After))
	case choice.Subscribe:
		fmt.Fprintf(s.out, "OBSERVE\trelay-id=%s\twant=1\n", name)
	case choice.UnitChange:
		fmt.Fprintf(s.out, "EMIT\trelay-id=%s\tnote-text=%s\n", name, a)
	case choice.Log:
		fmt.Fprintf(s.out, "EMIT\trelay-id=%s\tnote-text=%s\n", name, a.Text)
	}
}
