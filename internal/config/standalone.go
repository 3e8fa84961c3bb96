package config

import (
	"cmp"
	"fmt"
	"slices"

	"ravenwheel/internal/strictjson"
)

// Proxy is the identity of a proxy that runs without the platform.
type Proxy struct {
	Name   string `json:"name"`
	Listen string `json:"listen"` // for clients
	Zone   string `json:"zone"`
	Seed   uint64 `json:"seed"` // of all random draws; 0: drawn at the start
	Rank   int    `json:"rank"` // among all proxies, from 0
}

// Limits bound the resources that a proxy uses and the requests that it accepts.
type Limits struct {
	Cores            float64 `json:"cores"`
	MemoryMB         int     `json:"memory_mb"` // 0: not bounded
	Sockets          int     `json:"sockets"`
	MaxOpenRequests  int     `json:"requests"`
	MaxAttempts      int     `json:"tries"`                  // for one request
	AttemptsPerConn  int     `json:"streams_per_connection"` // attempts in flight on one connection
	ConnectTimeoutMs float64 `json:"connect_ms"`
	IdleTimeoutMs    float64 `json:"idle_ms"`    // after which a cache server closes an idle connection
	MaxRetryAfterMs  float64 `json:"backoff_ms"` // advice to clients with a rejection; 0: none
}

// Site is what all proxies of a site share.
type Site struct {
	Zones               []string           `json:"zones"`
	HomeHub             map[string]string  `json:"home_hub"`      // by zone, the hub zone to which it is attached; of zones with clients
	Proxies             map[string]int     `json:"proxies"`       // how many, by zone; a zone without has no clients
	LinkKBPerSecond     map[string]float64 `json:"link_kb_per_s"` // by zone
	Kinds               []string           `json:"kinds"`         // of servers
	ParentKind          string             `json:"parent_kind"`   // empty: there are no parents
	OriginKind          string             `json:"origin_kind"`
	TransferKBPerSecond float64            `json:"flow_kb_per_s"` // of one transfer to a client; 0: not known
	SiblingFills        string             `json:"siblings"`      // from which siblings a server may fill: none, location or any
	HedgedRequests      bool               `json:"second_copies"` // read for compatibility, and not used
	MayBypassCaches     bool               `json:"direct"`        // a request may go straight to a parent or the origin
	CoalescesFills      bool               `json:"joins"`         // a request may join a fill that is in flight
	DrainGraceMs        float64            `json:"drain_grace_ms"`
	PurgeGraceMs        float64            `json:"purge_grace_ms"`
	PurgeDurationMs     float64            `json:"purge_takes_ms"`
	FinalAnswerGraceMs  float64            `json:"answer_slack_ms"`
	CacheWarmUp         *WarmUp            `json:"cold"`
	ParentWarmUp        *WarmUp            `json:"parent_cold"`
}

// WarmUp is how much load a server takes after its start, and what overloads it.
type WarmUp struct {
	InitialCapacity  float64 `json:"from"`            // fraction of the full capacity at the start
	DurationMs       float64 `json:"warm_within_ms"`  // until the full capacity
	OverloadMultiple float64 `json:"falls_at"`        // a load of so many times the present capacity
	OverloadWindowMs float64 `json:"falls_within_ms"` // crashes the server within so long
}

// The effects of a class: what repeating a request may do.
const (
	effectIdempotent   = "idempotent"
	effectDeduplicated = "deduplicated"
	effectAtMostOnce   = "at_most_once"
)

var effects = []string{effectIdempotent, effectDeduplicated, effectAtMostOnce}

// Class is one class of requests.
type Class struct {
	Name               string  `json:"name"`
	LatencyObjectiveMs float64 `json:"target_ms"` // the latency objective
	ObjectiveStretch   float64 `json:"stretch"`   // the objective grows by so many times the transfer time
	DeadlineMs         float64 `json:"deadline_ms"`
	PriorityWeight     float64 `json:"worth"`
	LateFraction       float64 `json:"late_value"` // of the weight, for an answer after the objective
	Effect             string  `json:"effect"`     // idempotent, deduplicated or at_most_once
	DedupScope         string  `json:"group"`      // of deduplicated requests: all, zone or cell
	DedupWindowMs      float64 `json:"window_ms"`  // of deduplicated requests: how long repeats are discarded
	Uncached           bool    `json:"uncached"`   // runs at the origin and is never cached
	InParts            bool    `json:"in_parts"`   // objects are requested part by part
	FreshMs            float64 `json:"fresh_ms"`   // 0: until purged
	StaleMs            float64 `json:"stale_ms"`   // how long after that a stale copy may be served
	StaleFraction      float64 `json:"stale_worth"`
}

