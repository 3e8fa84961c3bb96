package config

import (
	"fmt"
	"strings"

	"ravenwheel/internal/strictjson"
)

// Distribution configures the tree through which the contents of the store reach processes that are not members of it. Members
// of the store are the roots of the tree. Any other process subscribes at a distributor, which is a root or a process nearer to
// one, and is a distributor itself if it has a Listen address. Times are in ms.
type Distribution struct {
	Name     string `json:"name"`     // in the certificate; empty: the proxy's name. A member uses the store's name
	Identity string `json:"identity"` // directory of ca.crt, NAME.crt and NAME.key. A member uses the store's

	Epoch            uint64        `json:"epoch"`      // of a member: number of the store's history, from 1; rises if it begins anew
	Listen           string        `json:"listen"`     // address for subscribers, over mutual TLS; empty: not a distributor
	MaxLinks         int           `json:"most_links"` // from subscribers; each uses two
	Rank             int           `json:"rank"`       // 0: a member of the store; others subscribe only at lower ranks
	Site             string        `json:"site"`
	Zone             string        `json:"zone"`
	Region           string        `json:"region"`
	Distributors     []Distributor `json:"upstream"`       // where this process may subscribe; the nearest one is preferred
	HeartbeatMs      float64       `json:"heartbeat_ms"`   // interval between two watermarks of a stream
	SilenceTimeoutMs float64       `json:"silent_ms"`      // after so long without data, the process changes to another distributor
	MaxLagMs         float64       `json:"bound_ms"`       // a process that is further behind reports it
	MaxClockSkewMs   float64       `json:"clock_bound_ms"` // largest difference between the clocks of two machines
	StrictClasses    []string      `json:"strict"`         // not implemented: a file that sets it is rejected
}

// Distributor is a process at which others subscribe.
type Distributor struct {
	Name   string `json:"name"` // in its certificate
	Addr   string `json:"addr"`
	Rank   int    `json:"rank"`
	Site   string `json:"site"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

const (
	// leafRank is the default rank of a process that is not a distributor.
	leafRank = 100
	// maxRank is the highest rank, the one of a leaf of the tree.
	maxRank = 100
	// minMissedHeartbeats is the smallest number of missed heartbeats after which a process may change to another distributor.
	minMissedHeartbeats = 3
	// defaultSilenceTimeoutMs and defaultMaxLagMs apply unless the lower bound of the value, which depends on others, is higher.
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
		doc.Failf("signed", "signed is only allowed in a member of the store: redeemed tokens are not distributed")
	}
}

func (d *Distribution) checkTimes(c checker) {
	c.number("heartbeat_ms", &d.HeartbeatMs, valueRange{500, 10, 60_000})
	minSilence := minMissedHeartbeats * d.HeartbeatMs
	c.number("silent_ms", &d.SilenceTimeoutMs, valueRange{max(defaultSilenceTimeoutMs, minSilence), minSilence, dayMs})
	c.number("bound_ms", &d.MaxLagMs, valueRange{max(defaultMaxLagMs, d.SilenceTimeoutMs), d.SilenceTimeoutMs, dayMs})
	c.number("clock_bound_ms", &d.MaxClockSkewMs, valueRange{250, 0, 60_000})
}

// checkRoot validates the configuration of a member of the store, which is a root of the tree and subscribes nowhere.
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

// check validates one distributor. repeated says that its name was used before; ownRank is the rank of the subscriber.
func (d Distributor) check(c checker, repeated bool, ownRank int) {
	if repeated || strings.TrimSpace(d.Name) == "" {
		c.doc.Failf(c.path("name"), "distributor name %q is empty, named twice or the name of this process", d.Name)
	}
	c.address("addr", d.Addr, false)
	if d.Rank < 0 || d.Rank >= ownRank {
		c.doc.Failf(c.path("rank"), "rank %d of %q is not from 0 to %d: it must be lower than the rank of this process, %d", d.Rank, d.Name, ownRank-1, ownRank)
	}
}
