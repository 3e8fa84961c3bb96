package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["removed"] = removed }

// removed: a watched list drains a cache and the next one no longer names it, while the notice board lists it as ready throughout. The
// proxy keeps its state in a directory; it is killed, and started again.
func removed(p *play) {
	const drainGrace = 2 * time.Second // DrainGraceUs of the settings
	s := newSite(p)
	b := newBoard(p, 1)
	all := []server{
		{1, s.serve("cache"), edge1, small, 8},
		{2, s.serve("second"), edge1, small, 8},
		{3, s.serve("other-branch"), edge2, small, 8},
		{10, s.serve("parent"), north, parent, 30},
		{20, s.serve("origin"), north, origin, 40},
	}
	listed := func(skip, draining uint32) (entries []map[string]any) {
		for _, x := range all {
			if x.id == skip {
				continue
			}
			state := "ready"
			if x.id == draining {
				state = "draining"
			}
			entries = append(entries, map[string]any{
				"id": fmt.Sprintf("s-%08x", x.id), "addr": x.addr, "zone": zoneNames[x.zone], "kind": kindNames[x.kind], "weight": x.weight, "state": state,
			})
		}
		return entries
	}
	p.writeList(1, listed(0, 0))
	addr, tmp, operator := p.freeAddr(), filepath.Join(p.dir, "tmp"), filepath.Join(p.dir, "operator.json")
	p.check(os.MkdirAll(tmp, 0o700), "folder")
	p.writeJSON(operator, map[string]any{
		"servers": map[string]any{"path": p.listPath(), "quiet_ms": 200, "poll_ms": 5000, "drain_ms": 6000, "most_dropped": 0.5},
		"state":   map[string]any{"dir": filepath.Join(p.dir, "state")},
	})
	env := []string{
		"LB_CONFIG=" + p.platformConfig(addr, b, all), "LB_NAME=n1", "LB_LISTEN=" + addr, "LB_CONSOLE=" + p.freeAddr(), "TMPDIR=" + tmp,
	}
	start := func() (*process, *client) {
		x := p.start("proxy", env, "serve --operator "+operator)
		p.awaitReady(addr)
		c, err := dialClient(addr)
		p.check(err, "client")
		return x, c
	}
	next := 0
	read := func(c *client, span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			next++
			p.get(c, fmt.Sprintf("%016x", 0x7f3a9c21e0b40000+next), group)
		}
	}
	// toCache counts the requests that came to the cache after a time.
	toCache := func(after time.Time) (count int) {
		for _, f := range s.requests() {
			if f.server == "cache" && f.at.After(after) {
				count++
			}
		}
		return count
	}
	proxy, c := start()
	began := time.Now()
	read(c, 2*time.Second)
	p.require(toCache(began) > 0, "the cache got nothing while it was ready")
	p.writeList(2, listed(0, 1))
	read(c, 4*time.Second)
	p.writeList(3, listed(1, 0))
	told := time.Now().Add(500 * time.Millisecond) // a list is in use after two quiet_ms
	read(c, 4*time.Second)
	if p.trouble {
		p.logf("the proxy is killed")
		proxy.signal(syscall.SIGKILL)
		<-proxy.ended
		c.conn.Close()
		_, c = start()
	}
	read(c, 8*time.Second)
	binding := told.Add(drainGrace + slack + transit)
	for _, f := range s.requests() {
		if f.server == "cache" && f.at.After(binding) {
			p.breach("%s request %s came to the cache %d ms after the list no longer named it", f.lane, f.id, f.at.Sub(told).Milliseconds())
		}
	}
}
