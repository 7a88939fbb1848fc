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

// Config is the configuration of a relay at its start.
type Config struct {
	Listen      string
	AdminAddr   string // admin address; empty for none
	Discovery   string
	SourceIP    net.IP // local address of all outgoing connections; nil lets the system choose
	StateDir    string // directory that persists across restarts
	Seed        uint64
	Cores       float64
	MemoryMB    float64
	Sockets     int
	DiskMB      float64
	InitialList discovery.List
	Settings    settings.Settings
	Name        string
	Fleet       *fleet.Config // nil for a relay that is not part of a fleet
	Backlog     *Backlog      // nil for a relay without a backlog on disk

	LimitMemory func(part float64) // sets the memory limit of the Go runtime to a part of its value at the start; may be nil

	rawSettings json.RawMessage // as they stand in the file
}

// configFile is the configuration in its stored form.
type configFile struct {
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
	DiskMB float64 `json:"disk_mb"` // part of limits.disk_mb
}

// minJournalMB is the disk space, in MB, that the journal needs beside a backlog.
const minJournalMB = 1

// smallFilesBytes is the disk space of the files of the steady clock and of the list's lease.
const smallFilesBytes = 2 * smallfile.MaxBytes

// journalBytes is the part of the disk limit, in bytes, that is left for the journal.
func (c *Config) journalBytes() int64 {
	available := int64(c.DiskMB*1e6) - smallFilesBytes
	if c.Fleet != nil {
		available -= fleet.MaxStateBytes
		if c.Fleet.Listen != "" {
			available -= int64(c.DiskMB * replicaDiskShare * 1e6)
		}
	}
	if c.Backlog != nil {
		available -= int64(c.Backlog.DiskMB * 1e6)
	}
	return available
}

// checkBacklog checks the object backlog against the rest of the configuration.
func (c *Config) checkBacklog() error {
	switch b := c.Backlog; {
	case b == nil:
	case !(b.DiskMB > 0):
		return &BacklogError{fmt.Sprintf("disk_mb is %g, must be above 0", b.DiskMB), "give it what messages that wait may take of the disk, or leave the object out"}
	case c.Fleet != nil && c.Fleet.Copies > 0:
		return &BacklogError{"fleet.copies is set as well: replicas would not have the messages on disk", "take out one of the two and restart the relay"}
	case c.journalBytes() < minJournalMB*1e6:
		return &BacklogError{fmt.Sprintf("disk_mb is %g of limits.disk_mb %g, which leaves %.1f MB for the journal", b.DiskMB, c.DiskMB, float64(c.journalBytes())/1e6),
			fmt.Sprintf("raise limits.disk_mb or lower backlog.disk_mb until %d MB are left", minJournalMB)}
	}
	return nil
}

// BacklogError describes a backlog that the relay cannot keep as configured.
type BacklogError struct{ Text, Advice string }

func (e *BacklogError) Error() string { return "backlog: " + e.Text }

// Remedy returns what an operator can do about the error.
func (e *BacklogError) Remedy() string { return e.Advice }

// readConfigFile reads and parses the file that BALANCER_CONFIG names. The data is also returned with the error of a file
// that cannot be parsed.
func readConfigFile(env func(string) string) (path string, data []byte, parsed configFile, err error) {
	if path = env("BALANCER_CONFIG"); path == "" {
		return path, nil, parsed, &ConfigError{"", errors.New("BALANCER_CONFIG is not set")}
	}
	if data, err = os.ReadFile(path); err != nil {
		return path, nil, parsed, &ConfigError{path, err}
	}
	if err = json.Unmarshal(data, &parsed); err != nil {
		return path, data, parsed, &ConfigError{path, err}
	}
	return path, data, parsed, nil
}

// ReadConfig reads the file that BALANCER_CONFIG names. The other environment variables take precedence over its
// keys. Errors are of type *ConfigError.
func ReadConfig(env func(string) string) (Config, error) {
	path, _, parsed, err := readConfigFile(env)
	if err != nil {
		return Config{}, err
	}
	envOr := func(name, fallback string) string {
		if v := env(name); v != "" {
			return v
		}
		return fallback
	}
	conf := Config{Listen: envOr("BALANCER_LISTEN", parsed.Listen), AdminAddr: envOr("BALANCER_ADMIN_ADDR", parsed.Admin), Discovery: envOr("BALANCER_DISCOVERY", parsed.Discovery),
		StateDir: env("BALANCER_STATE"), Cores: parsed.Limits.Cores, MemoryMB: parsed.Limits.MemoryMB,
		Sockets: parsed.Limits.Sockets, DiskMB: parsed.Limits.DiskMB, InitialList: parsed.Known, Name: envOr("BALANCER_NAME", parsed.Name), Fleet: parsed.Fleet, Backlog: parsed.Backlog, rawSettings: parsed.Settings}
	for name, v := range map[string]string{"listen": conf.Listen, "discovery": conf.Discovery, "BALANCER_STATE": conf.StateDir} {
		if v == "" {
			return conf, &ConfigError{path, errors.New(name + " is missing")}
		}
	}
	if conf.Sockets < 16 || conf.DiskMB <= 0 {
		return conf, &ConfigError{path, fmt.Errorf("limits: sockets is %d and disk_mb %g, must be at least 16 and above 0", conf.Sockets, conf.DiskMB)}
	}
	if conf.Fleet != nil {
		if err := conf.Fleet.Check(); err != nil {
			return conf, &ConfigError{path, err}
		}
		if conf.Name == "" {
			return conf, &ConfigError{path, errors.New("name is missing; the fleet identifies relays by it")}
		}
	}
	if err := conf.checkBacklog(); err != nil {
		return conf, &ConfigError{path, err}
	}
	if parsed.Source != "" {
		if conf.SourceIP = net.ParseIP(parsed.Source); conf.SourceIP == nil {
			return conf, &ConfigError{path, fmt.Errorf("source: %q is not an IP address", parsed.Source)}
		}
	}
	if parsed.Seed != "" {
		if conf.Seed, err = strconv.ParseUint(parsed.Seed, 16, 64); err != nil {
			return conf, &ConfigError{path, fmt.Errorf("seed: %w", err)}
		}
	}
	if conf.Settings, err = settings.Parse(parsed.Settings); err != nil {
		return conf, &ConfigError{path, fmt.Errorf("settings: %w", err)}
	}
	return conf, nil
}

// ConfigError describes a configuration that the relay cannot use.
type ConfigError struct {
	Path string
	Err  error
}

func (e *ConfigError) Error() string {
	if e.Path == "" {
		return e.Err.Error()
	}
	return e.Path + ": " + e.Err.Error()
}

func (e *ConfigError) Unwrap() error { return e.Err }

// Remedy returns what an operator can do about the error.
func (e *ConfigError) Remedy() string {
	if advice := remedy.Of(e.Err); advice != "" {
		return advice + "; a relay that runs goes on by the file before, whole"
	}
	return "correct that key of the file; a relay that runs goes on by the file before, whole"
}
