// Package scenario reads the files that say what a run of the lab consists of: a fleet, a platform, its load,
// what fails and is done when, and what is expected.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a time as the file has it: "40s".
type Duration time.Duration

// UnmarshalText reads a time; none may be negative.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	if v < 0 {
		return fmt.Errorf("%s is negative", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes a time as it is read.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

func (d Duration) String() string { return time.Duration(d).String() }

// Scenario is one file.
type Scenario struct {
	Name     string   `toml:"name"`
	Seed     uint64   `toml:"seed"`
	Duration Duration `toml:"duration"`
	Fleet    Fleet    `toml:"fleet"`
	Platform Platform `toml:"platform"`
	Load     Load     `toml:"load"`
	Faults   []Fault  `toml:"fault"`
	Steps    []Step   `toml:"step"`
	Expect   Expect   `toml:"expect"`
}

// Fleet is the processes under test.
type Fleet struct {
	Relays   int      `toml:"relays"`
	Keepers  int      `toml:"keepers"`
	Zones    []string `toml:"zones"`
	Lease    Duration `toml:"lease"`
	Copies   int      `toml:"copies"`    // further relays that hold what one holds; 0 for none
	Short    string   `toml:"short"`     // what a relay does without them: refuse or own-disk
	MemoryMB float64  `toml:"memory-mb"` // limits of each relay
	Sockets  int      `toml:"sockets"`
	DiskMB   float64  `toml:"disk-mb"`
	Cores    float64  `toml:"cores"`
}

// Platform bounds what the seed draws of the partners.
type Platform struct {
	Destinations int      `toml:"destinations"`
	Endpoints    int      `toml:"endpoints"` // for each destination
	Latency      Duration `toml:"latency"`   // median of a call
	Limit        float64  `toml:"limit"`     // calls a second of a destination from all relays; 0 for none
	Cold         Duration `toml:"cold"`      // time in which a destination that comes back warms up
	Shared       bool     `toml:"shared"`    // all relays reach an endpoint at one address, and are known by theirs
}

// Load is what clients hand in.
type Load struct {
	Rate     float64  `toml:"rate"`  // messages a second
	Burst    float64  `toml:"burst"` // the rate is as much higher in bursts; 1 for none
	Deadline Duration `toml:"deadline"`
	Clients  int      `toml:"clients"`
	Early    float64  `toml:"early"` // share of clients that leave before their answer
	// Classes are what may be repeated: keyed (for a time), safe (always) and once (never). Each gets its share.
	Classes   []string `toml:"classes"`
	Clump     int      `toml:"clump"`     // messages that come at once for one destination, in the mean; 1 for one by one
	Strangers float64  `toml:"strangers"` // peers a second that send what is no message, or nothing
}

// Fault is something that is wrong for a while.
type Fault struct {
	At     Duration `toml:"at"`
	For    Duration `toml:"for"`
	Kind   string   `toml:"kind"`
	From   string   `toml:"from"`
	To     string   `toml:"to"`
	Both   bool     `toml:"both"`   // both ways of the links
	By     Duration `toml:"by"`     // of delay and late-list
	Spread Duration `toml:"spread"` // of delay
	Part   float64  `toml:"part"`   // share of errors, drops; factor of slow
	Rate   int64    `toml:"rate"`   // bytes a second of slow links
	Bytes  int64    `toml:"bytes"`  // of reset
}

// Step is something that an operator does.
type Step struct {
	At    Duration       `toml:"at"`
	Do    string         `toml:"do"`
	To    string         `toml:"to"`
	Set   map[string]any `toml:"set"`
	Break string         `toml:"break"` // settings: how the file is broken: cut, empty or missing
}

// Expect is what has to hold beside the rules, which always do.
type Expect struct {
	Served        *float64  `toml:"served"`
	Contradiction *Duration `toml:"contradiction"`
	Promised      *int      `toml:"promised"`   // most messages taken on that got no end
	TakenOver     *Duration `toml:"taken-over"` // longest from a machine's loss until all it held has an heir or an end
	OverBudget    *float64  `toml:"over-budget"`
	OutRelays     *int      `toml:"out-relays"`
	OutEndpoints  *int      `toml:"out-endpoints"`
}

// The kinds of fault: those of links, of processes, of partners and of discovery.
var (
	linkFaults    = []string{"cut", "drop", "delay", "slow", "reset", "halfopen", "refuse", "lateclose"}
	processFaults = []string{"pause", "kill", "term", "upgrade", "lose", "rollback"}
	partnerFaults = []string{"outage", "shut", "errors", "slow", "limit", "garble"}
	listFaults    = []string{"outage", "late-list"}
	steps         = []string{"settings", "list", "drain", "ban", "unban"}
	// laterSteps and the expectations without a measure need grants and permits, which are not there yet. They
	// are refused rather than passed over: nothing would have been shown.
	laterSteps = []string{"release", "halt", "back"}
)

// Error is a fault in a file, with its line.
type Error struct {
	Line, Column int
	Key          string
	Err          error
}

func (e *Error) Error() string {
	switch {
	case e.Line > 0 && e.Key != "":
		return fmt.Sprintf("line %d: %s: %v", e.Line, e.Key, e.Err)
	case e.Line > 0:
		return fmt.Sprintf("line %d: %v", e.Line, e.Err)
	case e.Key != "":
		return fmt.Sprintf("%s: %v", e.Key, e.Err)
	}
	return e.Err.Error()
}

func (e *Error) Unwrap() error { return e.Err }

// Read reads a file. All that is wrong with it is told at once, each with line and key.
func Read(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Default is the run of which a file changes what it names.
func Default() *Scenario {
	return &Scenario{Name: "unnamed", Seed: 1, Duration: Duration(20 * time.Second),
		Fleet: Fleet{Relays: 3, Zones: []string{"a"}, Lease: Duration(10 * time.Second), MemoryMB: 64, Sockets: 512, DiskMB: 3, Cores: 1},
		Platform: Platform{Destinations: 5, Endpoints: 2, Latency: Duration(40 * time.Millisecond), Limit: 60,
			Cold: Duration(6 * time.Second)},
		Load: Load{Rate: 60, Burst: 1, Deadline: Duration(6 * time.Second), Clients: 8, Classes: []string{"keyed"}, Clump: 1}}
}

// Parse reads a scenario from the text of a file.
func Parse(data []byte) (*Scenario, error) {
	s := Default()
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		var strict *toml.StrictMissingError
		var bad *toml.DecodeError
		switch {
		case errors.As(err, &strict):
			var all []error
			for _, e := range strict.Errors {
				line, col := e.Position()
				all = append(all, &Error{line, col, strings.Join(e.Key(), "."), errors.New("no such key")})
			}
			return nil, errors.Join(all...)
		case errors.As(err, &bad):
			line, col := bad.Position()
			return nil, &Error{line, col, strings.Join(bad.Key(), "."), errors.New(bad.Error())}
		}
		return nil, err
	}
	if err := s.Check(); err != nil {
		return nil, locate(data, err)
	}
	return s, nil
}

// Check tells all that is wrong with a scenario.
func (s *Scenario) Check() error {
	var all []error
	bad := func(key, format string, args ...any) {
		all = append(all, &Error{Key: key, Err: fmt.Errorf(format, args...)})
	}
	within := func(key string, v, least, most float64) {
		if !(v >= least && v <= most) {
			bad(key, "is %g, must be %g to %g", v, least, most)
		}
	}
	if s.Duration < Duration(time.Second) || s.Duration > Duration(24*time.Hour) {
		bad("duration", "is %s, must be 1s to 24h", s.Duration)
	}
	within("fleet.relays", float64(s.Fleet.Relays), 1, 1000)
	if !slices.Contains([]int{0, 1, 3, 5}, s.Fleet.Keepers) {
		bad("fleet.keepers", "is %d, must be 0, 1, 3 or 5", s.Fleet.Keepers)
	}
	within("fleet.lease (seconds)", time.Duration(s.Fleet.Lease).Seconds(), 0.5, 600)
	if len(s.Fleet.Zones) == 0 || slices.Contains(s.Fleet.Zones, "") {
		bad("fleet.zones", "must name one zone at least, and none may be empty")
	}
	if s.Fleet.Copies < 0 || s.Fleet.Copies > 4 {
		bad("fleet.copies", "is %d, must be 0 to 4", s.Fleet.Copies)
	}
	if s.Fleet.Copies > 0 && s.Fleet.Keepers == 0 {
		bad("fleet.copies", "needs fleet.keepers: they agree on who holds what")
	}
	if !slices.Contains([]string{"", "refuse", "own-disk"}, s.Fleet.Short) {
		bad("fleet.short", "is %q, must be refuse or own-disk", s.Fleet.Short)
	}
	within("fleet.memory-mb", s.Fleet.MemoryMB, 8, 1<<20)
	within("fleet.sockets", float64(s.Fleet.Sockets), 32, 1<<20)
	within("fleet.disk-mb", s.Fleet.DiskMB, 0.1, 1<<20)
	within("fleet.cores", s.Fleet.Cores, 0.05, 1024)
	within("platform.destinations", float64(s.Platform.Destinations), 1, 1000)
	within("platform.endpoints", float64(s.Platform.Endpoints), 1, 100)
	within("platform.latency (seconds)", time.Duration(s.Platform.Latency).Seconds(), 0.001, 60)
	within("platform.limit", s.Platform.Limit, 0, 1e6)
	within("platform.cold (seconds)", time.Duration(s.Platform.Cold).Seconds(), 0.1, 3600)
	within("load.rate", s.Load.Rate, 0, 1e5)
	within("load.burst", s.Load.Burst, 1, 100)
	within("load.deadline (seconds)", time.Duration(s.Load.Deadline).Seconds(), 0.1, 3600)
	within("load.clients", float64(s.Load.Clients), 1, 10000)
	within("load.early", s.Load.Early, 0, 1)
	within("load.clump", float64(s.Load.Clump), 1, 1000)
	within("load.strangers", s.Load.Strangers, 0, 1000)
	if len(s.Load.Classes) == 0 {
		bad("load.classes", "must name one at least of %s", strings.Join(Classes, ", "))
	}
	for i, k := range s.Load.Classes {
		if !slices.Contains(Classes, k) || slices.Contains(s.Load.Classes[:i], k) {
			bad("load.classes", "%q is not one of %s, or stands twice", k, strings.Join(Classes, ", "))
		}
	}
	for i, f := range s.Faults {
		key := fmt.Sprintf("fault[%d]", i)
		if err := s.checkFault(f); err != nil {
			bad(key, "%w", err)
		}
		if f.At > s.Duration {
			bad(key, "at %s is after the end, %s", f.At, s.Duration)
		}
	}
	for i, st := range s.Steps {
		key := fmt.Sprintf("step[%d]", i)
		if err := s.checkStep(st); err != nil {
			bad(key, "%w", err)
		}
		if st.At > s.Duration {
			bad(key, "at %s is after the end, %s", st.At, s.Duration)
		}
	}
	if v := s.Expect.Served; v != nil {
		within("expect.served", *v, 0, 1)
	}
	if s.Expect.Contradiction != nil && s.Fleet.Keepers == 0 {
		bad("expect.contradiction", "needs fleet.keepers: relays without act by what each is told")
	}
	if s.Expect.TakenOver != nil && s.Fleet.Copies == 0 {
		bad("expect.taken-over", "needs fleet.copies: nobody takes over without")
	}
	for key, set := range map[string]bool{"over-budget": s.Expect.OverBudget != nil,
		"out-relays": s.Expect.OutRelays != nil, "out-endpoints": s.Expect.OutEndpoints != nil} {
		if set {
			bad("expect."+key, "is not measured yet: it needs grants and permits of the keepers")
		}
	}
	return errors.Join(all...)
}

// TakeOver is for what a lost machine held to be taken over, as the rules allow: a lease and what clocks differ by, the time
// in which relays hear of it and ask holders, and what is slower on a busy machine. 0 where nobody takes over.
func TakeOver(s *Scenario) time.Duration {
	if s.Fleet.Copies == 0 {
		return 0
	}
	return time.Duration(s.Fleet.Lease)*101/100 + 3*time.Second
}

func (s *Scenario) checkFault(f Fault) error {
	from, err := s.party(f.From)
	if err != nil {
		return fmt.Errorf("from: %w", err)
	}
	if f.To != "" {
		if _, err := s.party(f.To); err != nil {
			return fmt.Errorf("to: %w", err)
		}
	}
	is := func(kinds []string) bool { return slices.Contains(kinds, f.Kind) }
	switch {
	case f.To != "" && is(linkFaults):
		switch {
		case (f.Kind == "delay" || f.Kind == "lateclose") && f.By == 0:
			return fmt.Errorf("%s needs by", f.Kind)
		case f.Kind == "slow" && f.Rate <= 0:
			return errors.New("slow needs rate")
		case f.Kind == "drop" && !(f.Part > 0 && f.Part <= 1):
			return errors.New("drop needs part, above 0 and at most 1")
		}
	case f.To != "":
		return fmt.Errorf("%q is nothing that is wrong with a link (%s); without \"to\" it is of the party itself", f.Kind, strings.Join(linkFaults, ", "))
	case from.kind == "relay" && is(processFaults):
		if f.Kind == "rollback" && (f.By == 0 || f.By > f.At) {
			return errors.New("rollback needs by: how old the folder is, and no older than the run")
		}
	case from.kind == "keeper" && is(processFaults[:3]):
	case from.kind == "endpoint" && is(partnerFaults):
		if (f.Kind == "errors" || f.Kind == "garble") && !(f.Part > 0 && f.Part <= 1) || f.Kind == "slow" && f.Part <= 1 || f.Kind == "limit" && !(f.Part > 0) {
			return fmt.Errorf("%s needs part: errors and garble a share above 0, slow a factor above 1, limit a factor above 0", f.Kind)
		}
	case from.kind == "discovery" && is(listFaults):
		if f.Kind == "late-list" && f.By == 0 {
			return errors.New("late-list needs by")
		}
	default:
		return fmt.Errorf("%q is nothing that is wrong with %q", f.Kind, f.From)
	}
	if f.For == 0 && f.Kind != "kill" && f.Kind != "term" && f.Kind != "upgrade" && f.Kind != "lose" && f.Kind != "rollback" {
		return fmt.Errorf("%s needs for: how long it lasts", f.Kind)
	}
	return nil
}

func (s *Scenario) checkStep(st Step) error {
	if slices.Contains(laterSteps, st.Do) {
		return fmt.Errorf("%q needs permits of the keepers, which are not there yet", st.Do)
	}
	if !slices.Contains(steps, st.Do) {
		return fmt.Errorf("%q is no step (%s)", st.Do, strings.Join(steps, ", "))
	}
	want := "endpoint"
	if st.Do == "settings" {
		want = "relay"
		if len(st.Set) == 0 && st.Break == "" {
			return errors.New("settings needs set or break")
		}
		for key, v := range st.Set {
			if _, ok := number(v); !ok || !slices.Contains(Settable, key) {
				return fmt.Errorf("set: %q with %v: only %s can be set, to numbers", key, v, strings.Join(Settable, ", "))
			}
		}
		if st.Break != "" && !slices.Contains([]string{"cut", "empty", "missing"}, st.Break) {
			return fmt.Errorf("break: %q is not cut, empty or missing", st.Break)
		}
	}
	if st.Do == "list" {
		for key, v := range st.Set {
			if _, ok := number(v); !ok || key != "limit" {
				return fmt.Errorf("set: %q with %v: only limit can be set, to a number", key, v)
			}
		}
	}
	to := st.To
	if st.Do == "settings" && s.Fleet.Keepers > 0 && to != "" && to != "relays" {
		return errors.New("to: keepers agree on settings for all relays")
	}
	if to == "" && st.Do == "settings" {
		to = "relays"
	}
	p, err := s.party(to)
	if err != nil {
		return fmt.Errorf("to: %w", err)
	}
	if p.kind != want {
		return fmt.Errorf("to: %q is no %s", to, want)
	}
	return nil
}

// Classes are the kinds of class that a load may have.
var Classes = []string{"keyed", "safe", "once"}

// Settable are the settings that a step can set.
var Settable = []string{"max-attempts", "most-held", "destination-limit", "aim", "give-up", "workers"}

func number(v any) (float64, bool) {
	switch v := v.(type) {
	case int64:
		return float64(v), true
	case float64:
		return v, true
	}
	return 0, false
}

// Number is the number that a step sets a key to.
func (st Step) Number(key string) (float64, bool) { return number(st.Set[key]) }

// locate finds the lines of the tables that errors name.
func locate(data []byte, err error) error {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return err
	}
	lines := strings.Split(string(data), "\n")
	for _, e := range joined.Unwrap() {
		at, ok := e.(*Error)
		if !ok {
			continue
		}
		at.Line = find(lines, at.Key)
	}
	return err
}

// find is the line of a key such as load.rate or fault[1]; 0 if the file leaves it to its default.
func find(lines []string, key string) int {
	key, _, _ = strings.Cut(key, " ")
	table, name, dotted := strings.Cut(key, ".")
	nth := 0
	if t, n, ok := strings.Cut(key, "["); ok {
		table, dotted = t, false
		fmt.Sscanf(n, "%d]", &nth)
		for i, line := range lines {
			if strings.HasPrefix(strings.ReplaceAll(line, " ", ""), "[["+table+"]]") {
				if nth == 0 {
					return i + 1
				}
				nth--
			}
		}
		return 0
	}
	in := !dotted
	if !dotted {
		name = table
	}
	for i, line := range lines {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			in = dotted && strings.HasPrefix(line, "["+table+"]")
			continue
		}
		if word, _, ok := strings.Cut(line, "="); ok && in && strings.TrimSpace(word) == name {
			return i + 1
		}
	}
	return 0
}
