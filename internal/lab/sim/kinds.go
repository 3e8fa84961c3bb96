package sim

import (
	"fmt"
	"slices"
	"strings"

	"ravenwheel/internal/strictjson"
	"ravenwheel/policy"
)

// checkKinds holds what settings of operators differ in to its bounds.
func (s *Spec) checkKinds(doc *strictjson.Document, within func(path string, v, least, most float64)) {
	f := s.Fleet
	oneOf := func(path, value string, words []string) {
		if !slices.Contains(words, value) {
			doc.Failf(path, "%s %q is none of %s", path[strings.LastIndexByte(path, '.')+1:], value,
				strings.TrimPrefix(strings.Join(words, ", "), ", "))
		}
	}
	perBranch := func(path string, list []int) {
		if len(list) > 0 && len(list) != f.Branches {
			doc.Failf(path, "%d numbers for %d branches", len(list), f.Branches)
		}
		for i, n := range list {
			within(fmt.Sprintf("%s[%d]", path, i), float64(n), 1, 10_000)
		}
	}
	perBranch("fleet.branch_caches", f.BranchCaches)
	perBranch("fleet.branch_proxies", f.BranchProxies)
	for i, x := range f.Sizes {
		within(fmt.Sprintf("fleet.cache_sizes[%d]", i), x, 0.01, 100)
	}
	within("fleet.weights_off", f.WeightsOff, 0, 0.9)
	within("fleet.fill_pace", f.FillPace, 0.01, 1000)
	within("fleet.fills_at_once", float64(f.Fills), 0, 1e6)
	if f.ParentFrom != 0 {
		within("fleet.parent_cold_from", f.ParentFrom, 0.001, 1)
	}
	within("fleet.parent_warm_ms", f.ParentWarm, 0, 1e12)
	if f.ParentFalls != 0 {
		within("fleet.parent_falls_at", f.ParentFalls, 1, 1e6)
	}
	within("clients.try_share", s.Clients.TryFrom, 0.01, 1)
	oneOf("clients.wait", s.Clients.Wait, waitKinds)
	for i, c := range s.Traffic.Classes {
		at := fmt.Sprintf("traffic.classes[%d]", i)
		oneOf(at+".effect", c.Effect, effectKinds)
		switch {
		case c.Effect == "keyed":
			within(at+".window_ms", c.Window, 1, 1e7)
		case c.Window != 0:
			doc.Failf(at+".window_ms", "window_ms goes with effect keyed")
		}
	}
	for i, t := range s.Troubles {
		at := fmt.Sprintf("troubles[%d]", i)
		if !slices.Contains(troubleKinds, t.Kind) {
			doc.Failf(at+".kind", "kind %q is none of %s", t.Kind, strings.Join(troubleKinds, ", "))
		}
		within(at+".at_s", t.At, 0, s.Seconds)
		within(at+".for_s", t.For, 0, s.Seconds)
		within(at+".size", t.Size, 0, 1000)
		within(at+".extra", t.Extra, 0, 1000)
	}
}

// caches and proxies are how many a branch has; part is its part of what all branches have on average.
func (f Fleet) caches(branch int) int {
	if len(f.BranchCaches) > 0 {
		return f.BranchCaches[branch]
	}
	return f.Caches
}

func (f Fleet) proxies(branch int) int {
	if len(f.BranchProxies) > 0 {
		return f.BranchProxies[branch]
	}
	return f.Proxies
}

func (f Fleet) part(branch int) float64 {
	if len(f.BranchCaches) == 0 {
		return 1
	}
	total := 0
	for _, n := range f.BranchCaches[:f.Branches] {
		total += n
	}
	return float64(f.BranchCaches[branch]*f.Branches) / float64(total)
}

// size is how many times the usual a cache is, by its number among all.
func (f Fleet) size(no int) float64 {
	if len(f.Sizes) == 0 {
		return 1
	}
	return f.Sizes[no%len(f.Sizes)]
}

// cold is the fall of caches or, where they differ, that of parents.
func (f Fleet) cold(parent bool) policy.WarmUp {
	x := policy.WarmUp{InitialCapacity: f.ColdFrom, Duration: ns(f.WarmIn), OverloadMultiple: f.FallsAt, OverloadWindow: ns(f.FallsIn)}
	if !parent {
		return x
	}
	if f.ParentFrom > 0 {
		x.InitialCapacity = f.ParentFrom
	}
	if f.ParentWarm > 0 {
		x.Duration = ns(f.ParentWarm)
	}
	if f.ParentFalls > 0 {
		x.OverloadMultiple = f.ParentFalls
	}
	return x
}

// The kinds of servers, as settings number them.
const (
	kindCache = iota
	kindParent
	kindOrigin
)

// Settings are what a proxy of a branch is told: what every proxy knows, and nothing of the truth beyond. Hubs are the first
// zones, and branches follow; kinds are caches, parents and the origin.
func (s Spec) Settings(branch, rank int) policy.Settings {
	f := s.Fleet
	out := policy.Settings{
		Rank: rank, Zone: f.Hubs + branch, ParentKind: kindParent, OriginKind: kindOrigin,
		SiblingFills: policy.SiblingsInZone, OutcomeDetail: policy.DetailAll, TransferKBPerS: f.Flow, PurgeDuration: ns(f.PurgeTakes),
		PurgeGrace: ns(s.Rules.Purge), DrainGrace: ns(s.Rules.Drain), FinalAnswerGrace: ns(s.Rules.Answer),
		CacheWarmUp: f.cold(false), ParentWarmUp: f.cold(true), MayBypassCaches: f.Direct, CoalescesFills: f.Joins,
		WeightsKnown: f.WeightsTold, MaxAttempts: mostTries, CanCancel: true, SendsRetryAfter: s.Clients.Most > 0,
		MaxRetryAfter: ns(s.Clients.Most), ConnectTimeout: ns(connectWithin),
	}
	for h := range f.Hubs {
		out.ZoneRouters = append(out.ZoneRouters, 0)
		out.HomeHub = append(out.HomeHub, h)
	}
	out.LinkKBPerS = make([]float64, f.Hubs+f.Branches)
	for b := range f.Branches {
		out.ZoneRouters = append(out.ZoneRouters, f.proxies(b))
		out.HomeHub = append(out.HomeHub, b%f.Hubs)
		out.Routers += f.proxies(b)
		if f.LinksTold {
			out.LinkKBPerS[f.Hubs+b] = f.BranchLink * f.part(b) * f.Flow
		}
	}
	for _, c := range s.Traffic.Classes {
		out.Classes = append(out.Classes, policy.Class{
			LatencyObjective: ns(c.Target), ObjectiveStretch: c.Stretch, Deadline: ns(c.Deadline), PriorityWeight: c.Worth, LateFraction: c.Late,
			Multipart: c.Parts > 1, Uncached: c.Write, Idempotency: c.repeats(), DedupScope: policy.DedupAll, DedupWindow: ns(c.Window),
		})
	}
	return out
}
