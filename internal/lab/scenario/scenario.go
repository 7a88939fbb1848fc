// Package scenario reads the files that describe a run of the lab: the fleet, the platform, the load, the faults and
// operator's steps with their times, and what is expected.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a duration that a file writes as text: "40s".
type Duration time.Duration

// UnmarshalText parses a duration; a negative one is an error.
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

// MarshalText writes a duration in the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

func (d Duration) String() string { return time.Duration(d).String() }

// Scenario is the content of one file. The fields of this and the following types have no JSON tags and are written to
// results under their Go names.
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

// Fleet describes the processes under test.
type Fleet struct {
	Relays   int      `toml:"relays"`
	Keepers  int      `toml:"keepers"`
	Zones    []string `toml:"zones"`
	Lease    Duration `toml:"lease"`
	Copies   int      `toml:"copies"`    // number of other relays that store what one has accepted; 0 for none
	Short    string   `toml:"short"`     // what a relay does when it lacks copies: refuse or own-disk
	MemoryMB float64  `toml:"memory-mb"` // this and the following: limits of each relay
	Sockets  int      `toml:"sockets"`
	DiskMB   float64  `toml:"disk-mb"`
	// BacklogMB is the disk space that pending messages may use; 0 for a relay that stores none on disk.
	BacklogMB float64 `toml:"backlog-mb"`
	Cores     float64 `toml:"cores"`
	// SharedCores is the number of the machine's cores that all relays share and the lab does not use; 0 for no division.
	SharedCores int `toml:"shared-cores"`
}

// Platform bounds what the seed draws for the destinations and their endpoints.
type Platform struct {
	Destinations int      `toml:"destinations"`
	Endpoints    int      `toml:"endpoints"` // per destination
	Latency      Duration `toml:"latency"`   // median of a call
	Limit        float64  `toml:"limit"`     // calls per second that a destination accepts from all relays; 0 for no limit
	Queue        Duration `toml:"queue"`     // calls that an endpoint queues, as the time in which it executes them when warm; 0 for a drawn one
	Cold         Duration `toml:"cold"`      // warm-up time of a destination that recovers from an outage
	Shared       bool     `toml:"shared"`    // all relays reach an endpoint at the same address and are identified by their source addresses
}

// Load describes what clients submit.
type Load struct {
	Rate     float64  `toml:"rate"`  // messages per second
	Burst    float64  `toml:"burst"` // factor of the rate in bursts; 1 for none
	Deadline Duration `toml:"deadline"`
	Clients  int      `toml:"clients"`
	Early    float64  `toml:"early"` // share of clients that leave before their answer
	// Classes are the kinds of class, by what may be repeated: keyed (within a time), safe (always) and once (never). Each
	// gets an equal share of the messages.
	Classes   []string `toml:"classes"`
	Clump     int      `toml:"clump"`     // mean number of messages for one destination that arrive at once; 1 for single messages
	Strangers float64  `toml:"strangers"` // peers per second that send no valid message, or nothing
	Crowd     int      `toml:"crowd"`     // peers that keep connected and hold as much of a relay's memory as each may
	// Pipelined is the share of messages behind which another one is written before the first is answered.
	Pipelined float64 `toml:"pipelined"`
	// HalfClosed is the share of messages whose client closes its sending side after the request and waits for the answer.
	HalfClosed float64 `toml:"half-closed"`
}

// Fault is a fault that is injected at a time and may last for a while.
type Fault struct {
	At     Duration `toml:"at"`
	For    Duration `toml:"for"`
	Kind   string   `toml:"kind"`
	From   string   `toml:"from"`
	To     string   `toml:"to"`
	Both   bool     `toml:"both"`   // in both directions of the links
	By     Duration `toml:"by"`     // delay of delay, lateclose, late-list, slow-notices and slow-lists; age of the state folder of rollback
	Spread Duration `toml:"spread"` // of delay
	Part   float64  `toml:"part"`   // share of dropped, failed or garbled calls, or of calls for the list; factor of slow and limit
	Rate   int64    `toml:"rate"`   // bytes per second of slow links
	Bytes  int64    `toml:"bytes"`  // of reset
}

