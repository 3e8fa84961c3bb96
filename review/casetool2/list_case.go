package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["names"] = names }

// names: lists that name servers by host names and lists that give addresses take turns, while the names are looked up. The names are
// such that the look-up ends in the machine, with no question to any server: Go asks none for a name under .onion (RFC 7686).
func names(p *play) {
	s := newSite(p, "seat-claim")
	servers := s.listed()
	p.playNames(servers, "bangkok-1", 3200, 10, 80)
}

// playNames starts a proxy and lets lists with and without names take turns. It reports whether the proxy crashed.
func (p *play) playNames(servers []map[string]any, name string, named, quietMs, rounds int) (crashed bool) {
	p.writeList(1, servers)
	m := p.newMember(name)
	m.writeOperatorFile(nil, nil, 3000, "k1")
	m.setQuiet(quietMs)
	m.start()
	m.awaitReady()
	time.Sleep(time.Second)
	withNames := append([]map[string]any(nil), servers...)
	for i := range named {
		host := fmt.Sprintf("box-%d.%sonion.", i, strings.Repeat("branch-1-of-the-hub-in-the-north.", 5))
		if i == named-1 {
			host = "localhost"
		}
		withNames = append(withNames, map[string]any{
			"id": fmt.Sprintf("s-%08x", 0x100+i), "addr": host + ":4100", "zone": "bangkok", "kind": "small", "weight": 8,
		})
	}
	generation := 1
	for round := range rounds {
		// A text counts once it has stood for two quiet periods.
		pause := time.Duration(2*quietMs+3*(round%14)) * time.Millisecond
		if !p.trouble {
			pause = 3 * time.Second
		}
		generation += 2
		p.writeList(generation-1, withNames)
		time.Sleep(pause)
		p.writeList(generation, servers)
		if ended(m.process, 700*time.Millisecond) {
			p.logf("the proxy ended: %v", m.process.cmd.ProcessState)
			p.recordPanic(name)
			p.breach("the proxy crashed")
			return true
		}
		if !p.trouble && round == 2 {
			break
		}
	}
	c, err := dialClient(m.listen)
	p.check(err, "client")
	defer c.conn.Close()
	answer, err := c.call(time.Second, "RPC.HEALTH")
	p.logf("RPC.HEALTH: %v %v", answer, err)
	m.process.kill()
	return false
}

// ended reports whether a process ends within a time.
func ended(x *process, limit time.Duration) bool {
	select {
	case <-x.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// recordPanic records the first lines of a process's panic.
func (p *play) recordPanic(name string) {
	log, _ := os.ReadFile(filepath.Join(p.dir, name+".log"))
	if _, panicked, ok := strings.Cut(string(log), "panic: "); ok {
		for i, line := range strings.Split("panic: "+panicked, "\n") {
			if i < 12 {
				p.logf("its log: %s", line)
			}
		}
	}
}

// setQuiet changes how long a text of the watched list must stay the same before it counts.
func (m *member) setQuiet(ms int) {
	var file map[string]any
	text, err := os.ReadFile(m.operator)
	m.p.check(err, "operator's file")
	m.p.check(json.Unmarshal(text, &file), "operator's file")
	file["servers"].(map[string]any)["quiet_ms"] = ms
	m.p.writeJSON(m.operator, file)
}
