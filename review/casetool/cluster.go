package main

import (
	"errors"
	"path/filepath"
	"time"
)

// The times of the cases in which a member of the store is away.
const (
	drainGrace = 2050                     // ms: 2 s after the drain is told, and 50 ms for real sockets
	absence    = 15300 * time.Millisecond // the pages: a branch is lost for 12 to 25 s
	readsFor   = 12 * time.Second
)

// cluster is three proxies that are the members of a store.
type cluster struct {
	proxies       []*proxy
	fronts, admin []string
	members       []string // addresses at which the members reach one another
}

// newCluster starts a cluster, whose members also keep a state of their own where withState is set.
func (w *world) newCluster(withState bool) (*cluster, error) {
	names := []string{"n1", "n2", "n3"}
	keys := filepath.Join(w.dir, "keys")
	if _, err := w.command(append([]string{"cluster", "keys", keys, "branch"}, names...)...); err != nil {
		return nil, err
	}
	c := &cluster{}
	peers := []map[string]any{}
	for _, name := range names {
		peers = append(peers, map[string]any{"name": name, "addr": freeAddr()})
		c.fronts, c.admin = append(c.fronts, freeAddr()), append(c.admin, freeAddr())
	}
	for i, name := range names {
		operator := map[string]any{
			"signed": signedPart(c.fronts[i]),
			"admin":  map[string]any{"listen": c.admin[i]},
			"store": map[string]any{
				"name": name, "listen": peers[i]["addr"], "peers": peers, "dir": filepath.Join(w.dir, "store-"+name), "identity": keys, "timeout_ms": 2000,
			},
		}
		if withState {
			operator["state"] = map[string]any{"dir": filepath.Join(w.dir, "state-"+name)}
		}
		p, err := w.newProxy(name, i, len(names), operator)
		if err != nil {
			return nil, err
		}
		p.console = freeAddr()
		c.members = append(c.members, peers[i]["addr"].(string))
		c.proxies = append(c.proxies, p)
	}
	for _, p := range c.proxies {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	for i, p := range c.proxies {
		if err := errors.Join(p.awaitReady(20*time.Second), awaitLink(c.fronts[i], "/asset/7f3a9c21e0b4d655")); err != nil {
			return nil, err
		}
	}
	return c, nil
}
