package serverlist

import (
	"math"
	"slices"

	"ravenwheel/internal/strictjson"
	"ravenwheel/policy"
)

// Resolution is the result of resolving a host: its addresses, or the reason why there are none.
type Resolution struct {
	Addrs   []string // as dialled, but IPv6 addresses without brackets
	Failure string   // to be put after the host in a message; "": none
}

// Hosts returns the hosts to resolve, each of them once.
func (d *Draft) Hosts() []string {
	seen := map[string]bool{}
	var hosts []string
	for _, s := range d.Servers {
		if !seen[s.Host] {
			seen[s.Host] = true
			hosts = append(hosts, s.Host)
		}
	}
	return hosts
}

// Resolve sets the addresses of the servers and compares the draft with current, the list in use (nil: none). It returns the
// list to use from now on, which is current itself if nothing has changed, or all defects.
func (d *Draft) Resolve(resolutions map[string]Resolution, current *List) (*List, strictjson.Defects) {
	for _, doc := range d.docs {
		doc.Defects = nil // from an earlier call
	}
	next := &List{Generation: d.Generation, Servers: slices.Clone(d.Servers)}
	setAddrs(next.Servers, resolutions, current)
	for i := range next.Servers {
		next.Servers[i].location = location{} // otherwise the list would keep the text of its files in memory
	}
	next.Sum = hashServers(next.Servers)
	if current != nil && d.defects() == nil {
		d.checkChange(next, current)
	}
	if defects := d.defects(); defects != nil {
		return nil, defects
	}
	if current != nil && current.Sum == next.Sum && current.Generation == next.Generation {
		return current, nil
	}
	return next, nil
}

// setAddrs sets the address of each server, and records a defect for each server without an address or with that of another.
func setAddrs(servers []Server, resolutions map[string]Resolution, current *List) {
	previous := indexByID(current)
	byAddr := map[string]*Server{}
	for i := range servers {
		s := &servers[i]
		ip, failure := chooseAddr(s, resolutions[s.Host], previous[s.ID])
		if failure != "" {
			s.location.fail("addr", "%s %s", s.Host, failure)
			continue
		}
		s.Addr = joinHostPort(ip, s.Port)
		if other := byAddr[s.Addr]; other != nil {
			s.location.fail("addr", "%s resolves to %s, which is also the address of %s at %s", s.Host, s.Addr, FormatID(other.ID), other.location)
			continue
		}
		byAddr[s.Addr] = s
	}
}

// chooseAddr decides which address of a host is used. The one in use stays in use as long as it is among the results: the
// addresses of a name come in another order each time, and each change would close the connections to the server.
func chooseAddr(s *Server, r Resolution, previous *Server) (ip, failure string) {
	switch {
	case len(r.Addrs) == 0 && r.Failure != "":
		return "", r.Failure
	case len(r.Addrs) == 0:
		return "", "has no address"
	}
	if previous != nil && previous.Host == s.Host {
		for _, ip := range r.Addrs {
			if previous.Addr == joinHostPort(ip, previous.Port) {
				return ip, ""
			}
		}
	}
	return slices.Min(r.Addrs), ""
}

// checkChange reports why a list may not follow the one in use: its generation must not go back, two lists must not have the
// same generation, and it must not take more than MaxDropped of the ready servers out of use. The second rule also rejects a
// file that is being written in place over an older one.
func (d *Draft) checkChange(next, current *List) {
	fail := func(format string, args ...any) { d.header.doc.Failf(d.header.path, format, args...) }
	switch {
	case next.Generation < current.Generation:
		fail("generation goes back from %d to %d", current.Generation, next.Generation)
		return
	case next.Generation == current.Generation && !equalExceptAddrs(next, current):
		fail("generation %d is already used for another list: a changed list needs a higher one", next.Generation)
		return
	}
	maxFraction := d.requirements.MaxDropped
	if d.Force || maxFraction <= 0 || maxFraction >= 1 {
		return
	}
	ready, dropped := countDropped(next, current)
	if maxDropped := int(math.Floor(maxFraction * float64(ready))); dropped > maxDropped {
		fail("takes %d of %d ready servers out of use; at most %d are allowed without \"force\": true", dropped, ready, maxDropped)
	}
}

// countDropped returns how many servers of current are ready, and how many of those next takes out of use.
func countDropped(next, current *List) (ready, dropped int) {
	stillReady := map[policy.ServerID]bool{}
	for _, s := range next.Servers {
		stillReady[s.ID] = !s.Draining
	}
	for _, s := range current.Servers {
		if s.Draining {
			continue
		}
		ready++
		if !stillReady[s.ID] {
			dropped++
		}
	}
	return ready, dropped
}

// equalExceptAddrs compares two lists without their addresses, which may change within a generation as names are resolved
// again.
func equalExceptAddrs(a, b *List) bool {
	return slices.EqualFunc(a.Servers, b.Servers, func(x, y Server) bool {
		x.Addr, y.Addr = "", ""
		return x == y
	})
}
