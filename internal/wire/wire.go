// Package wire translates between the simulator's line protocol and the events and actions of package choice. It makes no
// decisions of its own.
package wire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/settings"
)

// outcomes maps the protocol's names of outcomes.
var outcomes = map[string]choice.Outcome{
	"served": choice.Served, "server_error": choice.Error, "turned_away": choice.Refused,
	"no_answer": choice.Timeout, "no_connection": choice.NoConnection, "connection_lost": choice.Reset,
	"called_off": choice.Cancelled, "not_sent": choice.NotSent,
}

// line is one parsed line. Its methods that read fields record the first error in err.
type line struct {
	number int
	name   string
	fields map[string]string
	err    error
}

// parse parses a line into its name and fields. It clears fields and uses it for the result.
func parse(number int, text string, fields map[string]string) (*line, error) {
	clear(fields)
	l := &line{number: number, fields: fields}
	var rest string
	l.name, rest, _ = strings.Cut(text, "\t")
	for rest != "" {
		name, value, ok := strings.Cut(rest, "=")
		if !ok || name == "" || strings.Contains(name, "\t") {
			return nil, fmt.Errorf("line %d: %s: part %q is not name=value", number, l.name, rest)
		}
		rest = ""
		if name != "config" && name != "note-text" { // text runs to the end of the line
			value, rest, _ = strings.Cut(value, "\t")
		}
		if _, twice := l.fields[name]; twice {
			return nil, fmt.Errorf("line %d: %s: field %s is repeated", number, l.name, name)
		}
		l.fields[name] = value
	}
	return l, nil
}

// fail records an error of a field, unless there is one already.
func (l *line) fail(field, what string) {
	if l.err == nil {
		l.err = fmt.Errorf("line %d: %s: field %s: %s", l.number, l.name, field, what)
	}
}

// required returns the text of a field that must not be empty.
func (l *line) required(field string) string {
	v := l.fields[field]
	if v == "" {
		l.fail(field, "missing")
	}
	return v
}

// float returns the number in a field; 0 if an optional field is absent.
func (l *line) float(field string, required bool) float64 {
	v, ok := l.fields[field]
	if !ok || v == "" {
		if required || ok {
			l.fail(field, "missing")
		}
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		l.fail(field, fmt.Sprintf("%q is no number", v))
		return 0
	}
	return f
}

// seconds returns the duration in a field that has a number of seconds; 0 if an optional field is absent.
func (l *line) seconds(field string, required bool) time.Duration {
	f := l.float(field, required)
	if math.Abs(f) > 1e9 {
		l.fail(field, fmt.Sprintf("%g seconds is out of range", f))
		return 0
	}
	return seconds(f)
}

// integer returns the whole number in a field; 0 if an optional field is absent.
func (l *line) integer(field string, required bool) int {
	v, ok := l.fields[field]
	if !ok && !required {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		if v == "" {
			l.fail(field, "missing")
		} else {
			l.fail(field, fmt.Sprintf("%q is no whole number", v))
		}
	}
	return int(n)
}

// outcome returns the outcome that a required field names.
func (l *line) outcome(field string) choice.Outcome {
	o, ok := outcomes[l.required(field)]
	if !ok {
		l.fail(field, fmt.Sprintf("%q is no outcome", l.fields[field]))
	}
	return o
}

// floats returns the numbers in a field, which are separated by commas; none if the field is absent, empty or "-".
func (l *line) floats(field string) []float64 {
	v := l.fields[field]
	if v == "" || v == "-" {
		return nil
	}
	var row []float64
	for part := range strings.SplitSeq(v, ",") {
		f, err := strconv.ParseFloat(part, 64)
		if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
			l.fail(field, fmt.Sprintf("%q is no row of numbers", v))
			return nil
		}
		row = append(row, f)
	}
	return row
}

// seconds converts a number of seconds to a duration, rounded to microseconds.
func seconds(f float64) time.Duration { return time.Duration(math.Round(f*1e6)) * time.Microsecond }

// instance is one chooser with the events of the present batch for it.
type instance struct {
	name    string
	chooser *choice.Chooser
	events  []choice.Event
	queued  bool // it is in the server's queue
}

// server is the state of Serve.
type server struct {
	in         *bufio.Reader
	out        *bufio.Writer
	lineNumber int
	fields     map[string]string // of the last line read
	sheets     map[int][]choice.Host
	instances  map[string]*instance
	queue      []*instance // instances with an event in this batch, in the order of their first event
}

// Serve reads batches of events from r and writes the resulting actions to w, until the input ends. It returns an error for input
// that is malformed or ends within a batch.
func Serve(r io.Reader, w io.Writer) error {
	s := &server{in: bufio.NewReaderSize(r, 1<<16), out: bufio.NewWriterSize(w, 1<<16),
		fields: map[string]string{}, sheets: map[int][]choice.Host{}, instances: map[string]*instance{}}
	for {
		l, err := s.read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = s.handleBatch(l)
		}
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: batch ends without YOUR_TURN", s.lineNumber)
		}
		if err != nil {
			return err
		}
	}
}

