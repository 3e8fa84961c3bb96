package fleetview

import (
	"maps"
	"slices"

	"ravenwheel/policy"
)

// Totals are what one process counted of one server since its start.
type Totals struct {
	Attempts, Failures, Refusals, Overdue uint64
	InFlight                              int64
	Latency                               [Buckets]uint64
}

// Collector makes digests of totals: rates over the last Window, and of these only what has changed since it was told
// last, with a few others so that what was lost on the way is told again within Refresh digests.
type Collector struct {
	From        string
	Zone        string
	Incarnation uint64
	Window      float64 // ms over which rates are taken
	Refresh     int     // digests after which every entry was told again; 0: usualRefresh

	version uint64
	slots   []slot // oldest first
	told    map[policy.CacheID]Seen
}

// slot is the totals at one moment.
type slot struct {
	at       float64
	arrivals uint64
	totals   map[policy.CacheID]Totals
}

const usualRefresh = 6

// Tick takes the totals of now, as of the process's start, and returns the digest to publish. Servers that are no longer
// among the totals are told once as silent.
func (c *Collector) Tick(now float64, arrivals uint64, totals map[policy.CacheID]Totals, heavy []Heavy) Digest {
	c.slots = append(c.slots, slot{now, arrivals, totals})
	for len(c.slots) > 2 && c.slots[1].at <= now-c.Window {
		c.slots = c.slots[1:]
	}
	old := c.slots[0]
	seconds := max(1, now-old.at) / 1000
	rate := func(now, then uint64) Level {
		if now < then {
			return 0 // counted anew: the server came back
		}
		return LevelOf(float64(now-then) / seconds)
	}
	if c.told == nil {
		c.told = map[policy.CacheID]Seen{}
	}
	refresh := c.Refresh
	if refresh <= 0 {
		refresh = usualRefresh
	}
	c.version++
	d := Digest{From: c.From, Incarnation: c.Incarnation, Version: c.version, Zone: c.Zone, Arrivals: rate(arrivals, old.arrivals), Heavy: heavy}
	for _, id := range slices.Sorted(maps.Keys(totals)) {
		n, o := totals[id], old.totals[id]
		s := Seen{
			Server: id, Attempts: rate(n.Attempts, o.Attempts), Failures: rate(n.Failures, o.Failures), Refusals: rate(n.Refusals, o.Refusals),
			Overdue: rate(n.Overdue, o.Overdue), InFlight: LevelOf(float64(n.InFlight)),
		}
		var answered [Buckets]uint64
		for i := range answered {
			answered[i] = n.Latency[i] - min(n.Latency[i], o.Latency[i])
		}
		s.Latency = latencyOf(answered)
		before, known := c.told[id]
		if s.silent() && before.silent() {
			c.told[id] = s
			continue // what nobody asked for, and what was told as silent, is not told again: it fades where that was lost
		}
		turn := (uint64(id)+c.version)%uint64(refresh) == 0
		if turn || !known || !s.near(before) {
			c.told[id] = s
			d.Servers = append(d.Servers, s)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.told)) {
		if _, listed := totals[id]; !listed {
			delete(c.told, id)
			d.Servers = append(d.Servers, Seen{Server: id})
		}
	}
	return d
}

func (s Seen) silent() bool { return s.Attempts == 0 && s.InFlight == 0 }

// near tells whether an entry differs too little from the one told last to be told again. Of what is out now and of
// latencies, which a few requests a second throw about, only an octave and four answers in ten count.
func (s Seen) near(o Seen) bool {
	return s.Attempts.near(o.Attempts, steps) && s.Failures.near(o.Failures, steps) && s.Refusals.near(o.Refusals, steps) &&
		s.Overdue.near(o.Overdue, steps) && s.InFlight.near(o.InFlight, levelSteps) && s.Latency.near(o.Latency, 0.4)
}

// steps of a level, 19 %, are too few to be told: the third is.
const steps = 3
