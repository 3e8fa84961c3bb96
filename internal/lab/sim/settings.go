package sim

import (
	"time"

	"ravenwheel/policy"
)

// The kinds of servers, as policy.Settings numbers them.
const (
	kindCache = iota
	kindParent
	kindOrigin
)

// connectTimeout is the connect time-out, in ms, in the proxies' settings. In the model, connecting to a dead server fails at once.
const connectTimeout = 400

// maxAttempts is the number of attempts that a proxy may make for one request.
const maxAttempts = 8

// Settings returns the settings of a proxy of a branch; rank is the proxy's index among all proxies. The first zones are the hubs,
// and the branches follow.
func (s Scenario) Settings(branch, rank int) policy.Settings {
	f := s.Fleet
	settings := policy.Settings{
		RouterIndex: rank, Zone: f.Hubs + branch, ParentKind: kindParent, OriginKind: kindOrigin,
		SiblingFills: policy.SiblingsInZone, OutcomeDetail: policy.DetailAll, TransferKBPerS: f.TransferKBPerS,
		PurgeDuration: duration(f.PurgeDuration), PurgeGrace: duration(s.Rules.PurgeGrace), DrainGrace: duration(s.Rules.DrainGrace),
		FinalAnswerGrace: duration(s.Rules.AnswerGrace), CacheWarmUp: f.warmUp(kindCache), ParentWarmUp: f.warmUp(kindParent),
		MayBypassCaches: f.MayBypassCaches, CoalescesFills: f.CoalescesFills, WeightsKnown: f.WeightsKnown, MaxAttempts: maxAttempts,
		CanCancel: true, SendsRetryAfter: s.Clients.MaxRetryAfter > 0, MaxRetryAfter: duration(s.Clients.MaxRetryAfter),
		ConnectTimeout: duration(connectTimeout),
	}
	for hub := range f.Hubs {
		settings.ZoneRouters = append(settings.ZoneRouters, 0)
		settings.HomeHub = append(settings.HomeHub, hub)
	}
	settings.LinkKBPerS = make([]float64, f.Hubs+f.Branches)
	for b := range f.Branches {
		settings.ZoneRouters = append(settings.ZoneRouters, f.proxies(b))
		settings.HomeHub = append(settings.HomeHub, b%f.Hubs)
		settings.Routers += f.proxies(b)
		if f.LinksKnown {
			settings.LinkKBPerS[f.Hubs+b] = f.BranchBandwidth * f.relativeSize(b) * f.TransferKBPerS
		}
	}
	for _, c := range s.Traffic.Classes {
		settings.Classes = append(settings.Classes, policy.Class{
			LatencyObjective: duration(c.LatencyObjective), ObjectiveStretch: c.ObjectiveStretch, Deadline: duration(c.Deadline),
			PriorityWeight: c.PriorityWeight, LateFraction: c.LateFraction, Multipart: c.PartsPerObject > 1, Uncached: c.Write,
			Idempotency: c.idempotency(), DedupScope: policy.DedupAll, DedupWindow: duration(c.DedupWindow),
		})
	}
	return settings
}

// caches returns the number of caches of a branch.
func (f Fleet) caches(branch int) int {
	if len(f.BranchCaches) > 0 {
		return f.BranchCaches[branch]
	}
	return f.CachesPerBranch
}

// proxies returns the number of proxies of a branch.
func (f Fleet) proxies(branch int) int {
	if len(f.BranchProxies) > 0 {
		return f.BranchProxies[branch]
	}
	return f.ProxiesPerBranch
}

// relativeSize returns the number of caches of a branch over the mean number of all branches.
func (f Fleet) relativeSize(branch int) float64 {
	if len(f.BranchCaches) == 0 {
		return 1
	}
	total := 0
	for _, n := range f.BranchCaches[:f.Branches] {
		total += n
	}
	return float64(f.BranchCaches[branch]*f.Branches) / float64(total)
}

// cacheSize returns the factor on the bandwidth, KB and slots of a cache; number is the cache's index among all caches.
func (f Fleet) cacheSize(number int) float64 {
	if len(f.CacheSizes) == 0 {
		return 1
	}
	return f.CacheSizes[number%len(f.CacheSizes)]
}

// warmUp returns how servers of a kind warm up. Parents differ from caches where the scenario has values for parents.
func (f Fleet) warmUp(kind int) policy.WarmUp {
	w := policy.WarmUp{
		InitialCapacity: f.InitialCapacity, Duration: duration(f.WarmUpTime), OverloadMultiple: f.OverloadMultiple,
		OverloadWindow: duration(f.OverloadWindow),
	}
	if kind != kindParent {
		return w
	}
	if f.ParentInitialCapacity > 0 {
		w.InitialCapacity = f.ParentInitialCapacity
	}
	if f.ParentWarmUpTime > 0 {
		w.Duration = duration(f.ParentWarmUpTime)
	}
	if f.ParentOverloadMultiple > 0 {
		w.OverloadMultiple = f.ParentOverloadMultiple
	}
	return w
}

// duration converts a time in ms.
func duration(ms float64) time.Duration { return time.Duration(ms * 1e6) }

// milliseconds converts a duration to ms.
func milliseconds(d time.Duration) float64 { return float64(d) / 1e6 }
