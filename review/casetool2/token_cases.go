package main

import (
	"path/filepath"
	"time"
)

func init() {
	cases["leeway"] = leeway
	cases["dropped-key"] = droppedKey
}

const seat = "00000000000000c7"

// judgeRuns counts a write whose token was good for one run and that ran more often.
func (p *play) judgeRuns(s *site, body string) {
	if n := s.runs(body); n > 1 {
		p.breach("the seat claim %q ran %d times, with one token that allows one write", body, n)
	}
}

// leeway: an operator raises the leeway for issuers' clocks; later, somebody uses a seat claim's token again.
func leeway(p *play) {
	s := newSite(p, "seat-claim")
	m := p.newMember("bangkok-1")
	m.writeOperatorFile(s, nil, 3000, "k1")
	m.start()
	m.awaitReady()
	expires := time.Now().Add(3 * time.Second).Truncate(time.Second)
	claim := token("k1", "claim-1", "seat-claim", expires)
	p.until("the claim is served", 5*time.Second, func() bool { return m.post(claim, "seat-claim", seat, "claim-1") == 200 })
	p.require(s.runs("claim-1") == 1, "the claim did not run")
	p.require(m.post(claim, "seat-claim", seat, "claim-1") == 409, "a used token is not refused")
	if p.trouble {
		p.check(m.setConfig(map[string]any{"signed": map[string]any{"leeway_ms": 10000}}), "config set")
		time.Sleep(300 * time.Millisecond)
		p.require(m.post(claim, "seat-claim", seat, "claim-1") == 409, "a used token is not refused under the new leeway")
	}
	time.Sleep(time.Until(expires.Add(3500 * time.Millisecond)))
	m.post(claim, "seat-claim", seat, "claim-1")
	p.judgeRuns(s, "claim-1")
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
