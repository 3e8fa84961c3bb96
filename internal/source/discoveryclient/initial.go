package discoveryclient

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/policy"
)

// Names are the lists that the names and the numbers in events refer to. Order counts.
type Names struct{ Zones, Kinds []string }

// The JSON forms, with the names of the protocol.
type (
	jsonEvents struct {
		Rev     uint64      `json:"rev"`
		Notices []jsonEvent `json:"notices"`
	}
	jsonEvent struct {
		Rev   uint64     `json:"rev"`
		Pool  *jsonList  `json:"pool"`
		Flush *jsonPurge `json:"flush"`
	}
	jsonList struct {
		Reset     bool         `json:"reset"` // the list is complete
		Instances []jsonServer `json:"instances"`
	}
	jsonServer struct {
		InstanceID  string  `json:"instanceId"`
		HostPort    string  `json:"hostPort"`
		Zone        string  `json:"zone"`
		MachineType string  `json:"machineType"`
		Lifecycle   string  `json:"lifecycle"`
		Cell        int     `json:"cell"`
		Weight      float64 `json:"weight"`
		StartedAtMs float64 `json:"startedAtMs"` // Unix ms
	}
	jsonPurge struct {
		Asset      string  `json:"asset"`      // the object; "": a group
		Collection *int    `json:"collection"` // the group; absent: an object
		Ms         float64 `json:"ms"`         // Unix ms
	}
)

var stateNames = map[string]policy.State{"up": policy.Ready, "draining": policy.Draining, "removed": policy.Gone}

// DecodeInitialEvents decodes the events in the configuration, and the revision of the last one. If the first of them is
// a list, it is complete; of later ones the field reset says so. The error says which event cannot be decoded, and why.
func DecodeInitialEvents(raw []byte, names Names) (events []Event, last uint64, err error) {
	var in jsonEvents
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, 0, fmt.Errorf("known: %w", err)
	}
	for i, j := range in.Notices {
		e, err := j.decode(names, i == 0)
		if err != nil {
			return nil, 0, fmt.Errorf("known: notice %d: %w", j.Rev, err)
		}
		events = append(events, e)
	}
	return events, in.Rev, nil
}

func (j jsonEvent) decode(names Names, first bool) (Event, error) {
	e := Event{Revision: j.Rev}
	if j.Pool != nil {
		e.Complete = j.Pool.Reset || first
		for _, s := range j.Pool.Instances {
			m, err := s.decode(names)
			if err != nil {
				return e, err
			}
			e.Members = append(e.Members, m)
		}
	}
	if j.Flush != nil {
		e.Purge = j.Flush.decode()
	}
	return e, nil
}

func (j jsonPurge) decode() *core.Purge {
	p := &core.Purge{Object: j.Asset, Group: -1, At: j.Ms + core.TimestampResolution}
	if j.Collection != nil {
		p.Group = *j.Collection
	}
	return p
}

func (j jsonServer) decode(names Names) (m core.Member, err error) {
	id, err := strconv.ParseUint(strings.TrimPrefix(j.InstanceID, "s-"), 16, 32)
	if err != nil {
		return m, fmt.Errorf("instanceId %q can't be read", j.InstanceID)
	}
	state, ok := stateNames[j.Lifecycle]
	zone, kind := slices.Index(names.Zones, j.Zone), slices.Index(names.Kinds, j.MachineType)
	if !ok || zone < 0 || kind < 0 {
		return m, fmt.Errorf("%s: unknown lifecycle %q, zone %q or machineType %q", j.InstanceID, j.Lifecycle, j.Zone, j.MachineType)
	}
	m.Addr = j.HostPort
	m.ID, m.Zone, m.Kind, m.Cell, m.State = policy.ServerID(id), zone, kind, j.Cell, state
	m.Weight, m.Started = j.Weight, clock.Duration(j.StartedAtMs)
	return m, nil
}
