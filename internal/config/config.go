// Package config reads what the platform tells a steering proxy: LB_* and config.json.
package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"ravenwheel/internal/source/discoveryclient"
	"ravenwheel/policy"
	"ravenwheel/wire"
)

// Config is all that a steering proxy is told at its start.
type Config struct {
	Name, Listen, Board string
	Console             string // the operators' second address; empty: none
	Shared              string // the directory that a process which takes over shares, where there is a console
	Seed                uint64
	Cores               float64
	MemoryMB, Sockets   int
	Settings            policy.Settings
	Classes             []string
	Names               discoveryclient.Names
	Known               []discoveryclient.Event
	Rev                 uint64

	StreamsPerConn, MostHeld int
	ConnIdle, Connect        float64 // ms
}

type file struct {
	Name, Listen, Seed, Board, Console string
	Limits                             struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64
	}
	Known, Settings json.RawMessage
}

// Load reads the file that LB_CONFIG names; LB_NAME and LB_LISTEN come before what it says.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("LB_CONFIG is not set")
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

// Parse reads the text of a configuration.
func Parse(raw []byte, getenv func(string) string) (*Config, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, plain(raw, err)
	}
	c := &Config{
		Name: f.Name, Listen: f.Listen, Board: f.Board, Console: f.Console,
		Cores: f.Limits.Cores, MemoryMB: int(f.Limits.MemoryMB), Sockets: int(f.Limits.Sockets),
	}
	if err := least("limits.", map[string]float64{"cores": c.Cores, "memory_mb": f.Limits.MemoryMB, "sockets": f.Limits.Sockets}); err != nil {
		return nil, err
	}
	if v := getenv("LB_NAME"); v != "" {
		c.Name = v
	}
	if v := getenv("LB_LISTEN"); v != "" {
		c.Listen = v
	}
	if v := getenv("LB_CONSOLE"); v != "" {
		c.Console = v
	}
	if c.Console != "" {
		c.Shared = getenv("TMPDIR")
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed %q is not a hexadecimal number", f.Seed)
	}
	if c.Listen == "" || c.Board == "" {
		return nil, fmt.Errorf("listen or board is missing")
	}
	if len(f.Settings) == 0 || len(f.Known) == 0 {
		return nil, fmt.Errorf("settings or known is missing")
	}
	if c.Settings, err = wire.DecodeSettings(f.Settings); err != nil {
		return nil, err
	}
	var t told
	if err := json.Unmarshal(f.Settings, &t); err != nil {
		return nil, fmt.Errorf("settings.%w", plain(f.Settings, err))
	}
	if err := t.check(); err != nil {
		return nil, err
	}
	for _, g := range t.Grades {
		c.Classes = append(c.Classes, g.Name)
	}
	c.StreamsPerConn, c.MostHeld = cmp.Or(int(t.Bounds.StreamsPerConn), usualStreams), int(t.Bounds.MostHeld)
	c.ConnIdle, c.Connect = t.Bounds.ConnIdleUs/1e3, cmp.Or(t.Bounds.ConnectTimeoutUs/1e3, usualConnect)
	c.Names = discoveryclient.Names{Zones: t.Zones, Kinds: t.Kinds}
	if c.Known, c.Rev, err = discoveryclient.DecodeInitialEvents(f.Known, c.Names); err != nil {
		return nil, err
	}
	return c, nil
}
