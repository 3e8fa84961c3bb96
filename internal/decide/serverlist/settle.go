package serverlist

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"ravenwheel/internal/strictjson"
	"ravenwheel/policy"
)

// Resolution is what is known of a host: its addresses in one spelling, or why there are none.
type Resolution struct {
	Addrs []string // as they are dialled, IPv6 without brackets
	Err   string
}

// List is a checked list, ready for use. It is never changed once it is made.
type List struct {
	Generation uint64
	Servers    []Server // by id
	Sum        uint64   // xxhash of what the servers are, whatever their files look like
}

// Hosts are the hosts of the draft that need an answer, each once.
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

// Resolve puts addresses to hosts and holds the draft against the set in use (nil: none). It returns the set that is
// to be used from now on, which is the old one if nothing has changed, or what stands against it.
func (d *Draft) Resolve(answers map[string]Resolution, old *List) (*List, strictjson.Defects) {
	kept := len(d.docs)
	defer func() { d.docs = d.docs[:kept] }()
	for _, doc := range d.docs {
		doc.Defects = nil
	}
	set := &List{Generation: d.Generation, Servers: slices.Clone(d.Servers)}
	was := map[policy.CacheID]*Server{}
	if old != nil {
		for i := range old.Servers {
			was[old.Servers[i].ID] = &old.Servers[i]
		}
	}
	at := map[string]*Server{}
	for i := range set.Servers {
		s := &set.Servers[i]
		ip, err := choose(s, answers[s.Host], was[s.ID])
		if err != "" {
			s.place.doc.Fail(s.place.path+".addr", "%s %s", s.Host, err)
			continue
		}
		if s.Addr = ip + ":" + strconv.Itoa(s.Port); strings.Contains(ip, ":") {
			s.Addr = "[" + ip + "]:" + strconv.Itoa(s.Port)
		}
		if o := at[s.Addr]; o != nil {
			s.place.doc.Fail(s.place.path+".addr", "%s is %s, the address of %s at %s too", s.Host, s.Addr, FormatID(o.ID), o.place)
			continue
		}
		at[s.Addr] = s
	}
	for i := range set.Servers {
		set.Servers[i].place = place{} // or the set would hold its texts for as long as it is in use
	}
	set.Sum = set.sum()
	if old != nil && d.defects() == nil {
		d.against(set, old)
	}
	if bad := d.defects(); bad != nil {
		return nil, bad
	}
	if old != nil && old.Sum == set.Sum && old.Generation == set.Generation {
		return old, nil
	}
	return set, nil
}

// choose is the address that a host is used at. The one in use stays as long as the answer holds it: a name with
// many addresses comes in another order each time, and each change would cost the server its connections.
func choose(s *Server, a Resolution, was *Server) (ip, err string) {
	switch {
	case len(a.Addrs) == 0 && a.Err != "":
		return "", a.Err
	case len(a.Addrs) == 0:
		return "", "has no address"
	}
	if was != nil && was.Host == s.Host {
		for _, ip := range a.Addrs {
			if was.Addr == ip+":"+strconv.Itoa(was.Port) || was.Addr == "["+ip+"]:"+strconv.Itoa(was.Port) {
				return ip, ""
			}
		}
	}
	return slices.Min(a.Addrs), ""
}

// against holds a set against the one in use.
func (d *Draft) against(set, old *List) {
	fail := func(format string, args ...any) { d.head.doc.Fail(d.head.path, format, args...) }
	switch {
	case set.Generation < old.Generation:
		fail("generation goes back from %d to %d", old.Generation, set.Generation)
		return
	case set.Generation == old.Generation && !sameButAddrs(set, old):
		// Also what a file written in place over an older one looks like half way through.
		fail("generation %d was used for another list: give a changed list the next one", set.Generation)
		return
	}
	if d.Force || d.facts.MaxDropped <= 0 || d.facts.MaxDropped >= 1 {
		return
	}
	ready := map[policy.CacheID]bool{}
	for _, s := range set.Servers {
		ready[s.ID] = !s.Draining
	}
	had, lost := 0, 0
	for _, s := range old.Servers {
		if s.Draining {
			continue
		}
		if had++; !ready[s.ID] {
			lost++
		}
	}
	if most := int(math.Floor(d.facts.MaxDropped * float64(had))); lost > most {
		fail("takes %d of %d ready servers out of use, %d at the most without \"force\": true", lost, had, most)
	}
}

