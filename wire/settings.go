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

// settingsMessage is the settings object. Its tags are the protocol's field names; other keys are ignored. Integers are decoded as
// floats, since an encoder may write 1500000 as 1500000.0 or 1.5e6.
type settingsMessage struct {
	Routers          float64        `json:"NInstances"`
	Rank             float64        `json:"Rank"`
	Zone             float64        `json:"Zone"`
	Discovery        string         `json:"Discovery"`
	Weights          string         `json:"Weights"`
	MinBatchInterval float64        `json:"TickUs"`
	Bounds           boundsMessage  `json:"Bounds"`
	Rules            rulesMessage   `json:"Rules"`
	Classes          []classMessage `json:"Grades"`
	Caching          cachingMessage `json:"FamilyInfo"`
}

// boundsMessage has the limits and abilities of the clients and servers. Times are in microseconds, here and below.
type boundsMessage struct {
	CanCancel       bool    `json:"Cancel"`
	SendsRetryAfter bool    `json:"RetryAfter"`
	MaxAttempts     float64 `json:"MostTries"`
	MaxRetryAfter   float64 `json:"MaxRetryAfterUs"`
	ConnectTimeout  float64 `json:"ConnectTimeoutUs"`
}

type rulesMessage struct {
	FinalAnswerGrace float64 `json:"AnswerSlackUs"`
	PollInterval     float64 `json:"AskWithinUs"`
	DrainGrace       float64 `json:"DrainGraceUs"`
	OverloadWindow   float64 `json:"FallUs"`
	WarmUpDuration   float64 `json:"WarmWithinUs"`
	InitialCapacity  float64 `json:"ColdFrom"`
	OverloadMultiple float64 `json:"FallMultiple"`
}

type classMessage struct {
	LatencyObjective float64 `json:"TargetUs"`
	Deadline         float64 `json:"DeadlineUs"`
	DedupWindow      float64 `json:"WindowUs"`
	ObjectiveStretch float64 `json:"AimStretch"`
	LateFraction     float64 `json:"LateValue"`
	PriorityWeight   float64 `json:"Worth"`
	Idempotency      string  `json:"Effect"`
	DedupScope       string  `json:"Group"`
	Streamed         bool    `json:"Stream"`
}

// cachingMessage has the settings about caching. Its lists have an element for each class or zone, as in policy.Settings.
type cachingMessage struct {
	FreshFor               []float64 `json:"ClassFreshUs"`
	StaleFor               []float64 `json:"StaleForUs"`
	StaleFraction          []float64 `json:"ClassStaleWorth"`
	Multipart              []bool    `json:"InParts"`
	Uncached               []bool    `json:"Uncached"`
	MayBypassCaches        bool      `json:"MayPassBy"`
	CoalescesFills         bool      `json:"SharesFills"`
	TransferKBPerS         float64   `json:"FlowKbPerS"`
	OriginOverloadMultiple float64   `json:"OriginFallMultiple"`
	OriginOverloadWindow   float64   `json:"OriginBearsUs"`
	ParentWarmUpDuration   float64   `json:"ParentWarmsInUs"`
	ParentInitialCapacity  float64   `json:"ParentColdFrom"`
	ParentOverloadMultiple float64   `json:"ParentBreaksAt"`
	OriginKind             *float64  `json:"RootKind"`
	ParentKind             *float64  `json:"SecondTierKind"`
	PurgeDuration          float64   `json:"PurgeTakesUs"`
	PurgeGrace             float64   `json:"NoticeTimeUs"`
	SiblingFills           string    `json:"PeersFill"`
	OutcomeDetail          string    `json:"NoteLevel"`
	ZoneRouters            []float64 `json:"ZoneBalancers"`
	HomeHub                []float64 `json:"HomeHub"`
	LinkKBPerS             []float64 `json:"ZoneLinkKbPerS"`
}

const (
	// defaultPurgeDuration applies if the settings have no duration of purges. With a duration of 0, purges would have no effect. A
	// longer duration than needed makes the proxy fetch some copies again without need, a shorter one misses old copies.
	defaultPurgeDuration = 6 * time.Second
	// noKind is the kind of the parents, or of the origin, if there are none.
	noKind = -1
	// unknownIdempotency is the value for an unknown name. policy.New rejects it with an error that names the class.
	unknownIdempotency = policy.Idempotency(-1)
	// maxMicroseconds bounds a decoded duration: 100 days.
	maxMicroseconds = 100 * 24 * 3600 * 1e6
)

var (
	idempotencies = map[string]policy.Idempotency{
		"idempotent": policy.Idempotent, "deduplicated": policy.IdempotentByKey, "at_most_once": policy.NotIdempotent,
	}
	dedupScopes = map[string]policy.DedupScope{
		"all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupCell,
	}
	siblingScopes = map[string]policy.SiblingScope{
		"silent": policy.SiblingsNone, "location": policy.SiblingsInZone, "any": policy.SiblingsAny,
	}
	outcomeDetails = map[string]policy.OutcomeDetail{
		"silent": policy.DetailNone, "hit": policy.DetailHit, "all": policy.DetailAll,
	}
)

