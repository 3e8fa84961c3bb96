package serverlist

import (
	"strconv"

	"ravenwheel/policy"
)

// check compares the entries with one another, and the list with the requirements.
func (d *Draft) check() {
	d.checkDistinct()
	d.checkCoverage()
}

// checkDistinct reports servers that have the same id, or the same host and port.
func (d *Draft) checkDistinct() {
	ids, addrs := map[policy.ServerID]*Server{}, map[string]*Server{}
	for i := range d.Servers {
		s := &d.Servers[i]
		if other := ids[s.ID]; other != nil {
			s.location.fail("id", "id %s is also used at %s", FormatID(s.ID), other.location)
		} else {
			ids[s.ID] = s
		}
		addr := s.Host + ":" + strconv.Itoa(s.Port)
		if other := addrs[addr]; other != nil {
			s.location.fail("addr", "address %s is also used by %s at %s", addr, FormatID(other.ID), other.location)
		} else {
			addrs[addr] = s
		}
	}
}

// checkCoverage reports ready servers that are missing: an origin, if the requirements ask for one, and a cache in each zone
// with clients.
func (d *Draft) checkCoverage() {
	caches, origins := map[string]int{}, 0
	for _, s := range d.Servers {
		switch {
		case s.Draining:
		case s.Kind == d.requirements.OriginKind:
			origins++
		case s.Kind != d.requirements.ParentKind:
			caches[s.Zone]++
		}
	}
	if d.requirements.OriginRequired && origins == 0 {
		d.header.doc.Failf("servers", "no ready server of kind %q, which request classes that write need", d.requirements.OriginKind)
	}
	for _, zone := range d.requirements.ClientZones {
		if caches[zone] == 0 {
			d.header.doc.Failf("servers", "no ready cache in zone %q, which has clients", zone)
		}
	}
}
