package config

import (
	"fmt"
	"strings"

	"ravenwheel/internal/strictjson"
)

// Distribution is how processes that are not members of the store get what it holds. A member of the store is the root of a
// tree of distributors; any other process subscribes at one, and serves others where it listens. Times are in ms.
type Distribution struct {
	Name     string `json:"name"`     // of the certificate; empty: the proxy's. A member has that of the store
	Identity string `json:"identity"` // the directory of ca.crt, NAME.crt and NAME.key. A member has that of the store

	Epoch            uint64        `json:"epoch"`      // of a member: the number of the store's history, from 1. A store that begins anew needs a higher one
	Listen           string        `json:"listen"`     // for subscribers, over mutual TLS; empty: none
	MaxLinks         int           `json:"most_links"` // two to a subscriber
	Rank             int           `json:"rank"`       // 0: a member of the store; others subscribe only at a lower rank
	Site             string        `json:"site"`
	Zone             string        `json:"zone"`
	Region           string        `json:"region"`
	Distributors     []Distributor `json:"upstream"`       // at which it may subscribe; the nearest is preferred
	HeartbeatMs      float64       `json:"heartbeat_ms"`   // between two watermarks
	SilenceTimeoutMs float64       `json:"silent_ms"`      // a distributor that sends nothing for so long is left
	MaxLagMs         float64       `json:"bound_ms"`       // how far a process may be behind before it reports that
	MaxClockSkewMs   float64       `json:"clock_bound_ms"` // between two machines
	StrictClasses    []string      `json:"strict"`         // rejected: not implemented
}

// Distributor is a process to subscribe at.
type Distributor struct {
	Name   string `json:"name"` // of its certificate
	Addr   string `json:"addr"`
	Rank   int    `json:"rank"`
	Site   string `json:"site"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

const (
	// leafRank is the rank of a process at which nobody subscribes.
	leafRank = 100
	// maxRank is the highest rank: that of a leaf.
	maxRank = 100
	// minMissedHeartbeats is how many heartbeats are missed, at least, before a distributor is left.
	minMissedHeartbeats = 3
	// defaultSilenceTimeoutMs and defaultMaxLagMs are raised to their lower bounds where those are higher.
	defaultSilenceTimeoutMs = 1800
	defaultMaxLagMs         = 6800
)

func (f *OperatorFile) checkDistribution(doc *strictjson.Document) {
	d := f.Distribution
	if d == nil {
		return
	}
	c := checker{doc, "distribution"}
	if doc.Has(c.path("strict")) {
		doc.Failf(c.path("strict"), "strict is not supported yet: requests would not take it into account")
	}
	if d.Listen != "" {
		c.address("listen", d.Listen, false)
	}
	c.count("most_links", &d.MaxLinks, valueRange{1024, 2, 1 << 16})
	d.checkTimes(c)
	if f.Store.Name != "" {
		d.checkRoot(c, f.Store)
		return
	}
	d.checkSubscriber(c)
	if f.Signed != nil {
		doc.Failf("signed", "signed is only allowed in a member of the store: spent tokens are not distributed")
	}
}

func (d *Distribution) checkTimes(c checker) {
	c.number("heartbeat_ms", &d.HeartbeatMs, valueRange{500, 10, 60_000})
	minSilence := minMissedHeartbeats * d.HeartbeatMs
	c.number("silent_ms", &d.SilenceTimeoutMs, valueRange{max(defaultSilenceTimeoutMs, minSilence), minSilence, dayMs})
	c.number("bound_ms", &d.MaxLagMs, valueRange{max(defaultMaxLagMs, d.SilenceTimeoutMs), d.SilenceTimeoutMs, dayMs})
	c.number("clock_bound_ms", &d.MaxClockSkewMs, valueRange{250, 0, 60_000})
}

// checkRoot validates a member of the store: it is the root of a tree, and subscribes nowhere.
func (d *Distribution) checkRoot(c checker, s Store) {
	for _, field := range []string{"name", "identity", "upstream"} {
		if c.doc.Has(c.path(field)) {
			c.doc.Failf(c.path(field), "%s is not allowed in a member of the store: it has the store's name and identity, and no upstream", field)
		}
	}
	if d.Epoch == 0 {
		c.doc.Failf(c.path("epoch"), "a member of the store needs epoch: from 1, and higher each time the store begins anew")
	}
	if d.Listen == "" {
		c.doc.Failf(c.path("listen"), "a member of the store needs listen: the address at which others subscribe")
	}
	c.count("rank", &d.Rank, valueRange{0, 0, 0})
	d.Name, d.Identity = s.Name, s.Identity
}

func (d *Distribution) checkSubscriber(c checker) {
	c.required("identity", d.Identity)
	if c.doc.Has(c.path("epoch")) {
		c.doc.Failf(c.path("epoch"), "epoch is only allowed in a member of the store: others receive it from there")
	}
	if d.Listen != "" && !c.doc.Has(c.path("rank")) {
		c.doc.Failf(c.path("rank"), "a distributor needs rank: its subscribers must have a higher one")
	} else {
		c.count("rank", &d.Rank, valueRange{leafRank, 1, maxRank})
	}
	if len(d.Distributors) == 0 {
		c.doc.Failf(c.path("upstream"), "a process that is not a member of the store needs upstream: the distributors at which it may subscribe")
	}
	names := map[string]bool{d.Name: true}
	for i, distributor := range d.Distributors {
		entry := checker{c.doc, fmt.Sprintf("distribution.upstream[%d]", i)}
		distributor.check(entry, names[distributor.Name], d.Rank)
		names[distributor.Name] = true
	}
}

// check validates one distributor; ownRank is that of the subscriber.
func (d Distributor) check(c checker, repeated bool, ownRank int) {
	if repeated || strings.TrimSpace(d.Name) == "" {
		c.doc.Failf(c.path("name"), "distributor name %q is empty, named twice or the name of this process", d.Name)
	}
	c.address("addr", d.Addr, false)
	if d.Rank < 0 || d.Rank >= ownRank {
		c.doc.Failf(c.path("rank"), "rank %d of %q is not from 0 to %d: it must be lower than the rank of this process, %d", d.Rank, d.Name, ownRank-1, ownRank)
	}
}
