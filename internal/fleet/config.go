package fleet

import (
	"fmt"
	"net"
	"slices"
)

// Config is the object fleet of a relay's configuration. Without it a relay has no part in any of this.
type Config struct {
	Keepers []string `json:"keepers"` // their HTTP addresses
	Zone    string   `json:"zone,omitempty"`
	// Listen is where the relay takes copies of what others hold; empty for a relay that takes none. Address is where others
	// reach that, if it is not the same.
	Listen  string `json:"listen,omitempty"`
	Address string `json:"address,omitempty"`
	// Copies is at how many further relays a record has to be to count; 0 for a relay that copies nothing. Short says what
	// follows where they cannot be reached: refuse, or own-disk.
	Copies     int    `json:"copies,omitempty"`
	OnShortage string `json:"short,omitempty"`
}

// What Short may be.
const (
	ShortageRefuse  = "refuse"
	ShortageOwnDisk = "own-disk"
)

// copiesMost bounds copies.
const maxCopies = 4

// Wrong is a key of the object fleet that cannot be as it is.
type ConfigError struct{ Key, Text string }

func (e *ConfigError) Error() string { return "fleet: " + e.Key + ": " + e.Text }

// Remedy says what an operator can do.
func (e *ConfigError) Remedy() string {
	return "correct " + e.Key + " in the fleet object of the configuration"
}

// Check tells what is wrong.
func (c *Config) Check() error {
	if len(c.Keepers) == 0 || slices.Contains(c.Keepers, "") {
		return &ConfigError{"keepers", "must name one at least, and none may be empty"}
	}
	for key, addr := range map[string]string{"listen": c.Listen, "address": c.Address} {
		if _, port, err := net.SplitHostPort(addr); addr != "" && (err != nil || port == "") {
			return &ConfigError{key, fmt.Sprintf("%q is no address with a port", addr)}
		}
	}
	switch {
	case c.Copies < 0 || c.Copies > maxCopies:
		return &ConfigError{"copies", fmt.Sprintf("is %d, must be 0 to %d", c.Copies, maxCopies)}
	case c.Copies > 0 && c.Listen == "":
		return &ConfigError{"listen", "is missing: a relay whose records others hold holds theirs"}
	case c.OnShortage != "" && c.OnShortage != ShortageRefuse && c.OnShortage != ShortageOwnDisk:
		return &ConfigError{"short", fmt.Sprintf("%q is neither %s nor %s", c.OnShortage, ShortageRefuse, ShortageOwnDisk)}
	case c.Address != "" && c.Listen == "":
		return &ConfigError{"address", "means nothing without listen"}
	}
	return nil
}

// Unfit is a generation that the relay cannot act by.
type UnusableGeneration struct {
	Number   uint64
	InEffect bool // it is in force; else it is rejected
	Err      error
}

func (e *UnusableGeneration) Error() string {
	if e.InEffect {
		return fmt.Sprintf("generation %d is in force, and cannot be acted by: %v", e.Number, e.Err)
	}
	return fmt.Sprintf("generation %d is rejected: %v", e.Number, e.Err)
}

func (e *UnusableGeneration) Unwrap() error { return e.Err }

// Remedy says what an operator can do.
func (e *UnusableGeneration) Remedy() string {
	return "correct the document, or the relay's own file where that is narrower, or upgrade the relay"
}
