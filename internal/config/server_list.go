package config

import (
	"slices"

	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// ListRequirements returns the requirements that a server list must meet under this configuration. maxDroppedFraction is the
// fraction of the ready servers that one list may remove.
func (c *Config) ListRequirements(maxDroppedFraction float64) serverlist.Requirements {
	requirements := serverlist.Requirements{
		Zones:      c.Names.Zones,
		Kinds:      c.Names.Kinds,
		ParentKind: c.kindName(c.Settings.ParentKind),
		OriginKind: c.kindName(c.Settings.OriginKind),
		MaxDropped: maxDroppedFraction,
	}
	for zone, proxies := range c.Settings.ZoneRouters {
		if proxies > 0 && zone < len(c.Names.Zones) {
			requirements.ClientZones = append(requirements.ClientZones, c.Names.Zones[zone])
		}
	}
	for _, class := range c.Settings.Classes {
		requirements.OriginRequired = requirements.OriginRequired || class.Uncached
	}
	return requirements
}

// kindName returns the name of a kind of server; empty: no kind has this index.
func (c *Config) kindName(index int) string {
	if index < 0 || index >= len(c.Names.Kinds) {
		return ""
	}
	return c.Names.Kinds[index]
}

// Entries converts the servers of a list to the entries that package membership works with.
func (c *Config) Entries(list *serverlist.List) []membership.Entry {
	entries := make([]membership.Entry, len(list.Servers))
	for i, server := range list.Servers {
		entry := &entries[i]
		entry.ID, entry.Addr, entry.Cell, entry.Weight, entry.Warm = server.ID, server.Addr, server.Cell, server.Weight, server.Warm
		entry.Zone, entry.Kind = slices.Index(c.Names.Zones, server.Zone), slices.Index(c.Names.Kinds, server.Kind)
		entry.Started = policy.Time(server.StartedMs * nanosecondsPerMs)
		if server.Draining {
			entry.State = policy.Draining
		}
	}
	return entries
}

const nanosecondsPerMs = 1e6
