package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"

	"larchrouter/internal/fleet"
	"larchrouter/internal/schema"
	"larchrouter/internal/settings"
)

// configSchema describes a configuration file as the page DEPLOY does. Of the endpoints' members the relay uses only
// the required ones.
var configSchema = schema.Object{
	Required: map[string]schema.Value{
		"name": schema.Any{}, "listen": schema.Any{}, "discovery": schema.Any{}, "seed": schema.Any{},
		"limits":   schema.Object{Required: schema.Members("cores", "memory_mb", "sockets", "disk_mb")},
		"known":    schema.Object{Required: map[string]schema.Value{"version": schema.Any{}, "full": schema.Any{}, "servers": schema.List{Elements: serverSchema}}},
		"settings": settings.Schema,
	},
	Optional: schema.Members("admin_addr", "source", "fleet", "backlog"),
}

// serverSchema describes an endpoint in the list known.
var serverSchema = schema.Object{
	Required: schema.Members("id", "addr", "zone", "kind", "cell", "state"),
	Optional: schema.Members("weight", "started_ms"),
}

// reloadedConfig is what a running relay uses of a configuration file that was put in place of an earlier one.
type reloadedConfig struct {
	discovery string // address of discovery
	settings  fleet.File
}

// readReloadedConfig reads a configuration that was put in place while the relay runs: all of it, or an error. The file
// takes precedence over the environment, which dates from the start of the process. If the file is rejected, namedAddr
// is nevertheless the address of discovery that it names, as far as it can be read.
func readReloadedConfig(env func(string) string, running *Config) (next reloadedConfig, namedAddr string, err error) {
	path, data, parsed, err := readConfigFile(env)
	namedAddr = discoveryAddrIn(data)
	if err != nil {
		return next, namedAddr, err
	}
	if err := schema.Check(data, configSchema); err != nil {
		return next, namedAddr, &ConfigError{path, err}
	}
	if err := checkUnchanged(running, &parsed); err != nil {
		return next, namedAddr, &ConfigError{path, err}
	}
	if _, _, err := net.SplitHostPort(parsed.Discovery); err != nil {
		return next, namedAddr, &ConfigError{path, fmt.Errorf("discovery: %w", err)}
	}
	next = reloadedConfig{discovery: parsed.Discovery, settings: fleet.File{Raw: parsed.Settings}}
	if next.settings.Settings, err = settings.Parse(parsed.Settings); err != nil {
		return next, namedAddr, &ConfigError{path, fmt.Errorf("settings: %w", err)}
	}
	return next, namedAddr, nil
}

// checkUnchanged returns an error if a file changes an object that is read only at the start of the process.
func checkUnchanged(running *Config, next *configFile) error {
	backlog := running.Backlog
	if (backlog == nil) != (next.Backlog == nil) || backlog != nil && *next.Backlog != *backlog {
		return &BacklogError{"it is read only at the start, and differs from the running configuration", "put it back as it was, or restart the relay"}
	}
	if running.Fleet != nil && next.Fleet == nil {
		return &schema.Error{Path: "/fleet", Reason: "is missing, but a relay leaves its fleet only by a restart"}
	}
	return nil
}

// discoveryAddrIn returns the address of discovery that a configuration file names. The file may be truncated or
// invalid behind it. It returns an empty text if there is no valid address.
func discoveryAddrIn(data []byte) string {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return ""
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return ""
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return ""
		}
		if name != "discovery" {
			continue
		}
		var addr string
		if json.Unmarshal(value, &addr) != nil {
			return ""
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return ""
		}
		return addr
	}
	return ""
}
