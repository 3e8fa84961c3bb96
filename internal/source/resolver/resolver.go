// Package resolver resolves the hosts of server lists. Literal addresses need no look-up; names are looked up in a
// Backend, which may be slow, wrong for a while or hang: each answer is cached for a time, the last good one for as long
// as there is no better, and the caller waits for a bounded time. Which of several addresses is used is not decided here
// but in decide/serverlist. Its timing is tested here with backends that fail and hang.
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

// maxLookups bounds the concurrent look-ups.
const maxLookups = 16

// Cache resolves hosts. It is safe for concurrent use; its exported fields are not changed after the first call.
type Cache struct {
	Backend Backend // nil: only literal addresses are resolved
	Clock   *clock.Clock
	TTL     float64 // ms for which an answer is used without another look-up
	Timeout float64 // ms for which a caller waits at most

	mu      sync.Mutex
	entries map[string]*entry
	slots   chan struct{} // one for each look-up in flight
}

// entry is what is known of a name.
type entry struct {
	answer   serverlist.Resolution
	hasAddrs bool          // answer holds addresses, not a failure
	expires  float64       // ms, when answer expires
	lookup   chan struct{} // closed when the look-up in flight has ended; nil: none is
}

// Resolve returns the resolution of each host, by the host as given. It takes Timeout at most: a name whose look-up has
// not ended by then has its last good answer, or a failure that says so.
func (c *Cache) Resolve(hosts []string) map[string]serverlist.Resolution {
	out := make(map[string]serverlist.Resolution, len(hosts))
	c.wait(c.startLookups(hosts, out))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range hosts {
		if _, done := out[host]; !done {
			out[host] = c.answer(c.entries[host])
		}
	}
	return out
}

// startLookups puts the hosts that need no look-up into out, begins the look-ups of names whose answer has expired, and returns
// all look-ups to wait for.
func (c *Cache) startLookups(hosts []string, out map[string]serverlist.Resolution) (lookups []chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries, c.slots = map[string]*entry{}, make(chan struct{}, maxLookups)
	}
	for _, host := range hosts {
		if literal, ok := parseLiteral(host); ok {
			out[host] = literal
			continue
		}
		if c.Backend == nil {
			out[host] = serverlist.Resolution{Failure: "is a name, and no names are resolved here"}
			continue
		}
		if lookup := c.lookupIfExpired(host); lookup != nil {
			lookups = append(lookups, lookup)
		}
	}
	return lookups
}

// lookupIfExpired returns the look-up of a name that is in flight, which it begins if the answer has expired; nil: there is none.
func (c *Cache) lookupIfExpired(host string) chan struct{} {
	e := c.entries[host]
	if e == nil {
		e = &entry{}
		c.entries[host] = e
	}
	if e.expires > c.Clock.Now() {
		return nil
	}
	if e.lookup == nil { // an earlier one may hang: one for each name is enough
		e.lookup = make(chan struct{})
		go c.lookup(host, e)
	}
	return e.lookup
}

// wait waits until the look-ups have ended, for Timeout at most.
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

func (c *Cache) answer(e *entry) serverlist.Resolution {
	if e.hasAddrs || e.lookup == nil {
		return e.answer
	}
	return serverlist.Resolution{Failure: fmt.Sprintf("can't be resolved: no answer in %.0f ms", c.Timeout)}
}

// Retain drops all names but those among the hosts: a list that changes for years would fill the memory.
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

// lookup looks up a name. The backend may ignore its context, and hang.
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

func toResolution(ips []netip.Addr, err error) serverlist.Resolution {
	if err != nil {
		return serverlist.Resolution{Failure: "can't be resolved: " + strings.ReplaceAll(err.Error(), "\n", " ")}
	}
	var r serverlist.Resolution
	for _, ip := range ips {
		r.Addrs = append(r.Addrs, format(ip))
	}
	return r
}

// store keeps an answer. One without addresses does not replace a good one, and expires after Timeout where that is sooner than TTL:
// the name is then looked up again.
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

// parseLiteral reads a host that is an address, in any spelling that has just one meaning. ok is false for a name.
func parseLiteral(host string) (r serverlist.Resolution, ok bool) {
	ip, err := netip.ParseAddr(host)
	switch {
	case err == nil && ip.Zone() != "":
		return serverlist.Resolution{Failure: "has a zone index, which other machines do not share"}, true
	case err == nil && ip.IsUnspecified():
		return serverlist.Resolution{Failure: "is the address of no machine"}, true
	case err == nil:
		return serverlist.Resolution{Addrs: []string{format(ip)}}, true
	case strings.Trim(host, "0123456789.") == "":
		// Some resolvers read 127.1 or 010.0.0.1 as an address, each as another one.
		return serverlist.Resolution{Failure: "is no IPv4 address that all read alike"}, true
	}
	return serverlist.Resolution{}, false
}

// format returns the one spelling of an address in which addresses are compared.
func format(ip netip.Addr) string { return ip.Unmap().WithZone("").String() }
