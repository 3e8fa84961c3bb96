package config

import (
	"fmt"
	"strings"

	"ravenwheel/internal/strictjson"
)

// Distribution sets up how what the store holds gets to processes that are not its members. A member of the store begins a
// tree of distributors; any other process subscribes at one, and serves others where it listens. Times are in ms.
type Distribution struct {
	Name     string `json:"name"`     // of the certificate; empty: the proxy's. A member has that of the store
	Identity string `json:"identity"` // the directory of ca.crt, NAME.crt and NAME.key. A member has that of the store

	Epoch     uint64        `json:"epoch"`      // of a member: the number of the store's history, from 1
	Listen    string        `json:"listen"`     // where others subscribe: mutual TLS; empty: nowhere
	MostLinks int           `json:"most_links"` // two to a subscriber
	Rank      int           `json:"rank"`       // 0: a member of the store; others subscribe at a lower one alone
	Site      string        `json:"site"`
	Zone      string        `json:"zone"`
	Region    string        `json:"region"`
	Upstream  []Distributor `json:"upstream"` // at which it may subscribe; the order is by nearness

	Heartbeat  float64  `json:"heartbeat_ms"`   // between two watermarks
	Silent     float64  `json:"silent_ms"`      // a distributor that says nothing for so long is left
	Bound      float64  `json:"bound_ms"`       // how far a process may be behind before it says so
	ClockBound float64  `json:"clock_bound_ms"` // how far two clocks may be apart
	Strict     []string `json:"strict"`         // refused: classes are not yet held
}

// Distributor is one that may be subscribed at.
type Distributor struct {
	Name   string `json:"name"` // of its certificate
	Addr   string `json:"addr"`
	Rank   int    `json:"rank"`
	Site   string `json:"site"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// Bounds of ranks. leafRank is that of a process at which nobody subscribes: below any distributor's.
const (
	leafRank = 100
	mostRank = 100
)

// leastSilences is how many heartbeats may be lost before a distributor is left, at least.
const leastSilences = 3

func (o *Operator) checkDistribution(doc *strictjson.Doc) {
	d := o.Distribution
	if d == nil {
		return
	}
	c := checker{doc, "distribution"}
	if doc.Has(c.at("strict")) {
		doc.Fail(c.at("strict"), "strict is not carried to the request path yet")
	}
	if d.Listen != "" {
		c.address("listen", d.Listen, false)
	}
	c.count("most_links", &d.MostLinks, 1024, 2, 1<<16)
	c.within("heartbeat_ms", &d.Heartbeat, 500, 10, 60_000)
	c.within("silent_ms", &d.Silent, max(1800, leastSilences*d.Heartbeat), leastSilences*d.Heartbeat, day)
	c.within("bound_ms", &d.Bound, max(6800, d.Silent), d.Silent, day)
	c.within("clock_bound_ms", &d.ClockBound, 250, 0, 60_000)
	if o.Store.Name != "" {
		d.checkRoot(c, o.Store)
		return
	}
	d.checkSubscriber(c)
	if o.Signed != nil {
		doc.Fail("signed", "signed goes with a member of the store: spent tokens are not distributed")
	}
}

// checkRoot holds a member of the store to what it may set: it begins a tree, and subscribes nowhere.
func (d *Distribution) checkRoot(c checker, s Store) {
	for _, field := range []string{"name", "identity", "upstream"} {
		if c.doc.Has(c.at(field)) {
			c.doc.Fail(c.at(field), "a member of the store has no %s of its own for distribution", field)
		}
	}
	if d.Epoch == 0 {
		c.doc.Fail(c.at("epoch"), "a member of the store needs epoch, from 1: the number of the store's history")
	}
	if d.Listen == "" {
		c.doc.Fail(c.at("listen"), "a member of the store needs listen: others subscribe there")
	}
	c.count("rank", &d.Rank, 0, 0, 0)
	d.Name, d.Identity = s.Name, s.Identity
}

func (d *Distribution) checkSubscriber(c checker) {
	c.given("identity", d.Identity)
	if c.doc.Has(c.at("epoch")) {
		c.doc.Fail(c.at("epoch"), "epoch is told by the members of the store")
	}
	if d.Listen != "" && !c.doc.Has(c.at("rank")) {
		c.doc.Fail(c.at("rank"), "a distributor needs rank: those that subscribe at it have a higher one")
	} else {
		c.count("rank", &d.Rank, leafRank, 1, mostRank)
	}
	if len(d.Upstream) == 0 {
		c.doc.Fail(c.at("upstream"), "a process that is not a member of the store needs upstream: where it subscribes")
	}
	names := map[string]bool{d.Name: true}
	for i, u := range d.Upstream {
		at := checker{c.doc, fmt.Sprintf("distribution.upstream[%d]", i)}
		if names[u.Name] || strings.TrimSpace(u.Name) == "" {
			c.doc.Fail(at.at("name"), "distributor %q is empty, named twice or this process itself", u.Name)
		}
		names[u.Name] = true
		at.address("addr", u.Addr, false)
		if u.Rank < 0 || u.Rank >= d.Rank {
			c.doc.Fail(at.at("rank"), "rank %d of %q is not 0 to %d: this process has rank %d", u.Rank, u.Name, d.Rank-1, d.Rank)
		}
	}
}
