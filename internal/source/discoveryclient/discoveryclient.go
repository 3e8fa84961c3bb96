// Package discoveryclient follows discovery, the operators' notice board: numbered events, first as JSON in the configuration, then as
// frames over TCP. When it is called, and which of several calls counts, is decided by decide/discovery; Client is the shell
// round that.
package discoveryclient

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/policy"
)

// Event is one event of the notice board: of the list, whole or in changes, or a purge. Its times are stamps of other
// machines until they are read; see Dated.
type Event struct {
	Revision uint64
	Complete bool
	Members  []core.Member
	Purge    *core.Purge
}

// Dispatch hands an event on: a list to the ledger, as what source at says, a purge to the core.
func (n Event) Dispatch(at int, tell func(membership.Event), purged func(core.Purge)) {
	if n.Purge != nil {
		purged(*n.Purge)
		return
	}
	entries := make([]membership.Entry, len(n.Members))
	for i, m := range n.Members {
		entries[i].Member = m
	}
	if n.Complete {
		tell(membership.Snapshot{Source: at, Generation: n.Revision, Entries: entries})
	} else {
		tell(membership.Delta{Source: at, Generation: n.Revision, Entries: entries})
	}
}

// Names are the lists that text and numbers on the board point into.
type Names struct{ Zones, Kinds []string }

type jsonMember struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Lifecycle   string  `json:"lifecycle"`
	Cell        int     `json:"cell"`
	Weight      float64 `json:"weight"`
	StartedAtMs float64 `json:"startedAtMs"`
}

type jsonNotice struct {
	Rev  uint64 `json:"rev"`
	Pool *struct {
		Reset     bool         `json:"reset"`
		Instances []jsonMember `json:"instances"`
	} `json:"pool"`
	Flush *struct {
		Asset      string  `json:"asset"`
		Collection *int    `json:"collection"`
		Ms         float64 `json:"ms"`
	} `json:"flush"`
}

var states = []policy.State{policy.Ready, policy.Draining, policy.Gone}

var stateNames = map[string]policy.State{"up": policy.Ready, "draining": policy.Draining, "removed": policy.Gone}

// DecodeInitialEvents decodes the events of the start, and the number of the last one.
func DecodeInitialEvents(raw []byte, names Names) (notices []Event, last uint64, err error) {
	var known struct {
		Rev     uint64       `json:"rev"`
		Notices []jsonNotice `json:"notices"`
	}
	if err := json.Unmarshal(raw, &known); err != nil {
		return nil, 0, fmt.Errorf("known: %w", err)
	}
	for i, j := range known.Notices {
		n := Event{Revision: j.Rev}
		if p := j.Pool; p != nil {
			n.Complete = p.Reset || i == 0
			for _, m := range p.Instances {
				e, err := m.member(names)
				if err != nil {
					return nil, 0, fmt.Errorf("known: notice %d: %w", j.Rev, err)
				}
				n.Members = append(n.Members, e)
			}
		}
		if f := j.Flush; f != nil {
			n.Purge = &core.Purge{Object: f.Asset, Group: -1, At: f.Ms + core.TimestampResolution}
			if f.Collection != nil {
				n.Purge.Group = *f.Collection
			}
		}
		notices = append(notices, n)
	}
	return notices, known.Rev, nil
}

func (m jsonMember) member(names Names) (e core.Member, err error) {
	id, err := strconv.ParseUint(strings.TrimPrefix(m.InstanceID, "s-"), 16, 32)
	if err != nil {
		return e, fmt.Errorf("instanceId %q can't be read", m.InstanceID)
	}
	state, ok := stateNames[m.Lifecycle]
	zone, kind := index(names.Zones, m.Zone), index(names.Kinds, m.MachineType)
	if !ok || zone < 0 || kind < 0 {
		return e, fmt.Errorf("%s: unknown lifecycle %q, zone %q or machineType %q", m.InstanceID, m.Lifecycle, m.Zone, m.MachineType)
	}
	e = core.Member{Addr: m.HostPort}
	e.ID, e.Zone, e.Kind, e.Cell, e.State = policy.CacheID(id), zone, kind, m.Cell, state
	e.Weight, e.Started = m.Weight, policy.Time(m.StartedAtMs*1e6)
	return e, nil
}

func index(list []string, s string) int {
	for i, x := range list {
		if x == s {
			return i
		}
	}
	return -1
}
