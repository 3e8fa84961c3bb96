package fleetview

import (
	"maps"
	"slices"

	"ravenwheel/policy"
)

// defaultRefresh is the Collector's Refresh where none is set.
const defaultRefresh = 6

// Totals are the counts of one process about one server since the process started. ServerLoad defines failures, rejections and
// overdue attempts.
type Totals struct {
	Attempts, Failures, Rejections, Overdue uint64
	InFlight                                int64
	Latency                                 [LatencyBuckets]uint64 // answers, by LatencyBucket
}

// Collector makes digests from totals. A digest holds the rates, over the last Window, of the servers whose figures have changed
// since they were last published. It also repeats some of the unchanged ones in turn, so that an entry that was lost on the way is
// sent again within Refresh digests. A Collector is not safe for concurrent use.
type Collector struct {
	From        string
	Zone        string
	Incarnation uint64
	Window      float64 // ms over which rates are taken
	Refresh     int     // digests within which every entry is published again; 0: defaultRefresh

	version   uint64
	samples   []sample // oldest first
	published map[policy.ServerID]ServerLoad
}

// sample holds the totals at one time.
type sample struct {
	at       float64 // ms
	arrivals uint64
	totals   map[policy.ServerID]Totals
}

// Collect takes the current totals, counted since the process started, and returns the digest to publish. A server that is no
// longer among the totals is published once as idle. now is in ms. The collector retains totals, which must not be changed
// afterwards.
func (c *Collector) Collect(now float64, arrivals uint64, totals map[policy.ServerID]Totals, objects []ObjectRate) Digest {
	c.samples = append(c.samples, sample{now, arrivals, totals})
	for len(c.samples) > 2 && c.samples[1].at <= now-c.Window {
		c.samples = c.samples[1:]
	}
	if c.published == nil {
		c.published = map[policy.ServerID]ServerLoad{}
	}
	oldest := c.samples[0]
	seconds := max(1, now-oldest.at) / 1000
	c.version++
	d := Digest{
		From: c.From, Incarnation: c.Incarnation, Version: c.version, Zone: c.Zone,
		Arrivals: rate(arrivals, oldest.arrivals, seconds), Objects: objects,
	}
	for _, id := range slices.Sorted(maps.Keys(totals)) {
		load := loadOf(id, totals[id], oldest.totals[id], seconds)
		if c.selectForDigest(load) {
			d.Servers = append(d.Servers, load)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.published)) {
		if _, listed := totals[id]; !listed {
			delete(c.published, id)
			d.Servers = append(d.Servers, ServerLoad{Server: id})
		}
	}
	return d
}

// selectForDigest decides whether an entry goes into the digest, and if so records it as published. An entry is selected if it is
// new, if it has changed enough (see near), or if its refresh is due, which is the case once in Refresh digests. A server that is
// idle and was published as idle is always left out: a receiver that missed its last entry holds an older one, which expires.
func (c *Collector) selectForDigest(load ServerLoad) bool {
	lastPublished, known := c.published[load.Server]
	if load.idle() && lastPublished.idle() {
		c.published[load.Server] = load
		return false
	}
	refresh := c.Refresh
	if refresh <= 0 {
		refresh = defaultRefresh
	}
	due := (uint64(load.Server)+c.version)%uint64(refresh) == 0
	if !due && known && load.near(lastPublished) {
		return false
	}
	c.published[load.Server] = load
	return true
}

// loadOf returns the figures of a server between two totals.
func loadOf(id policy.ServerID, current, earlier Totals, seconds float64) ServerLoad {
	var answers [LatencyBuckets]uint64
	for i := range answers {
		answers[i] = current.Latency[i] - min(current.Latency[i], earlier.Latency[i])
	}
	return ServerLoad{
		Server:     id,
		Attempts:   rate(current.Attempts, earlier.Attempts, seconds),
		Failures:   rate(current.Failures, earlier.Failures, seconds),
		Rejections: rate(current.Rejections, earlier.Rejections, seconds),
		Overdue:    rate(current.Overdue, earlier.Overdue, seconds),
		InFlight:   LevelOf(float64(current.InFlight)),
		Latency:    latencyOf(answers),
	}
}

// rate returns the increase of a count per second. A count that fell was reset, because its server was removed from the list and
// came back; its rate is 0.
func rate(current, earlier uint64, seconds float64) Level {
	if current < earlier {
		return 0
	}
	return LevelOf(float64(current-earlier) / seconds)
}
