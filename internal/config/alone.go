package config

import (
	"math/rand/v2"
	"slices"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/debounce"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/source/discoveryclient"
	"ravenwheel/policy"
)

// Read is what a proxy is started with: from the platform, or from an operator's file that has "proxy".
func Read(getenv func(string) string, o *Operator) (*Config, error) {
	if o.Proxy == nil {
		return Load(getenv)
	}
	return o.alone(), nil
}

// alone makes of a file that was checked what the platform would have told.
func (o *Operator) alone() *Config {
	p, l, s := o.Proxy, o.Limits, o.Site
	c := &Config{
		Name: p.Name, Listen: p.Listen, Seed: p.Seed, Cores: l.Cores, MemoryMB: l.MemoryMB, Sockets: l.Sockets,
		Names: discoveryclient.Names{Zones: s.Zones, Kinds: s.Kinds}, StreamsPerConn: l.StreamsPerConn, MostHeld: l.Requests,
		ConnIdle: l.Idle, Connect: l.Connect,
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	ms := clock.Duration
	fall := func(c *Cold) policy.WarmUp {
		return policy.WarmUp{InitialCapacity: c.From, Duration: ms(c.WarmWithin), OverloadMultiple: c.Multiple, OverloadWindow: ms(c.Within)}
	}
	set := policy.Settings{
		Rank: p.Rank, Zone: slices.Index(s.Zones, p.Zone), ParentKind: slices.Index(s.Kinds, s.ParentKind),
		OriginKind: slices.Index(s.Kinds, s.OriginKind), MayBypassCaches: s.Direct, CoalescesFills: s.Joins, OutcomeDetail: policy.DetailAll, TransferKBPerS: s.Flow,
		SiblingFills:  map[string]policy.SiblingScope{"none": policy.SiblingsNone, "location": policy.SiblingsInZone, "any": policy.SiblingsAny}[s.Siblings],
		PurgeDuration: ms(s.PurgeTakes), PurgeGrace: ms(s.PurgeGrace), DrainGrace: ms(s.DrainGrace),
		CacheWarmUp: fall(s.Cold), ParentWarmUp: fall(s.ParentCold), FinalAnswerGrace: ms(s.AnswerSlack), WeightsKnown: true,
		MaxAttempts: l.Tries, CanCancel: true, SendsRetryAfter: l.Backoff > 0,
		MaxRetryAfter: ms(l.Backoff), ConnectTimeout: ms(l.Connect),
	}
	for _, z := range s.Zones {
		set.ZoneRouters = append(set.ZoneRouters, s.Proxies[z])
		set.Routers += s.Proxies[z]
		set.HomeHub = append(set.HomeHub, max(0, slices.Index(s.Zones, s.HomeHub[z])))
		set.LinkKBPerS = append(set.LinkKBPerS, s.Links[z])
	}
	for _, k := range o.Classes {
		c.Classes = append(c.Classes, k.Name)
		set.Classes = append(set.Classes, policy.Class{
			LatencyObjective: ms(k.Target), ObjectiveStretch: k.Stretch, Deadline: ms(k.Deadline), PriorityWeight: k.Worth, LateFraction: k.LateValue,
			Idempotency: map[string]policy.Idempotency{"idempotent": policy.Idempotent, "deduplicated": policy.IdempotentByKey, "at_most_once": policy.NotIdempotent}[k.Effect],
			DedupScope:  map[string]policy.DedupScope{"": policy.DedupAll, "all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupCell}[k.Group],
			DedupWindow: ms(k.Window), Uncached: k.Uncached, Multipart: k.InParts, FreshFor: ms(k.Fresh), StaleFor: ms(k.Stale), StaleFraction: k.StaleWorth,
		})
	}
	c.Settings = set
	return c
}

// Facts are what lists of servers are held against.
func (c *Config) Facts(mostDropped float64) serverlist.Facts {
	name := func(i int) string {
		if i < 0 || i >= len(c.Names.Kinds) {
			return ""
		}
		return c.Names.Kinds[i]
	}
	f := serverlist.Facts{
		Zones: c.Names.Zones, Kinds: c.Names.Kinds, ParentKind: name(c.Settings.ParentKind), OriginKind: name(c.Settings.OriginKind),
		MostDropped: mostDropped,
	}
	for i, n := range c.Settings.ZoneRouters {
		if n > 0 && i < len(c.Names.Zones) {
			f.Clients = append(f.Clients, c.Names.Zones[i])
		}
	}
	for _, k := range c.Settings.Classes {
		f.Writes = f.Writes || k.Uncached
	}
	return f
}

// Entries are a list's servers as the ledger takes them.
func (c *Config) Entries(set *serverlist.Set) []membership.Entry {
	out := make([]membership.Entry, len(set.Servers))
	for i, s := range set.Servers {
		e := &out[i]
		e.ID, e.Addr, e.Cell, e.Weight, e.Warm = s.ID, s.Addr, s.Cell, s.Weight, s.Warm
		e.Zone, e.Kind = slices.Index(c.Names.Zones, s.Zone), slices.Index(c.Names.Kinds, s.Kind)
		if e.Started = policy.Time(s.Started * 1e6); s.Draining {
			e.State = policy.Draining
		}
	}
	return out
}

// Settle are the figures of a watched list.
func (s *Servers) Settle() debounce.Settings {
	return debounce.Settings{Quiet: s.Quiet, Most: s.Most, Poll: s.Poll}
}
