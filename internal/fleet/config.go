package fleet

import (
	"fmt"
	"net"
	"slices"
)

// Config is the object fleet of a relay's configuration. A relay without it is not part of a fleet: it follows no generations and
// copies no records.
type Config struct {
	Keepers []string `json:"keepers"` // HTTP addresses of the keepers
	Zone    string   `json:"zone,omitempty"`
	// Listen is the address at which the relay receives copies of other relays' records; empty for a relay that receives none.
	// Address is the address by which other relays reach it, if that differs from Listen.
	Listen  string `json:"listen,omitempty"`
	Address string `json:"address,omitempty"`
	// Copies is the number of other relays that must have a record before it is committed; 0 for a relay that copies
	// nothing. OnShortage says what the relay does while fewer can be reached: ShortageRefuse or ShortageOwnDisk.
	Copies     int    `json:"copies,omitempty"`
	OnShortage string `json:"short,omitempty"`
}

// The values of Config.OnShortage: refuse new messages, or rely on the relay's own disk.
const (
	ShortageRefuse  = "refuse"
	ShortageOwnDisk = "own-disk"
)

// maxCopies is the upper limit of Config.Copies.
const maxCopies = 4

// ConfigError reports a key of the object fleet that has an invalid value.
type ConfigError struct{ Key, Text string }

func (e *ConfigError) Error() string { return "fleet: " + e.Key + ": " + e.Text }

// Remedy returns what an operator can do about the error.
func (e *ConfigError) Remedy() string {
	return "correct " + e.Key + " in the fleet object of the configuration"
}

// Check returns a *ConfigError for the first invalid value that it finds; nil if there is none.
func (c *Config) Check() error {
	if len(c.Keepers) == 0 || slices.Contains(c.Keepers, "") {
		return &ConfigError{"keepers", "must have at least one address, and none may be empty"}
	}
	for key, addr := range map[string]string{"listen": c.Listen, "address": c.Address} {
		if _, port, err := net.SplitHostPort(addr); addr != "" && (err != nil || port == "") {
			return &ConfigError{key, fmt.Sprintf("%q is not an address with a port", addr)}
		}
	}
	switch {
	case c.Copies < 0 || c.Copies > maxCopies:
		return &ConfigError{"copies", fmt.Sprintf("is %d, must be 0 to %d", c.Copies, maxCopies)}
	case c.Copies > 0 && c.Listen == "":
		return &ConfigError{"listen", "is missing: a relay whose records are copied to others must receive copies of theirs"}
	case c.OnShortage != "" && c.OnShortage != ShortageRefuse && c.OnShortage != ShortageOwnDisk:
		return &ConfigError{"short", fmt.Sprintf("%q is neither %s nor %s", c.OnShortage, ShortageRefuse, ShortageOwnDisk)}
	case c.Address != "" && c.Listen == "":
		return &ConfigError{"address", "has no effect without listen"}
	}
	return nil
}

// UnusableGeneration reports a generation that the relay cannot act on.
type UnusableGeneration struct {
	Number   uint64
	InEffect bool // the generation is in effect already; otherwise it is prepared, and the relay rejects it
	Err      error
}

func (e *UnusableGeneration) Error() string {
	if e.InEffect {
		return fmt.Sprintf("generation %d is in effect, but the relay cannot act on it: %v", e.Number, e.Err)
	}
	return fmt.Sprintf("generation %d is rejected: %v", e.Number, e.Err)
}

// Unwrap returns the cause.
func (e *UnusableGeneration) Unwrap() error { return e.Err }

// Remedy returns what an operator can do about the error.
func (e *UnusableGeneration) Remedy() string {
	return "correct the document, or the relay's own file where that is narrower, or upgrade the relay"
}
