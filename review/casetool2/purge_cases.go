package main

import "time"

func init() {
	cases["slow-board"] = slowBoard
	cases["clock-step"] = clockStep
}

const (
	object = "7f3a9c21e0b4d655"
	group  = 17
	// purgeGrace is NoticeTimeUs of the settings, and slack the 50 ms by which every time limit is longer on sockets.
	purgeGrace = time.Second
	slack      = 50 * time.Millisecond
	// transit is left for the way of a request from the proxy's first byte to the cache's clock.
	transit = 200 * time.Millisecond
)

// judge counts the answers from copies that are older than a purge, to requests that were sent after the purge had to be heeded.
func (p *play) judge(s *site, purged, binding time.Time) {
	p.logf("the purge binds from %d ms after it was made", binding.Sub(purged).Milliseconds())
	for _, f := range s.requests() {
		if f.hasCopy && f.object == object && f.at.After(binding.Add(slack+transit)) && f.copy.born.Before(purged) {
			p.breach("request %s, sent %d ms after the purge had to be heeded, was answered by %s from copy %d, made %d ms before the purge",
				f.id, f.at.Sub(binding).Milliseconds(), f.server, f.copy.number, purged.Sub(f.copy.born).Milliseconds())
		}
	}
}

// slowBoard: the notice board breaks off during a release. Asked again it tells the events one after the other, slowly; the last of
// them is a purge.
func slowBoard(p *play) {
	const changes = 8
	s := newSite(p, "seat-claim")
	b := newBoard(p, 1)
	addr, list := p.startPlatform(s, b)
	time.Sleep(1500 * time.Millisecond)
	c, err := dialClient(addr)
	p.check(err, "client")
	for range 3 {
		p.get(c, object, group)
	}
	requests := s.requests()
	p.require(len(requests) == 3 && requests[2].why == "local", "the object is not served from a copy")
	time.Sleep(500 * time.Millisecond)
	if p.trouble {
		b.mu.Lock()
		b.pause = 700 * time.Millisecond
		b.mu.Unlock()
	}
	b.breakOff()
	broke := time.Now()
	for i := range changes { // a release in the other branch
		other := server{uint32(100 + i), list[0].addr, edge2, small, 8}
		other.addr = p.freeAddr()
		b.tell(2, other.record())
	}
	purged := s.purge(object)
	b.tell(3, purgeOf(object, uint64(s.ownClock())))
	p.logf("purged; the notice board has events 2 to %d", changes+2)
	for time.Since(broke) < 7*time.Second {
		p.get(c, object, group)
		time.Sleep(100 * time.Millisecond)
	}
	p.judge(s, purged, broke.Add(2*time.Second+purgeGrace))
}

// clockStep: the clock of the proxy's machine was stepped forward by 2 s before the proxy started. To the proxy that looks as if the
// clocks of all others, from which it gets stamps, were 2 s behind.
func clockStep(p *play) {
	const step, copyAge = 2000, 1200 * time.Millisecond
	s := newSite(p, "seat-claim")
	if p.trouble {
		s.ownClock = func() float64 { return float64(time.Now().UnixMicro())/1000 - step }
	}
	b := newBoard(p, 1)
	addr, _ := p.startPlatform(s, b)
	b.awaitBeat()
	c, err := dialClient(addr)
	p.check(err, "client")
	p.get(c, object, group)
	p.get(c, object, group)
	requests := s.requests()
	p.require(len(requests) == 2 && requests[1].why == "local", "the object is not served from a copy")
	time.Sleep(time.Until(requests[0].copy.born.Add(copyAge - 400*time.Millisecond)))
	b.awaitBeat()
	time.Sleep(200 * time.Millisecond)
	purged := s.purge(object)
	stamp := uint64(s.ownClock())
	time.Sleep(150 * time.Millisecond)
	b.tell(3, purgeOf(object, stamp))
	told := time.Now()
	p.logf("purged, stamp %d; told %d ms later", stamp, told.Sub(purged).Milliseconds())
	for time.Since(purged) < 6500*time.Millisecond {
		p.get(c, object, group)
		time.Sleep(100 * time.Millisecond)
	}
	p.judge(s, purged, told.Add(purgeGrace))
}
