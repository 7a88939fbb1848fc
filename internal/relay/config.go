package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"larchrouter/internal/discovery"
	"larchrouter/internal/fleet"
	"larchrouter/internal/remedy"
	"larchrouter/internal/settings"
	"larchrouter/internal/smallfile"
)

// Config is what a relay is told at its start.
type Config struct {
	Listen    string
	Admin     string // second address; empty for none
	Discovery string
	Source    net.IP // that all its connections go out from; nil for whichever the machine takes
	State     string // folder that lasts
	Seed      uint64
	Cores     float64
	MemoryMB  float64
	Sockets   int
	DiskMB    float64
	Known     discovery.List
	Settings  settings.Settings
	Name      string
	Fleet     *fleet.Config // nil for a relay that shares nothing
	Backlog   *Backlog      // nil for a relay that keeps no backlog on disk

	settings json.RawMessage // as the file has them
	whole    []byte          // the file, against which the next one is checked
}

// file is the configuration as it stands on disk.
type file struct {
	Listen    string `json:"listen"`
	Admin     string `json:"admin_addr"`
	Discovery string `json:"discovery"`
	Source    string `json:"source"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
		DiskMB   float64 `json:"disk_mb"`
	} `json:"limits"`
	Known    discovery.List  `json:"known"`
	Settings json.RawMessage `json:"settings"`
	Name     string          `json:"name"`
	Fleet    *fleet.Config   `json:"fleet"`
	Backlog  *Backlog        `json:"backlog"`
}

// Backlog is the object backlog of the configuration.
type Backlog struct {
	DiskMB float64 `json:"disk_mb"` // of limits.disk_mb
}

// journalLeast is what the journal must have of the disk beside a backlog, in MB.
const journalLeast = 1

// smallFiles is what the steady clock and the list's lease take of the disk.
const smallFiles = 2 * smallfile.MaxBytes

// journalBytes is what the journal has of the disk.
func (c *Config) journalBytes() int64 {
	disk := int64(c.DiskMB*1e6) - smallFiles
	if c.Fleet != nil {
		disk -= fleet.MaxStateBytes
		if c.Fleet.Listen != "" {
			disk -= int64(c.DiskMB * copiesPart * 1e6)
		}
	}
	if c.Backlog != nil {
		disk -= int64(c.Backlog.DiskMB * 1e6)
	}
	return disk
}

// checkBacklog tells what is wrong with the object backlog.
func (c *Config) checkBacklog() error {
	switch b := c.Backlog; {
	case b == nil:
	case !(b.DiskMB > 0):
		return &BadBacklog{fmt.Sprintf("disk_mb is %g, must be above 0", b.DiskMB), "give it what messages that wait may take of the disk, or leave the object out"}
	case c.Fleet != nil && c.Fleet.Copies > 0:
		return &BadBacklog{"fleet.copies is set as well: holders would not have what lies on disk", "take out one of the two and restart the relay"}
	case c.journalBytes() < journalLeast*1e6:
		return &BadBacklog{fmt.Sprintf("disk_mb is %g of limits.disk_mb %g, which leaves %.1f MB for the journal", b.DiskMB, c.DiskMB, float64(c.journalBytes())/1e6),
			fmt.Sprintf("raise limits.disk_mb or lower backlog.disk_mb until %d MB are left", journalLeast)}
	}
	return nil
}

// BadBacklog is a backlog that cannot be kept as the configuration has it.
type BadBacklog struct{ Text, Advice string }

func (b *BadBacklog) Error() string { return "backlog: " + b.Text }

// Remedy says what an operator can do.
func (b *BadBacklog) Remedy() string { return b.Advice }

// readFile reads the file that BALANCER_CONFIG names.
func readFile(env func(string) string) (path string, data []byte, f file, err error) {
	if path = env("BALANCER_CONFIG"); path == "" {
		return path, nil, f, &BadConfig{"", errors.New("BALANCER_CONFIG is not set")}
	}
	if data, err = os.ReadFile(path); err != nil {
		return path, nil, f, &BadConfig{path, err}
	}
	if err = json.Unmarshal(data, &f); err != nil {
		return path, nil, f, &BadConfig{path, err}
	}
	return path, data, f, nil
}

// ReadConfig reads the file that BALANCER_CONFIG names. The other variables win over it.
func ReadConfig(env func(string) string) (Config, error) {
	path, data, f, err := readFile(env)
	if err != nil {
		return Config{}, err
	}
	or := func(name, value string) string {
		if v := env(name); v != "" {
			return v
		}
		return value
	}
	c := Config{Listen: or("BALANCER_LISTEN", f.Listen), Admin: or("BALANCER_ADMIN_ADDR", f.Admin), Discovery: or("BALANCER_DISCOVERY", f.Discovery),
		State: env("BALANCER_STATE"), Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB,
		Sockets: f.Limits.Sockets, DiskMB: f.Limits.DiskMB, Known: f.Known, Name: or("BALANCER_NAME", f.Name), Fleet: f.Fleet, Backlog: f.Backlog, settings: f.Settings, whole: data}
	for name, v := range map[string]string{"listen": c.Listen, "discovery": c.Discovery, "BALANCER_STATE": c.State} {
		if v == "" {
			return c, &BadConfig{path, errors.New(name + " is missing")}
		}
	}
	if c.Sockets < 16 || c.DiskMB <= 0 {
		return c, &BadConfig{path, fmt.Errorf("limits: sockets is %d and disk_mb %g, must be at least 16 and above 0", c.Sockets, c.DiskMB)}
	}
	if c.Fleet != nil {
		if err := c.Fleet.Check(); err != nil {
			return c, &BadConfig{path, err}
		}
		if c.Name == "" {
			return c, &BadConfig{path, errors.New("name is missing, by which the fleet knows a relay")}
		}
	}
	if err := c.checkBacklog(); err != nil {
		return c, &BadConfig{path, err}
	}
	if f.Source != "" {
		if c.Source = net.ParseIP(f.Source); c.Source == nil {
			return c, &BadConfig{path, fmt.Errorf("source: %q is no IP address", f.Source)}
		}
	}
	if f.Seed != "" {
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return c, &BadConfig{path, fmt.Errorf("seed: %w", err)}
		}
	}
	if c.Settings, err = settings.Parse(f.Settings); err != nil {
		return c, &BadConfig{path, fmt.Errorf("settings: %w", err)}
	}
	return c, nil
}

// readNext reads a configuration that was put in place while the relay runs: all of it, or an
// error. The environment is as old as the process, so here the file wins.
func readNext(env func(string) string, running []byte) (data []byte, discovery string, set fleet.File, err error) {
	path, data, f, err := readFile(env)
	if err != nil {
		return nil, "", set, err
	}
	if err = settings.CheckComplete(running, data); err != nil {
		return nil, "", set, &BadConfig{path, err}
	}
	if err = sameBacklog(running, f.Backlog); err != nil {
		return nil, "", set, &BadConfig{path, err}
	}
	if _, _, err = net.SplitHostPort(f.Discovery); err != nil {
		return nil, "", set, &BadConfig{path, fmt.Errorf("discovery: %w", err)}
	}
	set.Raw = f.Settings
	if set.Settings, err = settings.Parse(f.Settings); err != nil {
		return nil, "", set, &BadConfig{path, fmt.Errorf("settings: %w", err)}
	}
	return data, f.Discovery, set, nil
}

// sameBacklog tells whether a configuration has the backlog of the one that runs: it is opened at the start.
func sameBacklog(running []byte, next *Backlog) error {
	var f file
	if err := json.Unmarshal(running, &f); err != nil {
		return err
	}
	if (f.Backlog == nil) != (next == nil) || next != nil && *next != *f.Backlog {
		return &BadBacklog{"it is read at the start only, and is not as it was then", "put it back as it was, or restart the relay"}
	}
	return nil
}

// BadConfig is a configuration that the relay cannot act by.
type BadConfig struct {
	Path string
	Err  error
}

func (b *BadConfig) Error() string {
	if b.Path == "" {
		return b.Err.Error()
	}
	return b.Path + ": " + b.Err.Error()
}

func (b *BadConfig) Unwrap() error { return b.Err }

// Remedy says what an operator can do.
func (b *BadConfig) Remedy() string {
	if advice := remedy.Of(b.Err); advice != "" {
		return advice + "; a relay that runs goes on by the file before, whole"
	}
	return "correct that key of the file; a relay that runs goes on by the file before, whole"
}
