// Package config reads and validates how a steering proxy is configured: by the platform (LB_CONFIG and its overrides), by
// an operator's file that takes the platform's place or enables what is off there, and by live revisions of the
// configuration that processes share. It owns the default values and bounds of every key, and maps the names of the platform's
// settings to those of the code. It opens no socket and starts nothing but, with Store.Open, a member of the store.
//
// Its rules are tested here: each key, default and defect against golden files.
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
	DiscoveryAddr string // empty: there is no discovery
	ConsoleAddr   string // of the platform's console; empty: none
	HandoverDir   string // shared with a process that takes over; empty: none takes over
	Seed          uint64 // of all random draws
	Cores         float64
	MemoryMB      int // 0: not bounded
	Sockets       int // descriptors for connections; 0: the program's default

	Settings policy.Settings
	Classes  []string // names, in the order of Settings.Classes
	Names    discoveryclient.Names

	InitialEvents   []discoveryclient.Event // what discovery held when the platform wrote the configuration
	InitialRevision uint64                  // discovery's event number, as of these

	MaxOpenRequests  int // 0: the core's default
	AttemptsPerConn  int // attempts in flight on one connection to a server
	IdleTimeoutMs    float64
	ConnectTimeoutMs float64
}

// ErrNoPlatformConfig is returned where the environment names no configuration of the platform.
var ErrNoPlatformConfig = errors.New("LB_CONFIG is not set")

// Read returns the configuration that a proxy starts with: that of an operator's file with "proxy", else the platform's.
func Read(getenv func(string) string, file *OperatorFile) (*Config, error) {
	if file.Proxy == nil {
		return Load(getenv)
	}
	return file.standaloneConfig(), nil
}

// Load reads the platform's configuration from the file that LB_CONFIG names. LB_NAME, LB_LISTEN and LB_CONSOLE override what
// it says. The error is ErrNoPlatformConfig, that of reading the file, or that of Parse with the file's name.
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

// platformFile is the file that the platform writes. Keys are matched in any case; errors name them as the tags do.
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

// platformLimits are numbers of any form: 192 and 192.0 are the same.
type platformLimits struct {
	Cores    float64 `json:"Cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"Sockets"`
}

// Parse decodes and validates the text of the platform's configuration. The error is a SettingError for a value that can't be
// used, else that of the decoder with the place.
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

// applyPlatformFile validates the file and takes over its seed, its settings and what discovery held.
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

// applyPlatformSettings decodes the settings for the module, and those for the proxy itself.
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
