package sim

import "ravenwheel/policy"

// Scenario describes one run, except for its seed. Times are in ms unless a name says otherwise, sizes in KB.
type Scenario struct {
	Name          string  `json:"name"`
	Seconds       float64 `json:"seconds"`
	WarmUpSeconds float64 `json:"warmup_s"` // played first and not counted, so that stores are filled; faults count from its end
	Fleet         Fleet   `json:"fleet"`
	Traffic       Traffic `json:"traffic"`
	Clients       Clients `json:"clients"`
	Rules         Rules   `json:"rules"`
	Faults        []Fault `json:"troubles"`
}

// Fleet is the servers, the proxies and the links between them. Bandwidths are in transfers at full speed.
type Fleet struct {
	Branches               int     `json:"branches"`
	CachesPerBranch        int     `json:"caches"`
	ProxiesPerBranch       int     `json:"proxies"`
	Hubs                   int     `json:"hubs"` // in a ring; branches are assigned to them in turn
	ParentsPerHub          int     `json:"parents"`
	TransferKBPerS         float64 `json:"flow_kb_s"` // of one transfer at most
	CacheBandwidth         float64 `json:"cache_link"`
	ParentBandwidth        float64 `json:"parent_link"`
	BranchBandwidth        float64 `json:"branch_link"` // into the branch
	CacheKB                float64 `json:"cache_kb"`
	ParentKB               float64 `json:"parent_kb"`
	CacheSlots             int     `json:"slots"`        // concurrent requests at a cache
	OriginSlots            int     `json:"origin_slots"` // concurrent answers of the origin
	OriginTime             float64 `json:"origin_ms"`    // mean time of an answer
	OriginQueue            int     `json:"origin_queue"` // length; further requests are rejected
	BranchLatency          float64 `json:"near_ms"`      // one way, within a branch
	HubLatency             float64 `json:"hub_ms"`       // one way, from a branch to its hub
	HubStepLatency         float64 `json:"hub_step_ms"`  // added for each step around the ring of hubs
	FillTimeout            float64 `json:"fill_wait_ms"` // of a fill from an unresponsive source
	InitialCapacity        float64 `json:"cold_from"`    // fraction of its bandwidth that a restarted server begins with
	WarmUpTime             float64 `json:"warm_ms"`      // until it has all its bandwidth
	OverloadMultiple       float64 `json:"falls_at"`     // of its capacity from which a server that warms up fails
	OverloadWindow         float64 `json:"falls_in_ms"`  // over which its load is measured for that
	DiscoveryDelay         float64 `json:"board_lag_ms"` // until proxies are notified of a change, at most
	PurgeNotificationDelay float64 `json:"purge_lag_ms"` // until proxies are notified of a purge, at most
	PurgeDuration          float64 `json:"purge_takes_ms"`

	// Settings in which operators differ.
	BranchCaches           []int     `json:"branch_caches"`  // by branch, in place of CachesPerBranch; traffic and bandwidth are in proportion
	BranchProxies          []int     `json:"branch_proxies"` // by branch, in place of ProxiesPerBranch
	CacheSizes             []float64 `json:"cache_sizes"`    // multiples of CacheBandwidth, CacheKB and CacheSlots, in turn over all caches
	WeightsKnown           bool      `json:"weights_told"`   // to the proxies
	WeightError            float64   `json:"weights_off"`    // relative error of the weights that proxies know, at most
	LinksKnown             bool      `json:"links_told"`     // proxies know the branches' bandwidths
	FillRateMultiple       float64   `json:"fill_pace"`      // multiple of TransferKBPerS at which one fill runs at most
	MaxFills               int       `json:"fills_at_once"`  // at a cache; 0: unlimited
	FillsOutliveClients    bool      `json:"fills_run_on"`   // a fill continues when its last client has left
	CoalescesFills         bool      `json:"joins"`          // requests at a cache may share a fill
	ParentsCoalesce        bool      `json:"parents_join"`   // fills at a parent share a fetch from the origin
	MayBypassCaches        bool      `json:"direct"`         // requests may go to parents and the origin
	ParentInitialCapacity  float64   `json:"parent_cold_from"`
	ParentWarmUpTime       float64   `json:"parent_warm_ms"`
	ParentOverloadMultiple float64   `json:"parent_falls_at"`
}