// Step is an action of an operator.
type Step struct {
	At    Duration       `toml:"at"`
	Do    string         `toml:"do"`
	To    string         `toml:"to"`
	Set   map[string]any `toml:"set"`
	Break string         `toml:"break"` // for settings: how the file is broken: cut, empty or missing
}

// Expect is what must hold in addition to the rules, which always apply.
type Expect struct {
	Served        *float64  `toml:"served"`
	Contradiction *Duration `toml:"contradiction"`
	Promised      *int      `toml:"promised"`   // greatest number of accepted messages without an end
	TakenOver     *Duration `toml:"taken-over"` // longest time from a machine's loss until all its messages have a successor or an end
	OverBudget    *float64  `toml:"over-budget"`
	OutRelays     *int      `toml:"out-relays"`
	OutEndpoints  *int      `toml:"out-endpoints"`
}

// The kinds of fault of links, processes, endpoints and discovery, and the steps.
var (
	linkFaultKinds      = []string{"cut", "drop", "delay", "slow", "reset", "halfopen", "refuse", "lateclose", "silence"}
	processFaultKinds   = []string{"pause", "kill", "term", "upgrade", "lose", "rollback"}
	endpointFaultKinds  = []string{"outage", "hang", "vanish", "shut", "errors", "slow", "limit", "garble"}
	discoveryFaultKinds = []string{"outage", "late-list", "slow-notices", "slow-lists", "busy-lists", "cut-lists", "stalled-lists", "mute-lists"}
	stepKinds           = []string{"settings", "list", "drain", "ban", "unban"}
	// unsupportedSteps, like the expectations that are not measured, need grants and permits of the keepers, which do not
	// exist yet. They are rejected rather than ignored, because a run with them would show nothing.
	unsupportedSteps = []string{"release", "halt", "back"}
)

// Error is an error in a file, with its line (0 if unknown) and key.
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

// Read reads a scenario from a file. It reports all errors in the file at once, each with its line and key.
func Read(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	scenario, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return scenario, nil
}

// Default returns the scenario whose values apply where a file sets none.
func Default() *Scenario {
	return &Scenario{Name: "unnamed", Seed: 1, Duration: Duration(20 * time.Second),
		Fleet: Fleet{Relays: 3, Zones: []string{"a"}, Lease: Duration(10 * time.Second), MemoryMB: 64, Sockets: 512, DiskMB: 3, Cores: 1},
		Platform: Platform{Destinations: 5, Endpoints: 2, Latency: Duration(40 * time.Millisecond), Limit: 60,
			Cold: Duration(6 * time.Second)},
		Load: Load{Rate: 60, Burst: 1, Deadline: Duration(6 * time.Second), Clients: 8, Classes: []string{"keyed"}, Clump: 1}}
}

// Parse reads a scenario from the text of a file and checks it.
func Parse(data []byte) (*Scenario, error) {
	scenario := Default()
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(scenario); err != nil {
		var unknownKeys *toml.StrictMissingError
		var malformed *toml.DecodeError
		switch {
		case errors.As(err, &unknownKeys):
			var problems []error
			for _, e := range unknownKeys.Errors {
				line, column := e.Position()
				problems = append(problems, &Error{line, column, strings.Join(e.Key(), "."), errors.New("no such key")})
			}
			return nil, errors.Join(problems...)
		case errors.As(err, &malformed):
			line, column := malformed.Position()
			return nil, &Error{line, column, strings.Join(malformed.Key(), "."), errors.New(malformed.Error())}
		}
		return nil, err
	}
	if err := scenario.Check(); err != nil {
		return nil, addLineNumbers(data, err)
	}
	return scenario, nil
}

// ClassKinds are the kinds of class that a load may have.
var ClassKinds = []string{"keyed", "safe", "once"}

// SettableKeys are the settings that a step may set.
var SettableKeys = []string{"max-attempts", "most-held", "destination-limit", "aim", "give-up", "workers"}

// toNumber returns a number as TOML decodes it, and whether the value is one.
func toNumber(v any) (float64, bool) {
	switch v := v.(type) {
	case int64:
		return float64(v), true
	case float64:
		return v, true
	}
	return 0, false
}

// Number returns the number to which a step sets a key, and whether it sets it to one.
func (st Step) Number(key string) (float64, bool) { return toNumber(st.Set[key]) }
