package wire

import (
	"encoding/json"
	"fmt"

	"ravenwheel/policy"
)

// env holds the settings as they come; keys that it does not list are skipped.
type env struct {
	NInstances, Rank, Zone int
	Discovery, Weights     string
	TickUs                 int64
	Bounds                 struct {
		Cancel, RetryAfter                bool
		MostTries                         int
		MaxRetryAfterUs, ConnectTimeoutUs int64
	}
	Rules struct {
		AnswerSlackUs, AskWithinUs, DrainGraceUs, FallUs, WarmWithinUs int64
		ColdFrom, FallMultiple                                         float64
	}
	Grades []struct {
		TargetUs, DeadlineUs, WindowUs int64
		AimStretch, LateValue, Worth   float64
		Effect, Group                  string
		Stream                         bool
	}
	FamilyInfo struct {
		ClassFreshUs, StaleForUs       []int64
		ClassStaleWorth                []float64
		InParts, Uncached              []bool
		MayPassBy, SharesFills         bool
		FlowKbPerS, OriginFallMultiple float64
		OriginBearsUs, ParentWarmsInUs int64
		ParentColdFrom, ParentBreaksAt float64
		RootKind, SecondTierKind       *int
		PurgeTakesUs, NoticeTimeUs     int64
		PeersFill, NoteLevel           string
		ZoneBalancers, HomeHub         []int
		ZoneLinkKbPerS                 []float64
	}
}

var (
	effects = map[string]policy.Effect{
		"idempotent": policy.Safe, "deduplicated": policy.Keyed, "at_most_once": policy.Unsafe,
	}
	groups  = map[string]policy.Group{"all": policy.GroupAll, "zone": policy.GroupZone, "cell": policy.GroupCell}
	reaches = map[string]policy.Reach{
		"silent": policy.ReachNone, "location": policy.ReachLocation, "any": policy.ReachAny,
	}
	details = map[string]policy.Detail{
		"silent": policy.DetailNone, "hit": policy.DetailHit, "all": policy.DetailAll,
	}
)

// noEffect is what an effect of unknown name becomes; policy.New says so.
const noEffect = policy.Effect(-1)

func at[T any](list []T, i int) (v T) {
	if i < len(list) {
		v = list[i]
	}
	return v
}

// DecodeSettings reads the settings object of the simulator and of the platform's configuration.
func DecodeSettings(raw json.RawMessage) (policy.Settings, error) {
	var e env
	if err := json.Unmarshal(raw, &e); err != nil {
		return policy.Settings{}, fmt.Errorf("settings: %w", err)
	}
	f := e.FamilyInfo
	kind := func(k *int) int {
		if k == nil {
			return -1
		}
		return *k
	}
	s := policy.Settings{
		Rank: e.Rank, Routers: e.NInstances, Zone: e.Zone, ZoneRouters: f.ZoneBalancers, HomeHub: f.HomeHub,
		LinkKBPerS: f.ZoneLinkKbPerS, ParentKind: kind(f.SecondTierKind), OriginKind: kind(f.RootKind),
		MayPassBy: f.MayPassBy, Siblings: reaches[f.PeersFill], SharesFills: f.SharesFills,
		Details: details[f.NoteLevel], FlowKBPerS: f.FlowKbPerS,
		PurgeTakes: us(f.PurgeTakesUs), PurgeNotice: us(f.NoticeTimeUs),
		OriginMultiple: f.OriginFallMultiple, OriginBears: us(f.OriginBearsUs),
		AskDiscovery: e.Discovery == "ask", AskWithin: us(e.Rules.AskWithinUs), DrainGrace: us(e.Rules.DrainGraceUs),
		CacheFall: policy.Fall{
			ColdFrom: e.Rules.ColdFrom, WarmWithin: us(e.Rules.WarmWithinUs),
			Multiple: e.Rules.FallMultiple, Within: us(e.Rules.FallUs),
		},
		ParentFall: policy.Fall{
			ColdFrom: f.ParentColdFrom, WarmWithin: us(f.ParentWarmsInUs),
			Multiple: f.ParentBreaksAt, Within: us(e.Rules.FallUs),
		},
		AnswerSlack: us(e.Rules.AnswerSlackUs),
		WeightsTold: e.Weights == "nominal" || e.Weights == "rough",
		MaxTries:    e.Bounds.MostTries, Cancel: e.Bounds.Cancel, RetryAfter: e.Bounds.RetryAfter,
		MaxRetryAfter: us(e.Bounds.MaxRetryAfterUs), ConnectWithin: us(e.Bounds.ConnectTimeoutUs), Tick: us(e.TickUs),
	}
	for i, g := range e.Grades {
		effect, ok := effects[g.Effect]
		if !ok {
			effect = noEffect
		}
		s.Classes = append(s.Classes, policy.Class{
			Target: us(g.TargetUs), AimStretch: g.AimStretch, Deadline: us(g.DeadlineUs), Worth: g.Worth,
			LateValue: g.LateValue, Effect: effect, Group: groups[g.Group], Window: us(g.WindowUs), Stream: g.Stream,
			Uncached: at(f.Uncached, i), InParts: at(f.InParts, i), Fresh: us(at(f.ClassFreshUs, i)),
			StaleFor: us(at(f.StaleForUs, i)), StaleWorth: at(f.ClassStaleWorth, i),
		})
	}
	return s, nil
}