// Traffic is what clients request.
type Traffic struct {
	Rate           float64 `json:"per_s"` // requests per second of each branch
	Objects        int     `json:"objects"`
	ZipfExponent   float64 `json:"zipf"`   // of the popularity
	RankShift      float64 `json:"shift"`  // added to ranks, which makes the most popular objects stand out less
	OneOffFraction float64 `json:"oneoff"` // of the requests, for objects that are requested once only
	Classes        []Class `json:"classes"`
	PurgeRate      float64 `json:"purges_per_s"`
}

// Class is one class of requests.
type Class struct {
	Name             string  `json:"name"`
	Fraction         float64 `json:"share"` // of the requests, relative to the other classes
	MeanKB           float64 `json:"kb"`    // sizes are exponentially distributed
	PartsPerObject   int     `json:"parts"`
	LatencyObjective float64 `json:"target_ms"`
	ObjectiveStretch float64 `json:"stretch"` // added to the objective, in multiples of the time of the transfer
	Deadline         float64 `json:"deadline_ms"`
	PriorityWeight   float64 `json:"worth"`
	LateFraction     float64 `json:"late_value"` // of the weight, for a request served after its objective
	Write            bool    `json:"write"`
	Effect           Effect  `json:"effect"`    // empty: NotIdempotent for a write, else Idempotent
	DedupWindow      float64 `json:"window_ms"` // of IdempotentByKey: how long the origin drops repeats
	LocalFraction    float64 `json:"local"`     // of the requests, for objects that are requested in one branch only
}

// Effect is what a repeat of a request does, as a file names it.
type Effect string

// The effects.
const (
	Idempotent      Effect = "safe"
	IdempotentByKey Effect = "keyed"
	NotIdempotent   Effect = "unsafe"
)

// idempotency returns the effect in the terms of the policy.
func (c Class) idempotency() policy.Idempotency {
	switch {
	case c.Effect == IdempotentByKey:
		return policy.IdempotentByKey
	case c.Effect == NotIdempotent || c.Effect == "" && c.Write:
		return policy.NotIdempotent
	}
	return policy.Idempotent
}

// Clients is how clients retry.
type Clients struct {
	Retries            int         `json:"retries"`
	Backoff            float64     `json:"backoff_ms"` // mean before the first retry
	BackoffKind        BackoffKind `json:"wait"`
	MinAttemptFraction float64     `json:"try_share"` // of the deadline, after which a client abandons an attempt at the earliest
	HonourFraction     float64     `json:"honour"`    // of the clients, which honour Retry-After
	MaxRetryAfter      float64     `json:"most_backoff_ms"`
}

// BackoffKind is how the backoff depends on the number of attempts, as a file names it.
type BackoffKind string

// The kinds of backoff.
const (
	ExponentialBackoff BackoffKind = "exp" // doubles with each attempt
	FixedBackoff       BackoffKind = "fixed"
	NoBackoff          BackoffKind = "none"
)

// Rules are the grace periods of the rules.
type Rules struct {
	DrainGrace  float64 `json:"drain_ms"`
	PurgeGrace  float64 `json:"purge_ms"`
	AnswerGrace float64 `json:"answer_ms"`
}

// Fault is one fault of a scenario.
type Fault struct {
	At       float64   `json:"at_s"`
	Duration float64   `json:"for_s"`
	Kind     FaultKind `json:"kind"`
	// Magnitude is the fraction of the servers, proxies or objects that are affected; of Burst the multiple of the traffic, of
	// OriginSlow the multiple of the time of an answer, of StaleList seconds, of LargeObjects the multiple of the mean size.
	Magnitude float64 `json:"size"`
	// Extra is, of LargeObjects, the fraction of the class's requests; of RestartProxies the seconds that each is down.
	Extra float64 `json:"extra"`
}