// checkStandalone validates the parts that take the place of the platform's configuration.
func (f *OperatorFile) checkStandalone(doc *strictjson.Document) {
	c := checker{doc, "proxy"}
	c.required("name", f.Proxy.Name)
	c.address("listen", f.Proxy.Listen, false)
	c.count("rank", &f.Proxy.Rank, valueRange{0, 0, maxProxies})
	c.knownName("zone", "zone", f.Proxy.Zone, f.Site.Zones)
	f.Limits.check(checker{doc, "limits"})
	f.Site.check(checker{doc, "site"}, f.Proxy.Zone)
	f.checkClasses(doc)
}

func (l *Limits) check(c checker) {
	c.number("cores", &l.Cores, valueRange{1, 0.1, 256})
	c.count("memory_mb", &l.MemoryMB, valueRange{0, 0, maxCount})
	c.count("sockets", &l.Sockets, valueRange{1024, 32, maxCount})
	c.count("requests", &l.MaxOpenRequests, openRequestsRange)
	c.count("tries", &l.MaxAttempts, valueRange{8, 1, 64})
	c.count("streams_per_connection", &l.AttemptsPerConn, attemptsPerConnRange)
	c.number("connect_ms", &l.ConnectTimeoutMs, connectTimeoutMsRange)
	c.number("idle_ms", &l.IdleTimeoutMs, idleTimeoutMsRange)
	c.number("backoff_ms", &l.MaxRetryAfterMs, valueRange{500, 0, 60_000})
}

const (
	// maxNames bounds the zones and the kinds of a site.
	maxNames = 256
	// maxProxies bounds the proxies of a zone, and the ranks.
	maxProxies = 10_000
)

func (s *Site) check(c checker, ownZone string) {
	c.names("zones", s.Zones)
	c.names("kinds", s.Kinds)
	s.checkKinds(c)
	s.checkZones(c, ownZone)
	s.SiblingFills = cmp.Or(s.SiblingFills, "location")
	c.oneOf("siblings", s.SiblingFills, "none", "location", "any")
	c.number("flow_kb_per_s", &s.TransferKBPerSecond, valueRange{0, 0, 1e9})
	c.number("drain_grace_ms", &s.DrainGraceMs, valueRange{2000, 0, dayMs})
	c.number("purge_grace_ms", &s.PurgeGraceMs, valueRange{1000, 0, dayMs})
	c.number("purge_takes_ms", &s.PurgeDurationMs, valueRange{6000, 0, dayMs})
	c.number("answer_slack_ms", &s.FinalAnswerGraceMs, valueRange{50, 0, 60_000})
	s.CacheWarmUp = checkWarmUp(checker{c.doc, "site.cold"}, s.CacheWarmUp, WarmUp{0.15, 18_000, 3, 3000})
	s.ParentWarmUp = checkWarmUp(checker{c.doc, "site.parent_cold"}, s.ParentWarmUp, WarmUp{0.06, 22_000, 2, 3000})
}

// names reports a list that is empty or too long, and names that are empty or repeated.
func (c checker) names(field string, list []string) {
	if len(list) == 0 || len(list) > maxNames {
		c.doc.Failf(c.path(field), "site needs 1 to %d %s", maxNames, field)
	}
	for i, name := range list {
		if name == "" || slices.Index(list, name) != i {
			c.doc.Failf(fmt.Sprintf("%s[%d]", c.path(field), i), "%q is empty or named twice", name)
		}
	}
}

