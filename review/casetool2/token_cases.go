package main

import (
	"path/filepath"
	"time"
)

func init() {
	cases["dropped-key"] = droppedKey
}

// cluster returns members of a store, with keys and operators' files.
func (p *play) cluster(s *site, count int, kids ...string) (members []*member) {
	names := []string{"a", "b", "c"}[:count]
	keys := filepath.Join(p.dir, "keys")
	_, err := p.run(append([]string{"cluster", "keys", keys, "th"}, names...)...)
	p.check(err, "keys")
	var peers []map[string]any
	for _, name := range names {
		m := p.newMember(name)
		members = append(members, m)
		peers = append(peers, map[string]any{"name": name, "addr": m.store})
	}
	for _, m := range members {
		m.writeOperatorFile(s, map[string]any{
			"name": m.name, "listen": m.store, "dir": filepath.Join(p.dir, "store-"+m.name), "identity": keys, "peers": peers, "timeout_ms": 2000,
		}, 3000, kids...)
		m.start()
	}
	for _, m := range members {
		m.awaitReady()
	}
	return members
}

// droppedKey: a revision drops a key that the operator's file names; after a hundred more revisions the proxy is restarted.
func droppedKey(p *play) {
	s := newSite(p, "seat-claim")
	m := p.cluster(s, 1, "k1")[0]
	old, current := token("k1", "", "asset", time.Now().Add(time.Hour)), token("k2", "", "asset", time.Now().Add(time.Hour))
	p.until("a link is served", 10*time.Second, func() bool { return m.get(old, "asset", object) == 200 })
	p.check(m.setConfig(map[string]any{"keys": keyRing("k2")}), "config set")
	p.until("the new key is in force", 10*time.Second, func() bool { return m.get(current, "asset", object) == 200 })
	p.require(m.get(old, "asset", object) == 401, "the dropped key is not refused")
	levels := []string{"info", "warn"}
	for i := range 100 {
		p.check(m.setConfig(map[string]any{"log": map[string]any{"level": levels[i%2]}}), "config set")
	}
	p.require(m.get(old, "asset", object) == 401, "the dropped key is not refused")
	if p.trouble {
		m.process.stop(p)
		m.start()
		m.awaitReady()
	}
	for range 10 {
		time.Sleep(500 * time.Millisecond)
		if m.get(old, "asset", object) == 200 {
			p.breach("a link signed with the dropped key was served")
		}
	}
	p.require(m.get(current, "asset", object) == 200, "the key in force is refused")
}