// FaultKind is what a fault does, by its name in a file.
type FaultKind string

// The kinds of faults.
const (
	Burst          FaultKind = "burst"
	PurgeObjects   FaultKind = "purge"        // a fraction of the objects, at once
	HangCaches     FaultKind = "hang"         // they accept requests and do not answer
	HangParents    FaultKind = "hang_parents" // they accept requests and do not answer
	LoseHub        FaultKind = "hub_lost"     // the parents of a hub die and return without copies
	LoseBranch     FaultKind = "branch_lost"  // the caches of a branch die and return without copies
	OriginSlow     FaultKind = "origin_slow"
	RestartCaches  FaultKind = "roll"  // all caches drain and restart in turn
	DropCopies     FaultKind = "empty" // all caches lose their copies and keep running
	CrashCaches    FaultKind = "crash" // a fraction of the caches die and return without copies
	RestartProxies FaultKind = "proxy_roll"
	StaleList      FaultKind = "stale_list" // proxies are notified of changes later
	LargeObjects   FaultKind = "heavy"      // some requests of the first class are for new, large objects
)

// largeObjectsClass is the index of the class that LargeObjects affects.
const largeObjectsClass = 0

// The values that a file may have, in the order in which messages list them.
var (
	faultKinds = []FaultKind{
		Burst, PurgeObjects, HangCaches, HangParents, LoseHub, LoseBranch, OriginSlow, RestartCaches, DropCopies, CrashCaches, RestartProxies,
		StaleList, LargeObjects,
	}
	backoffKinds = []BackoffKind{ExponentialBackoff, FixedBackoff, NoBackoff}
	effects      = []Effect{"", Idempotent, IdempotentByKey, NotIdempotent}
)

// DefaultScenario returns a scenario with a fleet like the one that the proxy is made for. It has the values of keys that a file
// leaves out.
func DefaultScenario() Scenario {
	return Scenario{
		Seconds: 40,
		Fleet: Fleet{
			Branches: 3, CachesPerBranch: 3, ProxiesPerBranch: 1, Hubs: 2, ParentsPerHub: 1, TransferKBPerS: 6000, CacheBandwidth: 10, ParentBandwidth: 30, BranchBandwidth: 24,
			CacheKB: 150_000, ParentKB: 1_500_000, CacheSlots: 200, OriginSlots: 24, OriginTime: 40, OriginQueue: 200, BranchLatency: 0.3, HubLatency: 8,
			HubStepLatency: 25, FillTimeout: 2500, InitialCapacity: 0.15, WarmUpTime: 18_000, OverloadMultiple: 3, OverloadWindow: 3000, DiscoveryDelay: 3000, PurgeNotificationDelay: 300, PurgeDuration: 6000,
			WeightsKnown: true, FillRateMultiple: 3,
		},
		Traffic: Traffic{Rate: 50, Objects: 3000, ZipfExponent: 0.9, OneOffFraction: 0.1, PurgeRate: 0.4, Classes: []Class{
			{Name: "replay", Fraction: 0.53, MeanKB: 700, PartsPerObject: 12, LatencyObjective: 400, ObjectiveStretch: 1.6, Deadline: 5000, PriorityWeight: 2, LateFraction: 0.1},
			{Name: "asset", Fraction: 0.44, MeanKB: 150, PartsPerObject: 1, LatencyObjective: 400, ObjectiveStretch: 2, Deadline: 2500, PriorityWeight: 1, LateFraction: 0.1},
			{Name: "seat-claim", Fraction: 0.03, MeanKB: 2, PartsPerObject: 1, LatencyObjective: 600, Deadline: 3000, PriorityWeight: 3, LateFraction: 0.1, Write: true},
		}},
		Clients: Clients{Retries: 3, Backoff: 100, BackoffKind: ExponentialBackoff, MinAttemptFraction: 0.5, HonourFraction: 0.6, MaxRetryAfter: 500},
		Rules:   Rules{DrainGrace: 2000, PurgeGrace: 1000, AnswerGrace: 50},
	}
}