// DecodeSettings decodes the settings object, which the simulator and the platform's configuration have in the same form. If a
// value has the wrong type or a deduplication scope is unknown, the error names its place.
func DecodeSettings(raw json.RawMessage) (policy.Settings, error) {
	var m settingsMessage
	if err := json.Unmarshal(raw, &m); err != nil {
		return policy.Settings{}, settingsError(err)
	}
	caching := m.Caching
	settings := policy.Settings{
		RouterIndex: integer(m.Rank), Routers: integer(m.Routers), Zone: integer(m.Zone),
		ZoneRouters: integers(caching.ZoneRouters), HomeHub: integers(caching.HomeHub), LinkKBPerS: caching.LinkKBPerS,
		ParentKind: kindOrNone(caching.ParentKind), OriginKind: kindOrNone(caching.OriginKind),
		MayBypassCaches: caching.MayBypassCaches, SiblingFills: siblingScopes[caching.SiblingFills],
		CoalescesFills: caching.CoalescesFills, OutcomeDetail: outcomeDetails[caching.OutcomeDetail],
		TransferKBPerS: caching.TransferKBPerS,
		PurgeDuration:  duration(caching.PurgeDuration), PurgeGrace: duration(caching.PurgeGrace),
		OriginOverloadMultiple: caching.OriginOverloadMultiple, OriginOverloadWindow: duration(caching.OriginOverloadWindow),
		WatchDiscovery: m.Discovery == "ask", PollInterval: duration(m.Rules.PollInterval),
		DrainGrace: duration(m.Rules.DrainGrace), CacheWarmUp: m.Rules.cacheWarmUp(), ParentWarmUp: m.parentWarmUp(),
		FinalAnswerGrace: duration(m.Rules.FinalAnswerGrace), WeightsKnown: m.Weights == "nominal" || m.Weights == "rough",
		MaxAttempts: integer(m.Bounds.MaxAttempts), CanCancel: m.Bounds.CanCancel, SendsRetryAfter: m.Bounds.SendsRetryAfter,
		MaxRetryAfter: duration(m.Bounds.MaxRetryAfter), ConnectTimeout: duration(m.Bounds.ConnectTimeout),
		MinBatchInterval: duration(m.MinBatchInterval),
	}
	if settings.PurgeDuration <= 0 {
		settings.PurgeDuration = defaultPurgeDuration
	}
	for i := range m.Classes {
		class, err := m.decodeClass(i)
		if err != nil {
			return policy.Settings{}, err
		}
		settings.Classes = append(settings.Classes, class)
	}
	return settings, nil
}

func (m *rulesMessage) cacheWarmUp() policy.WarmUp {
	return policy.WarmUp{
		InitialCapacity: m.InitialCapacity, Duration: duration(m.WarmUpDuration),
		OverloadMultiple: m.OverloadMultiple, OverloadWindow: duration(m.OverloadWindow),
	}
}

func (m *settingsMessage) parentWarmUp() policy.WarmUp {
	return policy.WarmUp{
		InitialCapacity: m.Caching.ParentInitialCapacity, Duration: duration(m.Caching.ParentWarmUpDuration),
		OverloadMultiple: m.Caching.ParentOverloadMultiple, OverloadWindow: duration(m.Rules.OverloadWindow),
	}
}

// decodeClass translates the class with index i. An unknown deduplication scope of a class with idempotency keys is an error: if it
// were treated as the widest scope, retries would be allowed at any cache.
func (m *settingsMessage) decodeClass(i int) (policy.Class, error) {
	c, caching := m.Classes[i], m.Caching
	idempotency, known := idempotencies[c.Idempotency]
	if !known {
		idempotency = unknownIdempotency
	}
	scope, known := dedupScopes[c.DedupScope]
	if !known && c.DedupScope != "" && idempotency == policy.IdempotentByKey {
		return policy.Class{}, fmt.Errorf("settings.Grades[%d].Group: unknown group %q, want all, zone or cell", i, c.DedupScope)
	}
	if c.LatencyObjective <= 0 {
		c.LatencyObjective = c.Deadline // no answer before the deadline is late
	}
	return policy.Class{
		LatencyObjective: duration(c.LatencyObjective), ObjectiveStretch: c.ObjectiveStretch, Deadline: duration(c.Deadline),
		PriorityWeight: c.PriorityWeight, LateFraction: c.LateFraction, Idempotency: idempotency, DedupScope: scope,
		DedupWindow: duration(c.DedupWindow), Streamed: c.Streamed, Uncached: elementOrZero(caching.Uncached, i),
		Multipart: elementOrZero(caching.Multipart, i), FreshFor: duration(elementOrZero(caching.FreshFor, i)),
		StaleFor: duration(elementOrZero(caching.StaleFor, i)), StaleFraction: elementOrZero(caching.StaleFraction, i),
	}, nil
}

func elementOrZero[T any](list []T, i int) (element T) {
	if i < len(list) {
		element = list[i]
	}
	return element
}

// duration converts microseconds to a duration, rounded to whole microseconds.
func duration(us float64) time.Duration {
	return microseconds(int64(math.Round(max(-maxMicroseconds, min(us, maxMicroseconds)))))
}

func integer(n float64) int { return int(math.Round(max(math.MinInt32, min(n, math.MaxInt32)))) }

func integers(list []float64) (out []int) {
	for _, n := range list {
		out = append(out, integer(n))
	}
	return out
}

func kindOrNone(k *float64) int {
	if k == nil {
		return noKind
	}
	return integer(*k)
}

// jsonTypes has the names of the JSON types for the Go kinds in settingsMessage.
var jsonTypes = map[reflect.Kind]string{
	reflect.Float64: "number", reflect.String: "string", reflect.Bool: "bool", reflect.Slice: "array", reflect.Struct: "object",
}

// settingsError converts an error of package json to one that fits on a line and names the place in the settings.
func settingsError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return fmt.Errorf("settings.%s: %s found, %s wanted", wrongType.Field, wrongType.Value, jsonTypes[wrongType.Type.Kind()])
	}
	return fmt.Errorf("settings: %w", err)
}
