package config

import (
	"math/rand/v2"
	"slices"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/source/discoveryclient"
	"ravenwheel/policy"
)

// The values of package policy for the words that an operator's file may use.
var (
	siblingScopes = map[string]policy.SiblingScope{"none": policy.SiblingsNone, "location": policy.SiblingsInZone, "any": policy.SiblingsAny}
	idempotencies = map[string]policy.Idempotency{
		effectIdempotent: policy.Idempotent, effectDeduplicated: policy.IdempotentByKey, effectAtMostOnce: policy.NotIdempotent,
	}
	dedupScopes = map[string]policy.DedupScope{
		"": policy.DedupAll, "all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupCell,
	}
)

// standaloneConfig converts a validated file that has "proxy" to a Config.
func (f *OperatorFile) standaloneConfig() *Config {
	proxy, limits := f.Proxy, f.Limits
	c := &Config{
		Name:             proxy.Name,
		Listen:           proxy.Listen,
		Seed:             proxy.Seed,
		Cores:            limits.Cores,
		MemoryMB:         limits.MemoryMB,
		Sockets:          limits.Sockets,
		Names:            discoveryclient.Names{Zones: f.Site.Zones, Kinds: f.Site.Kinds},
		MaxOpenRequests:  limits.MaxOpenRequests,
		AttemptsPerConn:  limits.AttemptsPerConn,
		IdleTimeoutMs:    limits.IdleTimeoutMs,
		ConnectTimeoutMs: limits.ConnectTimeoutMs,
		Settings:         f.Site.settings(),
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	settings := &c.Settings
	settings.RouterIndex = proxy.Index
	settings.Zone = slices.Index(f.Site.Zones, proxy.Zone)
	settings.MaxAttempts = limits.MaxAttempts
	settings.CanCancel = true
	settings.SendsRetryAfter = limits.MaxRetryAfterMs > 0
	settings.MaxRetryAfter = clock.Duration(limits.MaxRetryAfterMs)
	settings.ConnectTimeout = clock.Duration(limits.ConnectTimeoutMs)
	for _, class := range f.Classes {
		c.Classes = append(c.Classes, class.Name)
		settings.Classes = append(settings.Classes, class.settings())
	}
	return c
}

// settings returns the settings of package policy that the site determines.
func (s *Site) settings() policy.Settings {
	settings := policy.Settings{
		ParentKind:       slices.Index(s.Kinds, s.ParentKind),
		OriginKind:       slices.Index(s.Kinds, s.OriginKind),
		MayBypassCaches:  s.MayBypassCaches,
		CoalescesFills:   s.CoalescesFills,
		SiblingFills:     siblingScopes[s.SiblingFills],
		OutcomeDetail:    policy.DetailAll,
		TransferKBPerS:   s.TransferKBPerSecond,
		PurgeDuration:    clock.Duration(s.PurgeDurationMs),
		PurgeGrace:       clock.Duration(s.PurgeGraceMs),
		DrainGrace:       clock.Duration(s.DrainGraceMs),
		FinalAnswerGrace: clock.Duration(s.FinalAnswerGraceMs),
		CacheWarmUp:      s.CacheWarmUp.settings(),
		ParentWarmUp:     s.ParentWarmUp.settings(),
		WeightsKnown:     true,
	}
	for _, zone := range s.Zones {
		settings.ZoneRouters = append(settings.ZoneRouters, s.Proxies[zone])
		settings.Routers += s.Proxies[zone]
		settings.HomeHub = append(settings.HomeHub, max(0, slices.Index(s.Zones, s.HomeHub[zone])))
		settings.LinkKBPerS = append(settings.LinkKBPerS, s.LinkKBPerSecond[zone])
	}
	return settings
}

func (s *WarmUp) settings() policy.WarmUp {
	return policy.WarmUp{
		InitialCapacity:  s.InitialCapacity,
		Duration:         clock.Duration(s.DurationMs),
		OverloadMultiple: s.OverloadMultiple,
		OverloadWindow:   clock.Duration(s.OverloadWindowMs),
	}
}

func (k *Class) settings() policy.Class {
	return policy.Class{
		LatencyObjective: clock.Duration(k.LatencyObjectiveMs),
		ObjectiveStretch: k.ObjectiveStretch,
		Deadline:         clock.Duration(k.DeadlineMs),
		PriorityWeight:   k.PriorityWeight,
		LateFraction:     k.LateFraction,
		Idempotency:      idempotencies[k.Effect],
		DedupScope:       dedupScopes[k.DedupScope],
		DedupWindow:      clock.Duration(k.DedupWindowMs),
		Uncached:         k.Uncached,
		Multipart:        k.Multipart,
		FreshFor:         clock.Duration(k.FreshMs),
		StaleFor:         clock.Duration(k.StaleMs),
		StaleFraction:    k.StaleFraction,
	}
}
