// Package keeper implements a keeper, one server of the small group that agrees on the configuration of all relays: a
// replicated log (raft), the deterministic state machine of package state on top of it, members' sessions by lease, and
// an HTTP interface.
package keeper

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Config is the configuration of one keeper.
type Config struct {
	Name     string   `toml:"name"`
	HTTP     string   `toml:"http"`     // address for calls of relays and operators
	Raft     string   `toml:"raft"`     // address for connections of other keepers
	Source   string   `toml:"source"`   // local IP address of outgoing connections; empty for any
	Dir      string   `toml:"dir"`      // folder of log, votes and snapshots
	Lease    Duration `toml:"lease"`    // duration of a member's session after a renewal
	Drift    float64  `toml:"drift"`    // largest relative difference between the rates of two clocks
	Election Duration `toml:"election"` // raft election and heartbeat timeout
	Log      string   `toml:"log"`      // format of the log: text or json
	Peers    []Peer   `toml:"peer"`     // all keepers, including this one; empty for a single keeper
}

// Peer has the name and addresses of a keeper.
type Peer struct {
	Name string `toml:"name"`
	HTTP string `toml:"http"`
	Raft string `toml:"raft"`
}

// Duration is a duration that the file has as text: "10s".
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText formats a duration so that UnmarshalText can parse it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Default returns the configuration of a single keeper, without a folder.
func Default() Config {
	return Config{Name: "keeper/0", HTTP: "127.0.0.1:7400", Raft: "127.0.0.1:7401", Lease: Duration(10 * time.Second), Drift: 0.01,
		Election: Duration(time.Second), Log: "text"}
}

// Read reads and checks a configuration file. Unknown keys are errors that name the line.
func Read(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	c, err := Parse(data)
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse decodes and checks the text of a configuration file.
func Parse(data []byte) (Config, error) {
	c := Default()
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&c); err != nil {
		var strict *toml.StrictMissingError
		var decodeErr *toml.DecodeError
		switch {
		case errors.As(err, &strict):
			var all []error
			for _, e := range strict.Errors {
				line, _ := e.Position()
				all = append(all, fmt.Errorf("line %d: %s: no such key", line, strings.Join(e.Key(), ".")))
			}
			return c, errors.Join(all...)
		case errors.As(err, &decodeErr):
			line, _ := decodeErr.Position()
			return c, fmt.Errorf("line %d: %w", line, err)
		}
		return c, err
	}
	return c, c.Check()
}

// Check returns an error that lists all problems of the configuration.
func (c *Config) Check() error {
	var problems []error
	addProblem := func(format string, args ...any) { problems = append(problems, fmt.Errorf(format, args...)) }
	checkAddress := func(key, addr string) {
		if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
			addProblem("%s: %q is not an address with a port", key, addr)
		}
	}
	if c.Name == "" {
		addProblem("name: is empty")
	}
	if c.Dir == "" {
		addProblem("dir: is empty")
	}
	checkAddress("http", c.HTTP)
	checkAddress("raft", c.Raft)
	if c.Source != "" && net.ParseIP(c.Source) == nil {
		addProblem("source: %q is not an IP address", c.Source)
	}
	if lease := time.Duration(c.Lease); lease < 100*time.Millisecond || lease > 10*time.Minute {
		addProblem("lease: is %v, must be 100ms to 10m", lease)
	}
	if !(c.Drift >= 0 && c.Drift <= 0.5) {
		addProblem("drift: is %g, must be 0 to 0.5", c.Drift)
	}
	if election := time.Duration(c.Election); election < 50*time.Millisecond || election > time.Minute {
		addProblem("election: is %v, must be 50ms to 1m", election)
	}
	if c.Log != "text" && c.Log != "json" {
		addProblem("log: %q is not text or json", c.Log)
	}
	if n := len(c.Peers); n != 0 && n != 1 && n != 3 && n != 5 {
		addProblem("peer: there are %d, must be 1, 3 or 5", n)
	}
	selfListed := len(c.Peers) == 0
	for i, p := range c.Peers {
		if p.Name == "" || slices.ContainsFunc(c.Peers[:i], func(q Peer) bool { return q.Name == p.Name || q.HTTP == p.HTTP || q.Raft == p.Raft }) {
			addProblem("peer[%d]: the name or an address is empty or used twice", i)
		}
		checkAddress(fmt.Sprintf("peer[%d].http", i), p.HTTP)
		checkAddress(fmt.Sprintf("peer[%d].raft", i), p.Raft)
		selfListed = selfListed || p.Name == c.Name
	}
	if !selfListed {
		addProblem("peer: %q itself is not among them", c.Name)
	}
	return errors.Join(problems...)
}

// allPeers returns all keepers, including this one.
func (c *Config) allPeers() []Peer {
	if len(c.Peers) == 0 {
		return []Peer{{c.Name, c.HTTP, c.Raft}}
	}
	return c.Peers
}
