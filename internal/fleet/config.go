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
	Copies int    `json:"copies,omitempty"`
	Short  string `json:"short,omitempty"`
}

// What Short may be.
const (
	Refuse  = "refuse"
	OwnDisk = "own-disk"
)

// copiesMost bounds copies.
const copiesMost = 4

// Wrong is a key of the object fleet that cannot be as it is.
type Wrong struct{ Key, Text string }

func (w *Wrong) Error() string { return "fleet: " + w.Key + ": " + w.Text }

// Remedy says what an operator can do.
func (w *Wrong) Remedy() string {
	return "correct " + w.Key + " in the fleet object of the configuration"
}

// Check tells what is wrong.
func (c *Config) Check() error {
	if len(c.Keepers) == 0 || slices.Contains(c.Keepers, "") {
		return &Wrong{"keepers", "must name one at least, and none may be empty"}
	}
	for key, addr := range map[string]string{"listen": c.Listen, "address": c.Address} {
		if _, port, err := net.SplitHostPort(addr); addr != "" && (err != nil || port == "") {
			return &Wrong{key, fmt.Sprintf("%q is no address with a port", addr)}
		}
	}
	switch {
	case c.Copies < 0 || c.Copies > copiesMost:
		return &Wrong{"copies", fmt.Sprintf("is %d, must be 0 to %d", c.Copies, copiesMost)}
	case c.Copies > 0 && c.Listen == "":
		return &Wrong{"listen", "is missing: a relay whose records others hold holds theirs"}
	case c.Short != "" && c.Short != Refuse && c.Short != OwnDisk:
		return &Wrong{"short", fmt.Sprintf("%q is neither %s nor %s", c.Short, Refuse, OwnDisk)}
	case c.Address != "" && c.Listen == "":
		return &Wrong{"address", "means nothing without listen"}
	}
	return nil
}

// Unfit is a generation that the relay cannot act by.
type Unfit struct {
	Number uint64
	Force  bool // it is in force; else it is rejected
	Err    error
}

func (u *Unfit) Error() string {
	if u.Force {
		return fmt.Sprintf("generation %d is in force, and cannot be acted by: %v", u.Number, u.Err)
	}
	return fmt.Sprintf("generation %d is rejected: %v", u.Number, u.Err)
}

func (u *Unfit) Unwrap() error { return u.Err }

// Remedy says what an operator can do.
func (u *Unfit) Remedy() string {
	return "correct the document, or the relay's own file where that is narrower, or upgrade the relay"
}
