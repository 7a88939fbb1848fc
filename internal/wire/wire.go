// Package wire translates between the simulator's line protocol and the events and actions of package choice. It makes no
// decisions of its own.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/settings"
)

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
