// Package keeper is one process of the few that agree on settings for all relays: a log that most of them have (raft),
// the pure state machine of package state over it, sessions of members by lease, and HTTP round both.
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

// Config is one keeper's.
type Config struct {
	Name     string   `toml:"name"`
	HTTP     string   `toml:"http"`   // where relays and operators call
	Raft     string   `toml:"raft"`   // where other keepers call
	Source   string   `toml:"source"` // IP address that its calls go out from; empty for any
	Dir      string   `toml:"dir"`    // log, votes and snapshots
	Lease    Duration `toml:"lease"`  // of a member's session
	Drift    float64  `toml:"drift"`  // by which part the rates of two clocks may differ
	Election Duration `toml:"election"`
	Log      string   `toml:"log"`  // text or json
	Peers    []Peer   `toml:"peer"` // all keepers, this one too; none for one alone
}

// Peer is a keeper as others reach it.
type Peer struct {
	Name string `toml:"name"`
	HTTP string `toml:"http"`
	Raft string `toml:"raft"`
}

// Duration is a time as the file has it: "10s".
type Duration time.Duration

// UnmarshalText reads a time.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText writes a time as it is read.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Default is one keeper alone.
func Default() Config {
	return Config{Name: "keeper/0", HTTP: "127.0.0.1:7400", Raft: "127.0.0.1:7401", Lease: Duration(10 * time.Second), Drift: 0.01,
		Election: Duration(time.Second), Log: "text"}
}

// Read reads a file, whole. Keys that mean nothing are errors with their line.
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

// Parse reads the text of a file.
func Parse(data []byte) (Config, error) {
	c := Default()
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&c); err != nil {
		var strict *toml.StrictMissingError
		var bad *toml.DecodeError
		switch {
		case errors.As(err, &strict):
			var all []error
			for _, e := range strict.Errors {
				line, _ := e.Position()
				all = append(all, fmt.Errorf("line %d: %s: no such key", line, strings.Join(e.Key(), ".")))
			}
			return c, errors.Join(all...)
		case errors.As(err, &bad):
			line, _ := bad.Position()
			return c, fmt.Errorf("line %d: %w", line, err)
		}
		return c, err
	}
	return c, c.Check()
}

// Check tells all that is wrong.
func (c *Config) Check() error {
	var all []error
	bad := func(format string, args ...any) { all = append(all, fmt.Errorf(format, args...)) }
	address := func(key, addr string) {
		if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
			bad("%s: %q is no address with a port", key, addr)
		}
	}
	if c.Name == "" {
		bad("name: is empty")
	}
	if c.Dir == "" {
		bad("dir: is empty")
	}
	address("http", c.HTTP)
	address("raft", c.Raft)
	if c.Source != "" && net.ParseIP(c.Source) == nil {
		bad("source: %q is no IP address", c.Source)
	}
	if l := time.Duration(c.Lease); l < 100*time.Millisecond || l > 10*time.Minute {
		bad("lease: is %v, must be 100ms to 10m", l)
	}
	if !(c.Drift >= 0 && c.Drift <= 0.5) {
		bad("drift: is %g, must be 0 to 0.5", c.Drift)
	}
	if e := time.Duration(c.Election); e < 50*time.Millisecond || e > time.Minute {
		bad("election: is %v, must be 50ms to 1m", e)
	}
	if c.Log != "text" && c.Log != "json" {
		bad("log: %q is not text or json", c.Log)
	}
	if n := len(c.Peers); n != 0 && n != 1 && n != 3 && n != 5 {
		bad("peer: there are %d, must be 1, 3 or 5", n)
	}
	self := len(c.Peers) == 0
	for i, p := range c.Peers {
		if p.Name == "" || slices.ContainsFunc(c.Peers[:i], func(q Peer) bool { return q.Name == p.Name || q.HTTP == p.HTTP || q.Raft == p.Raft }) {
			bad("peer[%d]: name or address is empty or stands twice", i)
		}
		address(fmt.Sprintf("peer[%d].http", i), p.HTTP)
		address(fmt.Sprintf("peer[%d].raft", i), p.Raft)
		self = self || p.Name == c.Name
	}
	if !self {
		bad("peer: %q itself is not among them", c.Name)
	}
	return errors.Join(all...)
}

// peers are all keepers, this one too.
func (c *Config) peers() []Peer {
	if len(c.Peers) == 0 {
		return []Peer{{c.Name, c.HTTP, c.Raft}}
	}
	return c.Peers
}
