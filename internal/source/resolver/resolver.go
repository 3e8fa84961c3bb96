// Package resolver gives the addresses of hosts. Literal addresses need nobody; names are asked of a resolver, which may
// be slow, wrong for a while or hang: each answer is kept for a time, the last good one for as long as there is no
// better, and whoever asks waits for a bounded time only. Which of several addresses is used is not decided here.
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

// Backend looks names up; *net.Backend is one.
type Backend interface {
	LookupNetIP(ctx context.Context, network, host string) ([]netip.Addr, error)
}

// mostAsked bounds the look-ups out at once.
const mostAsked = 16

// Cache answers for hosts.
type Cache struct {
	Backend Backend // nil: only literal addresses have an answer
	Clock   *clock.Clock
	TTL     float64 // ms for which an answer is good
	Timeout float64 // ms that whoever asks waits at most

	mu    sync.Mutex
	known map[string]*entry
	slots chan struct{}
}

type entry struct {
	answer serverlist.Resolution
	good   bool // answer holds addresses
	until  float64
	asked  chan struct{} // closed once the look-up that is out has ended; nil: none is
}

// Resolve are those of the hosts, each by its name as given. It takes Timeout at the most; a name that was not
// answered by then has its last good answer, or says so.
func (c *Cache) Resolve(hosts []string) map[string]serverlist.Resolution {
	out := make(map[string]serverlist.Resolution, len(hosts))
	var wait []chan struct{}
	c.mu.Lock()
	if c.known == nil {
		c.known, c.slots = map[string]*entry{}, make(chan struct{}, mostAsked)
	}
	for _, h := range hosts {
		if a, ok := literal(h); ok {
			out[h] = a
			continue
		}
		if c.Backend == nil {
			out[h] = serverlist.Resolution{Failure: "is a name, and no names are resolved here"}
			continue
		}
		e := c.known[h]
		if e == nil {
			e = &entry{}
			c.known[h] = e
		}
		if e.until > c.Clock.Now() {
			continue
		}
		if e.asked == nil { // else an earlier look-up hangs: one is enough
			e.asked = make(chan struct{})
			go c.ask(h, e)
		}
		wait = append(wait, e.asked)
	}
	c.mu.Unlock()
	if len(wait) > 0 {
		late := make(chan struct{})
		stop := c.Clock.After(c.Timeout, func() { close(late) })
		for _, w := range wait {
			select {
			case <-w:
			case <-late:
			}
		}
		stop()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range hosts {
		if _, ok := out[h]; ok {
			continue
		}
		switch e := c.known[h]; {
		case e.good || e.asked == nil:
			out[h] = e.answer
		default:
			out[h] = serverlist.Resolution{Failure: fmt.Sprintf("can't be resolved: no answer in %.0f ms", c.Timeout)}
		}
	}
	return out
}

// Retain drops the names that are not among the hosts: a list that changes for years would fill the memory.
func (c *Cache) Retain(hosts []string) {
	keep := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		keep[h] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for h, e := range c.known {
		if !keep[h] && e.asked == nil {
			delete(c.known, h)
		}
	}
}

// HasNames tells whether any of the hosts is one whose answer may change.
func HasNames(hosts []string) bool {
	for _, h := range hosts {
		if _, ok := literal(h); !ok {
			return true
		}
	}
	return false
}

func (c *Cache) ask(host string, e *entry) {
	c.slots <- struct{}{}
	ctx, cancel := context.WithCancel(context.Background())
	stop := c.Clock.After(c.Timeout, cancel)
	ips, err := c.Backend.LookupNetIP(ctx, "ip", host)
	stop()
	cancel()
	<-c.slots
	a := serverlist.Resolution{}
	for _, ip := range ips {
		a.Addrs = append(a.Addrs, spelled(ip))
	}
	if err != nil {
		a = serverlist.Resolution{Failure: "can't be resolved: " + strings.ReplaceAll(err.Error(), "\n", " ")}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(a.Addrs) > 0 || !e.good {
		e.answer, e.good = a, len(a.Addrs) > 0
	}
	e.until = c.Clock.Now() + c.TTL
	if len(a.Addrs) == 0 {
		e.until = c.Clock.Now() + min(c.TTL, c.Timeout) // sooner again where it failed
	}
	close(e.asked)
	e.asked = nil
}

// literal reads a host that is an address, in any spelling that has one meaning.
func literal(host string) (serverlist.Resolution, bool) {
	ip, err := netip.ParseAddr(host)
	switch {
	case err == nil && ip.Zone() != "":
		return serverlist.Resolution{Failure: "has a zone index, which other machines do not share"}, true
	case err == nil && ip.IsUnspecified():
		return serverlist.Resolution{Failure: "is the address of no machine"}, true
	case err == nil:
		return serverlist.Resolution{Addrs: []string{spelled(ip)}}, true
	case strings.Trim(host, "0123456789.") == "":
		// Some resolvers take 127.1 or 010.0.0.1 for an address, each for another one.
		return serverlist.Resolution{Failure: "is no IPv4 address that all read alike"}, true
	}
	return serverlist.Resolution{}, false
}

func spelled(ip netip.Addr) string { return ip.Unmap().WithZone("").String() }