// sameButAddrs: names may be answered anew under the same generation.
func sameButAddrs(a, b *List) bool {
	return slices.EqualFunc(a.Servers, b.Servers, func(x, y Server) bool {
		x.Addr, y.Addr = "", ""
		return x == y
	})
}

func (s *List) sum() uint64 {
	h := xxhash.New()
	var b []byte
	for _, x := range s.Servers {
		b = binary.BigEndian.AppendUint64(b[:0], uint64(x.ID))
		b = fmt.Appendf(b, "%s\x00%s\x00%s\x00%s\x00%d %v %v %v %v", x.Host, x.Addr, x.Zone, x.Kind, x.Cell, x.Draining, x.Weight, x.StartedMs, x.Warm)
		_, _ = h.Write(b)
	}
	return h.Sum64()
}

// NewList is a set as it was taken before, from what was kept of it.
func NewList(generation uint64, servers []Server) *List {
	s := &List{Generation: generation, Servers: servers}
	s.Sum = s.sum()
	return s
}

// Change is what becomes of one server between two lists.
type Change struct {
	ID   policy.CacheID
	Kind string // added, dropped, drained, restored, moved, re-weighted, changed
	Text string
}

// Diff says what taking list b after list a does, by id. Either may be nil.
func Diff(a, b *List) (changes []Change) {
	was, is := index(a), index(b)
	ids := make([]policy.CacheID, 0, len(was)+len(is))
	for id := range was {
		ids = append(ids, id)
	}
	for id := range is {
		if was[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		x, y := was[id], is[id]
		add := func(verb, format string, args ...any) {
			changes = append(changes, Change{id, verb, fmt.Sprintf(format, args...)})
		}
		switch {
		case x == nil:
			add("added", "%s in %s, %s, weight %v%s", y.where(), y.Zone, y.Kind, y.Weight, y.how())
		case y == nil:
			add("dropped", "%s: drains, then is gone", x.where())
		default:
			if x.Draining != y.Draining {
				verb := "restored"
				if y.Draining {
					verb = "drained"
				}
				add(verb, "%s%s", y.where(), y.how())
			}
			if x.where() != y.where() {
				add("moved", "from %s to %s", x.where(), y.where())
			}
			if x.Weight != y.Weight {
				add("re-weighted", "from %v to %v", x.Weight, y.Weight)
			}
			if x.Zone != y.Zone || x.Kind != y.Kind || x.Cell != y.Cell || x.StartedMs != y.StartedMs || x.Warm != y.Warm {
				add("changed", "zone %s, kind %s, cell %d%s", y.Zone, y.Kind, y.Cell, y.how())
			}
		}
	}
	return changes
}

func (s *Server) where() string {
	return cmp.Or(s.Addr, s.Host+":"+strconv.Itoa(s.Port))
}

func (s *Server) how() string {
	switch {
	case s.Draining:
		return ", draining"
	case s.Warm:
		return ", warm"
	case s.StartedMs > 0:
		return fmt.Sprintf(", started at %.0f", s.StartedMs)
	}
	return ""
}

func index(s *List) map[policy.CacheID]*Server {
	out := map[policy.CacheID]*Server{}
	if s != nil {
		for i := range s.Servers {
			out[s.Servers[i].ID] = &s.Servers[i]
		}
	}
	return out
}

// Unresolved is the draft as a set with its hosts as they are written, for comparing lists where no resolver is.
func (d *Draft) Unresolved() *List {
	s := &List{Generation: d.Generation, Servers: d.Servers}
	s.Sum = s.sum()
	return s
}
