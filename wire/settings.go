package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"time"

	"ravenwheel/policy"
)

// env holds the settings as they come; keys that it does not list are skipped. Whole numbers are read as any number is:
// nothing says that a writer of JSON puts 1500000 where another puts 1500000.0 or 1.5e6.
type env struct {
	NInstances, Rank, Zone float64
	Discovery, Weights     string
	TickUs                 float64
	Bounds                 struct {
		Cancel, RetryAfter                           bool
		MostTries, MaxRetryAfterUs, ConnectTimeoutUs float64
	}
	Rules struct {
		AnswerSlackUs, AskWithinUs, DrainGraceUs, FallUs, WarmWithinUs float64
		ColdFrom, FallMultiple                                         float64
	}
	Grades []struct {
		TargetUs, DeadlineUs, WindowUs float64
		AimStretch, LateValue, Worth   float64
		Effect, Group                  string
		Stream                         bool
	}
	FamilyInfo struct {
		ClassFreshUs, StaleForUs       []float64
		ClassStaleWorth                []float64
		InParts, Uncached              []bool
		MayPassBy, SharesFills         bool
		FlowKbPerS, OriginFallMultiple float64
		OriginBearsUs, ParentWarmsInUs float64
		ParentColdFrom, ParentBreaksAt float64
		RootKind, SecondTierKind       *float64
		PurgeTakesUs, NoticeTimeUs     float64
		PeersFill, NoteLevel           string
		ZoneBalancers, HomeHub         []float64
		ZoneLinkKbPerS                 []float64
	}
}

// usualPurge: where it is not told how long copies from before a purge may lie about. Guards against a purge that would not
// be heeded at all: shorter misses old copies, longer fetches some anew for nothing.
const usualPurge = 6 * time.Second

var (
	effects = map[string]policy.Idempotency{
		"idempotent": policy.Idempotent, "deduplicated": policy.IdempotentByKey, "at_most_once": policy.NotIdempotent,
	}
	groups  = map[string]policy.DedupScope{"all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupCell}
	reaches = map[string]policy.SiblingScope{
		"silent": policy.SiblingsNone, "location": policy.SiblingsInZone, "any": policy.SiblingsAny,
	}
	details = map[string]policy.OutcomeDetail{
		"silent": policy.DetailNone, "hit": policy.DetailHit, "all": policy.DetailAll,
	}
)

// noEffect is what an effect of unknown name becomes; policy.New says so.
const noEffect = policy.Idempotency(-1)

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
		return policy.Settings{}, plain(err)
	}
	f := e.FamilyInfo
	kind := func(k *float64) int {
		if k == nil {
			return -1
		}
		return whole(*k)
	}
	s := policy.Settings{
		Rank: whole(e.Rank), Routers: whole(e.NInstances), Zone: whole(e.Zone),
		ZoneRouters: wholes(f.ZoneBalancers), HomeHub: wholes(f.HomeHub),
		LinkKBPerS: f.ZoneLinkKbPerS, ParentKind: kind(f.SecondTierKind), OriginKind: kind(f.RootKind),
		MayBypassCaches: f.MayPassBy, SiblingFills: reaches[f.PeersFill], CoalescesFills: f.SharesFills,
		OutcomeDetail: details[f.NoteLevel], TransferKBPerS: f.FlowKbPerS,
		PurgeDuration: span(f.PurgeTakesUs), PurgeGrace: span(f.NoticeTimeUs),
		OriginOverloadMultiple: f.OriginFallMultiple, OriginOverloadWindow: span(f.OriginBearsUs),
		WatchDiscovery: e.Discovery == "ask", PollInterval: span(e.Rules.AskWithinUs), DrainGrace: span(e.Rules.DrainGraceUs),
		CacheWarmUp: policy.WarmUp{
			InitialCapacity: e.Rules.ColdFrom, Duration: span(e.Rules.WarmWithinUs),
			OverloadMultiple: e.Rules.FallMultiple, OverloadWindow: span(e.Rules.FallUs),
		},
		ParentWarmUp: policy.WarmUp{
			InitialCapacity: f.ParentColdFrom, Duration: span(f.ParentWarmsInUs),
			OverloadMultiple: f.ParentBreaksAt, OverloadWindow: span(e.Rules.FallUs),
		},
		FinalAnswerGrace: span(e.Rules.AnswerSlackUs),
		WeightsKnown:     e.Weights == "nominal" || e.Weights == "rough",
		MaxAttempts:      whole(e.Bounds.MostTries), CanCancel: e.Bounds.Cancel, SendsRetryAfter: e.Bounds.RetryAfter,
		MaxRetryAfter: span(e.Bounds.MaxRetryAfterUs), ConnectTimeout: span(e.Bounds.ConnectTimeoutUs), MinBatchInterval: span(e.TickUs),
	}
	if s.PurgeDuration <= 0 {
		s.PurgeDuration = usualPurge
	}
	for i, g := range e.Grades {
		effect, ok := effects[g.Effect]
		if !ok {
			effect = noEffect
		}
		group, ok := groups[g.Group]
		if !ok && g.Group != "" && effect == policy.IdempotentByKey {
			// Guards against a group of unknown name that would be taken for the widest, over which repeats are sent anywhere.
			return policy.Settings{}, fmt.Errorf("settings.Grades[%d].Group: unknown group %q", i, g.Group)
		}
		if g.TargetUs <= 0 {
			g.TargetUs = g.DeadlineUs // without an aim no answer is late before the deadline
		}
		s.Classes = append(s.Classes, policy.Class{
			LatencyObjective: span(g.TargetUs), ObjectiveStretch: g.AimStretch, Deadline: span(g.DeadlineUs), PriorityWeight: g.Worth,
			LateFraction: g.LateValue, Idempotency: effect, DedupScope: group, DedupWindow: span(g.WindowUs), Streamed: g.Stream,
			Uncached: at(f.Uncached, i), Multipart: at(f.InParts, i), FreshFor: span(at(f.ClassFreshUs, i)),
			StaleFor: span(at(f.StaleForUs, i)), StaleFraction: at(f.ClassStaleWorth, i),
		})
	}
	return s, nil
}

// longestSpan bounds a time that is told, in microseconds: a hundred days.
const longestSpan = 100 * 24 * 3600 * 1e6

// span is a time told in microseconds.
func span(n float64) time.Duration {
	return us(int64(math.Round(max(-longestSpan, min(n, longestSpan)))))
}

// whole is a count or a place.
func whole(n float64) int { return int(math.Round(max(math.MinInt32, min(n, math.MaxInt32)))) }

func wholes(list []float64) (out []int) {
	for _, n := range list {
		out = append(out, whole(n))
	}
	return out
}

// forms are what JSON calls what a value is read into.
var forms = map[reflect.Kind]string{
	reflect.Float64: "number", reflect.String: "string", reflect.Bool: "bool", reflect.Slice: "array", reflect.Struct: "object",
}

// plain names the place of what can't be read in one line.
func plain(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return fmt.Errorf("settings.%s: %s found, %s wanted", wrong.Field, wrong.Value, forms[wrong.Type.Kind()])
	}
	return fmt.Errorf("settings: %w", err)
}
