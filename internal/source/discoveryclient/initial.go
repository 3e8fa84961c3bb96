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

// Names has the zones and kinds that events refer to, by name in JSON and by index in frames.
type Names struct{ Zones, Kinds []string }

// The JSON encoding of events. The tags have the names of the protocol.
type (
	jsonEvents struct {
		Rev    uint64      `json:"rev"`
		Events []jsonEvent `json:"notices"`
	}
	jsonEvent struct {
		Rev   uint64     `json:"rev"`
		List  *jsonList  `json:"pool"`
		Purge *jsonPurge `json:"flush"`
	}
	jsonList struct {
		Complete bool         `json:"reset"` // the list is complete
		Servers  []jsonServer `json:"instances"`
	}
	jsonServer struct {
		ID          string  `json:"instanceId"`
		Addr        string  `json:"hostPort"`
		Zone        string  `json:"zone"`
		Kind        string  `json:"machineType"`
		State       string  `json:"lifecycle"`
		Cell        int     `json:"cell"`
		Weight      float64 `json:"weight"`
		StartedAtMs float64 `json:"startedAtMs"` // Unix ms
	}
	jsonPurge struct {
		Object string  `json:"asset"`      // the object to purge; "": a group is purged
		Group  *int    `json:"collection"` // the group to purge; absent: an object is purged
		Ms     float64 `json:"ms"`         // Unix ms
	}
)

// stateNames has the state for each name in the JSON encoding.
var stateNames = map[string]policy.State{"up": policy.Ready, "draining": policy.Draining, "removed": policy.Gone}

// DecodeInitialEvents decodes the events in the configuration, and the revision of the last one. If the first event is a
// list, it is complete; for later lists the field reset says whether they are. The error says which event cannot be decoded,
// and why.
func DecodeInitialEvents(raw []byte, names Names) (events []Event, last uint64, err error) {
	var in jsonEvents
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, 0, fmt.Errorf("known: %w", err)
	}
	for i, j := range in.Events {
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
	if j.List != nil {
		e.Complete = j.List.Complete || first
		for _, s := range j.List.Servers {
			m, err := s.decode(names)
			if err != nil {
				return e, err
			}
			e.Members = append(e.Members, m)
		}
	}
	if j.Purge != nil {
		e.Purge = j.Purge.decode()
	}
	return e, nil
}

func (j jsonPurge) decode() *core.Purge {
	p := &core.Purge{Object: j.Object, Group: -1, At: j.Ms + core.TimestampResolution}
	if j.Group != nil {
		p.Group = *j.Group
	}
	return p
}

func (j jsonServer) decode(names Names) (m core.Member, err error) {
	id, err := strconv.ParseUint(strings.TrimPrefix(j.ID, "s-"), 16, 32)
	if err != nil {
		return m, fmt.Errorf("instanceId %q is not a hexadecimal id such as s-00c41f7a", j.ID)
	}
	state, ok := stateNames[j.State]
	zone, kind := slices.Index(names.Zones, j.Zone), slices.Index(names.Kinds, j.Kind)
	if !ok || zone < 0 || kind < 0 {
		return m, fmt.Errorf("%s: unknown lifecycle %q, zone %q or machineType %q", j.ID, j.State, j.Zone, j.Kind)
	}
	m.Addr = j.Addr
	m.ID, m.Zone, m.Kind, m.Cell, m.State = policy.ServerID(id), zone, kind, j.Cell, state
	m.Weight, m.Started = j.Weight, clock.Duration(j.StartedAtMs)
	return m, nil
}
