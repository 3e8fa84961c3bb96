// Package resolver resolves the hosts of server lists. Literal addresses need no look-up; names are looked up in a
// Backend, which may be slow, give wrong answers for a while or not answer at all. Therefore each answer is cached for a
// time, the last good answer is used until there is a newer good one, and the caller waits for a limited time. Which of
// several addresses is used is not decided here but in decide/serverlist. The timing is tested in this package with backends
// that fail or do not answer.
package resolver

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/serverlist"
)

// Backend looks up names; *net.Resolver is one.
type Backend interface {
	LookupNetIP(ctx context.Context, network, host string) ([]netip.Addr, error)
}

// maxLookups is the most look-ups that run concurrently.
const maxLookups = 16

// Cache resolves hosts. It is safe for concurrent use. The exported fields are not changed after the first call.
type Cache struct {
	Backend Backend // nil: only literal addresses are resolved
	Clock   *clock.Clock
	TTL     float64 // ms for which an answer is used without another look-up
	Timeout float64 // ms for which a caller waits at most

	mu      sync.Mutex
	entries map[string]*entry
	slots   chan struct{} // holds a token for each look-up in flight
}

// entry is the cache entry of a name.
type entry struct {
	answer   serverlist.Resolution
	hasAddrs bool          // answer holds addresses, not a failure
	expires  float64       // ms, when answer expires
	lookup   chan struct{} // closed when the look-up in flight has ended; nil: there is none
}

// Resolve returns the resolution of each host, by the host as passed. It takes at most Timeout. If the look-up of a name has
// not ended by then, the result is the last good answer or, if there is none, a failure that says so.
func (c *Cache) Resolve(hosts []string) map[string]serverlist.Resolution {
	out := make(map[string]serverlist.Resolution, len(hosts))
	names, lookups := c.startLookups(hosts, out)
	c.wait(lookups)
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, e := range names {
		out[host] = c.currentAnswer(e)
	}
	return out
}

// startLookups adds the resolutions of hosts that need no look-up to out, starts the look-ups of names whose answer has expired,
// and returns the entries of all names and the look-ups to wait for. The caller keeps the entries, as Retain may delete them from the
// cache meanwhile.
func (c *Cache) startLookups(
	hosts []string, out map[string]serverlist.Resolution,
) (names map[string]*entry, lookups []chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	names = map[string]*entry{}
	if c.entries == nil {
		c.entries, c.slots = map[string]*entry{}, make(chan struct{}, maxLookups)
	}
	for _, host := range hosts {
		if literal, ok := parseLiteral(host); ok {
			out[host] = literal
			continue
		}
		if c.Backend == nil {
			out[host] = serverlist.Resolution{Failure: "is a host name, but only IP addresses are allowed here"}
			continue
		}
		if lookup := c.lookupIfExpired(host); lookup != nil {
			lookups = append(lookups, lookup)
		}
		names[host] = c.entries[host]
	}
	return names, lookups
}

// lookupIfExpired returns the look-up in flight of a name whose answer has expired, and starts it if there is none. It returns nil
// if the answer has not expired.
func (c *Cache) lookupIfExpired(host string) chan struct{} {
	e := c.entries[host]
	if e == nil {
		e = &entry{}
		c.entries[host] = e
	}
	if e.expires > c.Clock.Now() {
		return nil
	}
	if e.lookup == nil { // an earlier look-up may still wait for its answer: one per name is enough
		e.lookup = make(chan struct{})
		go c.lookup(host, e)
	}
	return e.lookup
}

// wait waits until the look-ups have ended, for at most Timeout.
func (c *Cache) wait(lookups []chan struct{}) {
	if len(lookups) == 0 {
		return
	}
	timedOut := make(chan struct{})
	stop := c.Clock.After(c.Timeout, func() { close(timedOut) })
	defer stop()
	for _, lookup := range lookups {
		select {
		case <-lookup:
		case <-timedOut:
		}
	}
}

// currentAnswer returns the last answer for a name, or a failure if there was none and the look-up has not ended.
func (c *Cache) currentAnswer(e *entry) serverlist.Resolution {
	if e.hasAddrs || e.lookup == nil {
		return e.answer
	}
	return serverlist.Resolution{Failure: fmt.Sprintf("can't be resolved: no answer in %.0f ms", c.Timeout)}
}

// Retain deletes all names that are not among the hosts. Without this, the cache would grow for as long as lists change.
func (c *Cache) Retain(hosts []string) {
	keep := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		keep[host] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, e := range c.entries {
		if !keep[host] && e.lookup == nil {
			delete(c.entries, host)
		}
	}
}

// HasNames reports whether any of the hosts is a name, whose addresses may change.
func HasNames(hosts []string) bool {
	for _, host := range hosts {
		if _, ok := parseLiteral(host); !ok {
			return true
		}
	}
	return false
}

// lookup looks up a name. The backend may ignore its context and not return for a long time.
func (c *Cache) lookup(host string, e *entry) {
	c.slots <- struct{}{}
	ctx, cancel := context.WithCancel(context.Background())
	stop := c.Clock.After(c.Timeout, cancel)
	ips, err := c.Backend.LookupNetIP(ctx, "ip", host)
	stop()
	cancel()
	<-c.slots
	c.store(e, toResolution(ips, err))
}

// toResolution returns the result of a look-up as a Resolution. Its failure has no line breaks.
func toResolution(ips []netip.Addr, err error) serverlist.Resolution {
	if err != nil {
		return serverlist.Resolution{Failure: "can't be resolved: " + strings.ReplaceAll(err.Error(), "\n", " ")}
	}
	var r serverlist.Resolution
	for _, ip := range ips {
		r.Addrs = append(r.Addrs, canonical(ip))
	}
	return r
}

// store stores the answer of a look-up. An answer without addresses does not replace a good one. It expires after Timeout if that
// is shorter than TTL, so that the name is looked up again sooner.
func (c *Cache) store(e *entry, answer serverlist.Resolution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	good := len(answer.Addrs) > 0
	if good || !e.hasAddrs {
		e.answer, e.hasAddrs = answer, good
	}
	ttl := c.TTL
	if !good {
		ttl = min(c.TTL, c.Timeout)
	}
	e.expires = c.Clock.Now() + ttl
	close(e.lookup)
	e.lookup = nil
}

// parseLiteral parses a host that is an IP address. Spellings that have more than one meaning are failures. ok is false for a name.
func parseLiteral(host string) (r serverlist.Resolution, ok bool) {
	ip, err := netip.ParseAddr(host)
	switch {
	case err == nil && ip.Zone() != "":
		return serverlist.Resolution{Failure: "has a zone index, which other machines do not share"}, true
	case err == nil && ip.IsUnspecified():
		return serverlist.Resolution{Failure: "is the unspecified address, which no server can have"}, true
	case err == nil:
		return serverlist.Resolution{Addrs: []string{canonical(ip)}}, true
	case strings.Trim(host, "0123456789.") == "":
		// Resolvers differ in whether they accept 127.1 or 010.0.0.1, and in the address that they take it for.
		return serverlist.Resolution{Failure: "is not an IPv4 address in dotted decimal form without leading zeros"}, true
	}
	return serverlist.Resolution{}, false
}

// canonical returns an address in the spelling that is used to compare addresses.
func canonical(ip netip.Addr) string { return ip.Unmap().WithZone("").String() }
