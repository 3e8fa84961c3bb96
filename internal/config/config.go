// Package config reads and validates the configuration of a steering proxy. It has three sources: the platform's file
// (LB_CONFIG and the variables that override it); an operator's file, which replaces the platform's or enables features that
// are off there; and revisions of the configuration that the members of a store share, which apply without a restart.
//
// The package owns the default and the bounds of every key, and maps the names of the platform's settings to those of the
// code. It opens no socket and starts nothing, except for a member of the store in Store.Open. Its rules are tested here: each
// key, default and defect against golden files.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"ravenwheel/internal/source/discoveryclient"
	"ravenwheel/policy"
	"ravenwheel/wire"
)

// Config is the configuration that a steering proxy starts with. Times are in ms.
type Config struct {
	Name          string
	Listen        string // address for clients
	DiscoveryAddr string // empty: discovery is off
	ConsoleAddr   string // address of the platform's console; empty: the console is off
	HandoverDir   string // directory shared with a process that takes over; empty: takeover is off
	Seed          uint64 // of the random number generator
	Cores         float64
	MemoryMB      int // 0: not limited
	Sockets       int // file descriptors for connections; 0: the program's default

	Settings policy.Settings
	Classes  []string // names, in the order of Settings.Classes
	Names    discoveryclient.Names

	InitialEvents   []discoveryclient.Event // discovery's events when the platform wrote the configuration
	InitialRevision uint64                  // discovery's event number after InitialEvents

	MaxOpenRequests  int // 0: the default of package core
	AttemptsPerConn  int // attempts in flight on one connection to a server
	IdleTimeoutMs    float64
	ConnectTimeoutMs float64
}

// ErrNoPlatformConfig is the error of Load if the environment names no configuration file of the platform.
var ErrNoPlatformConfig = errors.New("LB_CONFIG is not set")

// Read returns the configuration that a proxy starts with: the one in an operator's file that has "proxy", else the platform's.
func Read(getenv func(string) string, file *OperatorFile) (*Config, error) {
	if file.Proxy == nil {
		return Load(getenv)
	}
	return file.standaloneConfig(), nil
}

// Load reads the platform's configuration from the file that LB_CONFIG names. LB_NAME, LB_LISTEN and LB_CONSOLE override the
// file's values. The error is ErrNoPlatformConfig, the error of reading the file, or the error of Parse prefixed with the
// file's path.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, ErrNoPlatformConfig
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(raw, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// platformFile is the file that the platform writes. Keys match regardless of case; errors name them as in the tags.
type platformFile struct {
	Name      string          `json:"Name"`
	Listen    string          `json:"Listen"`
	Seed      string          `json:"Seed"` // hexadecimal
	Discovery string          `json:"Board"`
	Console   string          `json:"Console"`
	Limits    platformLimits  `json:"Limits"`
	Events    json.RawMessage `json:"Known"`
	Settings  json.RawMessage `json:"Settings"`
}

// platformLimits are the limits of the process. All are float64, so that 192.0 is accepted where 192 is meant.
type platformLimits struct {
	Cores    float64 `json:"Cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"Sockets"`
}

// Parse decodes and validates the text of the platform's configuration. The error is a SettingError for an invalid value, or
// the decoder's error with the position in the text.
func Parse(raw []byte, getenv func(string) string) (*Config, error) {
	var file platformFile
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, withPlace(raw, err)
	}
	c := &Config{
		Name:          cmp.Or(getenv("LB_NAME"), file.Name),
		Listen:        cmp.Or(getenv("LB_LISTEN"), file.Listen),
		DiscoveryAddr: file.Discovery,
		ConsoleAddr:   cmp.Or(getenv("LB_CONSOLE"), file.Console),
		Cores:         file.Limits.Cores,
		MemoryMB:      int(file.Limits.MemoryMB),
		Sockets:       int(file.Limits.Sockets),
	}
	if c.ConsoleAddr != "" {
		c.HandoverDir = getenv("TMPDIR")
	}
	if err := c.applyPlatformFile(&file); err != nil {
		return nil, err
	}
	return c, nil
}

// applyPlatformFile validates the file and sets the seed, the settings and the initial events of discovery from it.
func (c *Config) applyPlatformFile(file *platformFile) (err error) {
	limits := file.Limits
	if err := notNegative("limits", map[string]float64{
		"cores": limits.Cores, "memory_mb": limits.MemoryMB, "sockets": limits.Sockets,
	}); err != nil {
		return err
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed %q is not a hexadecimal number", file.Seed)
	}
	if c.Listen == "" || c.DiscoveryAddr == "" {
		return errors.New("listen or board is missing")
	}
	if len(file.Settings) == 0 || len(file.Events) == 0 {
		return errors.New("settings or known is missing")
	}
	if err := c.applyPlatformSettings(file.Settings); err != nil {
		return err
	}
	c.InitialEvents, c.InitialRevision, err = discoveryclient.DecodeInitialEvents(file.Events, c.Names)
	return err
}

// applyPlatformSettings decodes the settings of package policy, and those that the proxy itself uses.
func (c *Config) applyPlatformSettings(raw json.RawMessage) (err error) {
	if c.Settings, err = wire.DecodeSettings(raw); err != nil {
		return err
	}
	var settings platformSettings
	if err := json.Unmarshal(raw, &settings); err != nil {
		return fmt.Errorf("settings.%w", withPlace(raw, err))
	}
	if err := settings.check(); err != nil {
		return err
	}
	for _, class := range settings.Classes {
		c.Classes = append(c.Classes, class.Name)
	}
	c.Names = discoveryclient.Names{Zones: settings.Zones, Kinds: settings.Kinds}
	bounds := &settings.Bounds
	c.MaxOpenRequests = int(bounds.MaxOpenRequests)
	c.AttemptsPerConn = cmp.Or(int(bounds.AttemptsPerConn), defaultAttemptsPerConn)
	c.IdleTimeoutMs = bounds.IdleTimeoutUs / microsecondsPerMs
	c.ConnectTimeoutMs = cmp.Or(bounds.ConnectTimeoutUs/microsecondsPerMs, defaultConnectTimeoutMs)
	return nil
}

const microsecondsPerMs = 1e3