// read parses the next line that is not empty. The line is valid until the next call.
func (s *server) read() (*line, error) {
	for {
		text, err := s.in.ReadString('\n')
		if err != nil && (text == "" || !errors.Is(err, io.EOF)) {
			return nil, err
		}
		s.lineNumber++
		if text = strings.TrimRight(text, "\r\n"); text != "" {
			return parse(s.lineNumber, text, s.fields)
		}
	}
}

// handleBatch reads the rest of a batch, and steps each instance that has an event in it.
func (s *server) handleBatch(l *line) error {
	if l.name != "BATCH" {
		return fmt.Errorf("line %d: %s where BATCH was due", l.number, l.name)
	}
	clock := l.seconds("clock", true)
	if l.err != nil {
		return l.err
	}
	s.queue = s.queue[:0]
	for {
		l, err := s.read()
		if err != nil {
			return err
		}
		if l.name == "YOUR_TURN" {
			break
		}
		if l.name == "CATALOG" {
			err = s.readCatalog(l)
		} else {
			err = s.handleEvent(l)
		}
		if err != nil {
			return err
		}
	}
	for _, inst := range s.queue {
		if s.instances[inst.name] == inst {
			s.step(clock, inst)
		}
	}
	s.out.WriteString("DONE\n")
	return s.out.Flush()
}

// step passes the events of an instance to its chooser and writes the resulting actions. A panic is reported as a BUG line.
func (s *server) step(clock time.Duration, inst *instance) {
	defer func() {
		if p := recover(); p != nil {
			text := strings.NewReplacer("\n", " ", "\t", " ").Replace(fmt.Sprint(p))
			fmt.Fprintf(s.out, "BUG\trelay-id=%s\tnote-text=%s\n", inst.name, text)
		}
	}()
	events := inst.events
	inst.events, inst.queued = nil, false
	for _, a := range inst.chooser.Step(clock, events) {
		s.print(inst.name, a)
	}
}

// readCatalog reads the hosts of a CATALOG, which later UPDATE lines refer to.
func (s *server) readCatalog(l *line) error {
	sheet, records := l.integer("sheet", true), l.integer("records", true)
	if l.err != nil {
		return l.err
	}
	hosts := []choice.Host{}
	for range records {
		entry, err := s.read()
		if err != nil {
			return err
		}
		if entry.name != "HOST" {
			return fmt.Errorf("line %d: %s where HOST was due", entry.number, entry.name)
		}
		host := choice.Host{Addr: entry.required("host"), Dest: entry.integer("cell", true), Kind: entry.integer("kind", false),
			Zone: entry.integer("rack-zone", false), Rate: entry.float("size", false)}
		switch state := entry.integer("condition", false); state {
		case 0:
			host.State = choice.Removed
		case 1:
			host.State = choice.Ready
		case 2:
			host.State = choice.Draining
		default:
			entry.fail("condition", fmt.Sprintf("%d is no state", state))
		}
		if entry.err != nil {
			return entry.err
		}
		hosts = append(hosts, host)
	}
	s.sheets[sheet] = hosts
	return nil
}

// handleEvent processes a line for one instance: it adds or removes the instance, or queues the event for it.
func (s *server) handleEvent(l *line) error {
	name := l.required("relay-id")
	if l.err != nil {
		return l.err
	}
	inst := s.instances[name]
	switch l.name {
	case "CONFIGURE":
		return s.configure(l, name)
	case "DETACH":
		delete(s.instances, name)
		return nil
	}
	e, err := s.event(l)
	if err == nil {
		err = l.err
	}
	if err == nil && inst == nil {
		err = fmt.Errorf("line %d: %s: field relay-id: %s was never configured", l.number, l.name, name)
	}
	if err != nil {
		return err
	}
	if !inst.queued {
		inst.queued = true
		s.queue = append(s.queue, inst)
	}
	if e != nil {
		inst.events = append(inst.events, e)
	}
	return nil
}

// configure creates an instance, in place of an earlier one of that name.
func (s *server) configure(l *line, name string) error {
	seed, err := strconv.ParseUint(l.required("entropy"), 10, 64)
	if err != nil {
		l.fail("entropy", "no whole number")
	}
	text := l.required("config")
	if l.err != nil {
		return l.err
	}
	parsed, err := settings.Parse([]byte(text))
	if err != nil {
		return fmt.Errorf("line %d: CONFIGURE: field config: %w", l.number, err)
	}
	chooser, err := choice.New(parsed.Settings, seed)
	if err != nil {
		return fmt.Errorf("line %d: CONFIGURE: field config: %w", l.number, err)
	}
	inst := &instance{name: name, chooser: chooser, queued: true}
	s.instances[name] = inst
	s.queue = append(s.queue, inst)
	return nil
}

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
	case choice.Log:
		fmt.Fprintf(s.out, "EMIT\trelay-id=%s\tnote-text=%s\n", name, a.Text)
	}
}
