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
	Listen string `json:"listen"` // address for clients
	Zone   string `json:"zone"`
	Seed   uint64 `json:"seed"` // of the random number generator; 0: chosen at random at the start
	Index  int    `json:"rank"` // index of this proxy among all proxies, from 0
}

// Limits bound the resources that a proxy uses and the requests that it accepts.
type Limits struct {
	Cores            float64 `json:"cores"`
	MemoryMB         int     `json:"memory_mb"` // 0: not limited
	Sockets          int     `json:"sockets"`
	MaxOpenRequests  int     `json:"requests"`
	MaxAttempts      int     `json:"tries"`                  // of one request
	AttemptsPerConn  int     `json:"streams_per_connection"` // attempts in flight on one connection
	ConnectTimeoutMs float64 `json:"connect_ms"`
	IdleTimeoutMs    float64 `json:"idle_ms"`    // idle time after which a cache server closes a connection
	MaxRetryAfterMs  float64 `json:"backoff_ms"` // longest Retry-After that a rejected client gets; 0: none is sent
}

// Site is the part of the configuration that all proxies of a site share.
type Site struct {
	Zones               []string           `json:"zones"`
	HomeHub             map[string]string  `json:"home_hub"`      // hub zone of each zone that has clients
	Proxies             map[string]int     `json:"proxies"`       // number of proxies by zone; a zone without proxies has no clients
	LinkKBPerSecond     map[string]float64 `json:"link_kb_per_s"` // by zone
	Kinds               []string           `json:"kinds"`         // of servers: all names
	ParentKind          string             `json:"parent_kind"`   // empty: there are no parents
	OriginKind          string             `json:"origin_kind"`
	TransferKBPerSecond float64            `json:"flow_kb_per_s"` // of one transfer to a client; 0: not known
	SiblingFills        string             `json:"siblings"`      // siblings from which a server may fill: none, location or any
	HedgedRequests      bool               `json:"second_copies"` // accepted for compatibility and ignored
	MayBypassCaches     bool               `json:"direct"`        // a request may go straight to a parent or the origin
	CoalescesFills      bool               `json:"joins"`         // a request may join a fill that is in flight
	DrainGraceMs        float64            `json:"drain_grace_ms"`
	PurgeGraceMs        float64            `json:"purge_grace_ms"`
	PurgeDurationMs     float64            `json:"purge_takes_ms"`
	FinalAnswerGraceMs  float64            `json:"answer_slack_ms"`
	CacheWarmUp         *WarmUp            `json:"cold"`
	ParentWarmUp        *WarmUp            `json:"parent_cold"`
}

// WarmUp describes how much load a server takes after its start, and which load overloads it.
type WarmUp struct {
	InitialCapacity  float64 `json:"from"`            // fraction of the full capacity at the start
	DurationMs       float64 `json:"warm_within_ms"`  // from the start until the full capacity
	OverloadMultiple float64 `json:"falls_at"`        // load that overloads a server, as a multiple of its present capacity
	OverloadWindowMs float64 `json:"falls_within_ms"` // time under such a load after which the server crashes
}

// The effects of a class say whether its requests may be repeated.
const (
	effectIdempotent   = "idempotent"
	effectDeduplicated = "deduplicated"
	effectAtMostOnce   = "at_most_once"
)

var effects = []string{effectIdempotent, effectDeduplicated, effectAtMostOnce}

// Class is one class of requests.
type Class struct {
	Name               string  `json:"name"`
	LatencyObjectiveMs float64 `json:"target_ms"` // latency objective
	ObjectiveStretch   float64 `json:"stretch"`   // multiple of the transfer time that is added to the objective
	DeadlineMs         float64 `json:"deadline_ms"`
	PriorityWeight     float64 `json:"worth"`
	LateFraction       float64 `json:"late_value"` // fraction of the weight that an answer after the objective is worth
	Effect             string  `json:"effect"`     // idempotent, deduplicated or at_most_once
	DedupScope         string  `json:"group"`      // caches that share the discarding of repeats: all, zone or cell
	DedupWindowMs      float64 `json:"window_ms"`  // how long repeats of a deduplicated request are discarded
	Uncached           bool    `json:"uncached"`   // requests run at the origin, and answers are never cached
	Multipart          bool    `json:"in_parts"`   // objects are requested in parts
	FreshMs            float64 `json:"fresh_ms"`   // how long a copy is fresh; 0: until purged
	StaleMs            float64 `json:"stale_ms"`   // how long a copy may be served after FreshMs, as stale
	StaleFraction      float64 `json:"stale_worth"`
}

// checkStandalone validates the parts that replace the platform's configuration.
func (f *OperatorFile) checkStandalone(doc *strictjson.Document) {
	c := checker{doc, "proxy"}
	c.required("name", f.Proxy.Name)
	c.address("listen", f.Proxy.Listen, false)
	c.count("rank", &f.Proxy.Index, valueRange{0, 0, maxProxies})
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
	// maxNames is the maximum number of zones, and of kinds, of a site.
	maxNames = 256
	// maxProxies is the maximum number of proxies of a zone, and the highest Proxy.Index.
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

// names reports a list that is empty or too long, and names in it that are empty or repeated.
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

// checkZones validates the fields that have a value for each zone. ownZone is the zone of this proxy.
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

// checkWarmUp validates one warm-up and returns it, with defaults for the values that are absent. given is nil if all are absent.
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
