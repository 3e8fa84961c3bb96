// Package config reads what the platform tells a steering proxy: LB_* and config.json.
package config

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"ravenwheel/internal/source/board"
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
	Names               board.Names
	Known               []board.Notice
	Rev                 uint64

	StreamsPerConn, MostHeld int
	ConnIdle, Connect        float64 // ms
}

type file struct {
	Name, Listen, Seed, Board, Console string
	Limits                             struct {
		Cores    float64
		MemoryMB int `json:"memory_mb"`
		Sockets  int
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
		return nil, err
	}
	c := &Config{
		Name: f.Name, Listen: f.Listen, Board: f.Board, Console: f.Console,
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets,
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
	if c.Settings, err = wire.DecodeSettings(f.Settings); err != nil {
		return nil, err
	}
	var more struct {
		Grades       []struct{ Name string }
		Zones, Kinds []string
		Bounds       struct {
			StreamsPerConn, MostHeld     int
			ConnIdleUs, ConnectTimeoutUs float64
		}
	}
	if err := json.Unmarshal(f.Settings, &more); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for _, g := range more.Grades {
		c.Classes = append(c.Classes, g.Name)
	}
	b := more.Bounds
	c.StreamsPerConn, c.MostHeld, c.ConnIdle, c.Connect = b.StreamsPerConn, b.MostHeld, b.ConnIdleUs/1e3, b.ConnectTimeoutUs/1e3
	c.Names = board.Names{Zones: more.Zones, Kinds: more.Kinds}
	if c.Known, c.Rev, err = board.Known(f.Known, c.Names); err != nil {
		return nil, err
	}
	return c, nil
}