func (s *Site) checkKinds(c checker) {
	if s.ParentKind != "" {
		c.knownName("parent_kind", "kind", s.ParentKind, s.Kinds)
	}
	c.knownName("origin_kind", "kind", s.OriginKind, s.Kinds)
	if s.ParentKind == s.OriginKind {
		c.doc.Failf(c.path("origin_kind"), "origin_kind is also parent_kind: parents and the origin must be of different kinds")
	}
}

// checkZones validates what is given by zone.
func (s *Site) checkZones(c checker, ownZone string) {
	for zone, hub := range s.HomeHub {
		c.knownName("home_hub."+zone, "zone", zone, s.Zones)
		c.knownName("home_hub."+zone, "zone", hub, s.Zones)
	}
	for zone, count := range s.Proxies {
		c.knownName("proxies."+zone, "zone", zone, s.Zones)
		if count < 0 || count > maxProxies {
			c.doc.Failf(c.path("proxies."+zone), "proxies %d is not from 0 to %d", count, maxProxies)
		}
	}
	if s.Proxies[ownZone] < 1 && slices.Contains(s.Zones, ownZone) {
		c.doc.Failf(c.path("proxies"), "this proxy is in zone %q, but proxies has no count of 1 or more for that zone", ownZone)
	}
	for zone, rate := range s.LinkKBPerSecond {
		c.knownName("link_kb_per_s."+zone, "zone", zone, s.Zones)
		if rate < 0 {
			c.doc.Failf(c.path("link_kb_per_s."+zone), "link rate %v KB/s is below 0", rate)
		}
	}
}

// checkWarmUp validates one slow start, and returns it with the defaults in place of what is absent.
func checkWarmUp(c checker, given *WarmUp, defaults WarmUp) *WarmUp {
	if given == nil {
		given = &WarmUp{}
	}
	c.number("from", &given.InitialCapacity, valueRange{defaults.InitialCapacity, 0.001, 1})
	c.number("warm_within_ms", &given.DurationMs, valueRange{defaults.DurationMs, 0, dayMs})
	c.number("falls_at", &given.OverloadMultiple, valueRange{defaults.OverloadMultiple, 1, 1000})
	c.number("falls_within_ms", &given.OverloadWindowMs, valueRange{defaults.OverloadWindowMs, 1, dayMs})
	return given
}

func (f *OperatorFile) checkClasses(doc *strictjson.Document) {
	names := map[string]bool{}
	for i := range f.Classes {
		class := &f.Classes[i]
		class.check(checker{doc, fmt.Sprintf("classes[%d]", i)}, names[class.Name])
		names[class.Name] = true
	}
}

func (k *Class) check(c checker, repeated bool) {
	if !validClassName(k.Name, repeated) {
		c.doc.Failf(c.path("name"), "class name %q is empty, named twice or contains a space, a comma, an equals sign or a line break", k.Name)
	}
	k.Effect = cmp.Or(k.Effect, effectIdempotent)
	c.oneOf("effect", k.Effect, effects...)
	c.oneOf("group", k.DedupScope, "", "all", "zone", "cell")
	c.number("deadline_ms", &k.DeadlineMs, valueRange{0, 1, dayMs})
	c.number("target_ms", &k.LatencyObjectiveMs, valueRange{k.DeadlineMs, 1, k.DeadlineMs})
	c.number("stretch", &k.ObjectiveStretch, valueRange{0, 0, 1000})
	c.number("worth", &k.PriorityWeight, valueRange{1, 0, 1e6})
	c.number("late_value", &k.LateFraction, valueRange{0.1, 0, 1})
	c.number("window_ms", &k.DedupWindowMs, valueRange{0, 0, dayMs})
	if k.Effect == effectDeduplicated && k.DedupWindowMs == 0 {
		c.doc.Failf(c.path("window_ms"), "a deduplicated class needs window_ms: for how long repeats are discarded")
	}
	c.number("fresh_ms", &k.FreshMs, valueRange{0, 0, 365 * dayMs})
	c.number("stale_ms", &k.StaleMs, valueRange{0, 0, 365 * dayMs})
	c.number("stale_worth", &k.StaleFraction, valueRange{0.7, 0, 1})
	if k.Uncached && k.FreshMs > 0 {
		c.doc.Failf(c.path("fresh_ms"), "fresh_ms is not allowed with uncached: answers of an uncached class are never cached")
	}
}
