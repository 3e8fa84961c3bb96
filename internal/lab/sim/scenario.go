package sim

import "ravenwheel/policy"

// Scenario describes one run, except for its seed. Times are in ms unless a name says otherwise, sizes in KB.
type Scenario struct {
	Name          string  `json:"name"`
	Seconds       float64 `json:"seconds"`
	WarmUpSeconds float64 `json:"warmup_s"` // run first without being counted, to fill the stores; times of faults start at its end
	Fleet         Fleet   `json:"fleet"`
	Traffic       Traffic `json:"traffic"`
	Clients       Clients `json:"clients"`
	Rules         Rules   `json:"rules"`
	Faults        []Fault `json:"troubles"`
}

// Fleet describes the servers, the proxies and the links between them. Bandwidths are given as the number of transfers at full
// speed, TransferKBPerS, that they allow at the same time.
type Fleet struct {
	Branches               int     `json:"branches"`
	CachesPerBranch        int     `json:"caches"`
	ProxiesPerBranch       int     `json:"proxies"`
	Hubs                   int     `json:"hubs"` // the hubs form a ring; branches are assigned to them in turn
	ParentsPerHub          int     `json:"parents"`
	TransferKBPerS         float64 `json:"flow_kb_s"` // maximum rate of one transfer
	CacheBandwidth         float64 `json:"cache_link"`
	ParentBandwidth        float64 `json:"parent_link"`
	BranchBandwidth        float64 `json:"branch_link"` // of the link into the branch
	CacheKB                float64 `json:"cache_kb"`
	ParentKB               float64 `json:"parent_kb"`
	CacheSlots             int     `json:"slots"`          // concurrent requests at a cache
	OriginSlots            int     `json:"origin_slots"`   // concurrent answers of the origin
	OriginTime             float64 `json:"origin_ms"`      // mean time of an answer
	OriginQueue            int     `json:"origin_queue"`   // maximum length of the queue; further requests are rejected
	BranchLatency          float64 `json:"near_ms"`        // one way, within a branch
	HubLatency             float64 `json:"hub_ms"`         // one way, from a branch to its own hub
	HubStepLatency         float64 `json:"hub_step_ms"`    // added for each hub further around the ring
	FillTimeout            float64 `json:"fill_wait_ms"`   // after which a fill from a server that hangs fails
	InitialCapacity        float64 `json:"cold_from"`      // fraction of its bandwidth that a server has when it restarts
	WarmUpTime             float64 `json:"warm_ms"`        // until a restarted server has its full bandwidth
	OverloadMultiple       float64 `json:"falls_at"`       // multiple of its capacity above which a server that warms up dies
	OverloadWindow         float64 `json:"falls_in_ms"`    // time over which the load is measured for OverloadMultiple
	DiscoveryDelay         float64 `json:"board_lag_ms"`   // longest time until proxies are notified of a changed member
	PurgeNotificationDelay float64 `json:"purge_lag_ms"`   // longest time until proxies are notified of a purge
	PurgeDuration          float64 `json:"purge_takes_ms"` // time within which servers drop purged copies

	// Settings in which operators differ.
	BranchCaches           []int     `json:"branch_caches"`    // by branch, instead of CachesPerBranch; sets traffic and bandwidth
	BranchProxies          []int     `json:"branch_proxies"`   // by branch, instead of ProxiesPerBranch
	CacheSizes             []float64 `json:"cache_sizes"`      // factors on bandwidth, KB and slots, in turn over all caches
	WeightsKnown           bool      `json:"weights_told"`     // proxies know the servers' weights
	WeightError            float64   `json:"weights_off"`      // largest relative error of the weights that proxies know
	LinksKnown             bool      `json:"links_told"`       // proxies know the branches' bandwidths
	FillRateMultiple       float64   `json:"fill_pace"`        // maximum rate of one fill, as a multiple of TransferKBPerS
	MaxFills               int       `json:"fills_at_once"`    // at a cache at the same time; 0 for unlimited
	FillsOutliveClients    bool      `json:"fills_run_on"`     // a fill continues after its last client has left
	CoalescesFills         bool      `json:"joins"`            // requests at a cache may share a fill
	ParentsCoalesce        bool      `json:"parents_join"`     // fills at a parent share a fetch from the origin
	MayBypassCaches        bool      `json:"direct"`           // requests may go straight to parents and the origin
	ParentInitialCapacity  float64   `json:"parent_cold_from"` // InitialCapacity of parents; 0 for the same
	ParentWarmUpTime       float64   `json:"parent_warm_ms"`   // WarmUpTime of parents; 0 for the same
	ParentOverloadMultiple float64   `json:"parent_falls_at"`  // OverloadMultiple of parents; 0 for the same
}

// Traffic describes what clients request, and the purges.
type Traffic struct {
	Rate           float64 `json:"per_s"` // mean number of requests per second of a branch of mean size
	Objects        int     `json:"objects"`
	ZipfExponent   float64 `json:"zipf"`   // exponent of the popularity of objects
	RankShift      float64 `json:"shift"`  // added to popularity ranks; makes the most popular objects stand out less
	OneOffFraction float64 `json:"oneoff"` // fraction of requests for objects that are requested only once
	Classes        []Class `json:"classes"`
	PurgeRate      float64 `json:"purges_per_s"` // mean number of purges of one object per second
}

// Class is one class of requests.
type Class struct {
	Name             string  `json:"name"`
	Fraction         float64 `json:"share"` // of all requests, relative to the other classes
	MeanKB           float64 `json:"kb"`    // mean size of a part; sizes are exponentially distributed
	PartsPerObject   int     `json:"parts"`
	LatencyObjective float64 `json:"target_ms"`
	ObjectiveStretch float64 `json:"stretch"` // added to the objective, as a multiple of the transfer time
	Deadline         float64 `json:"deadline_ms"`
	PriorityWeight   float64 `json:"worth"`
	LateFraction     float64 `json:"late_value"` // of the weight, for a request served after its objective
	Write            bool    `json:"write"`
	Effect           Effect  `json:"effect"`    // empty means NotIdempotent for a write, else Idempotent
	DedupWindow      float64 `json:"window_ms"` // with IdempotentByKey, how long the origin drops repeats
	LocalFraction    float64 `json:"local"`     // fraction of requests for objects of one branch only
}

// Effect is the effect of repeating a request, as scenario files name it.
type Effect string

// The effects.
const (
	Idempotent      Effect = "safe"
	IdempotentByKey Effect = "keyed"
	NotIdempotent   Effect = "unsafe"
)

// idempotency returns the effect as the policy's type.
func (c Class) idempotency() policy.Idempotency {
	switch {
	case c.Effect == IdempotentByKey:
		return policy.IdempotentByKey
	case c.Effect == NotIdempotent || c.Effect == "" && c.Write:
		return policy.NotIdempotent
	}
	return policy.Idempotent
}

// Clients describes how clients retry.
type Clients struct {
	Retries            int         `json:"retries"`
	Backoff            float64     `json:"backoff_ms"` // mean time before the first retry
	BackoffKind        BackoffKind `json:"wait"`
	MinAttemptFraction float64     `json:"try_share"`       // shortest time-out of an attempt, as a fraction of the deadline
	HonourFraction     float64     `json:"honour"`          // probability that a client honours Retry-After
	MaxRetryAfter      float64     `json:"most_backoff_ms"` // longest Retry-After that proxies send; 0 for none
}

// BackoffKind is how the backoff depends on the number of attempts, as scenario files name it.
type BackoffKind string

// The kinds of backoff.
const (
	ExponentialBackoff BackoffKind = "exp" // doubles with each attempt
	FixedBackoff       BackoffKind = "fixed"
	NoBackoff          BackoffKind = "none"
)

// Rules are the grace periods of the rules that the checker checks.
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
	// Magnitude is the fraction of the servers, proxies or objects that are affected. For Burst it is a factor on the traffic, for
	// OriginSlow on the time of an answer, for LargeObjects on the mean size. For StaleList it is the additional delay in seconds.
	Magnitude float64 `json:"size"`
	// Extra is the fraction of the class's requests for LargeObjects, and the seconds that each proxy is down for RestartProxies.
	Extra float64 `json:"extra"`
}

// FaultKind is what a fault does, as scenario files name it.
type FaultKind string

// The kinds of faults.
const (
	Burst          FaultKind = "burst"        // the traffic is multiplied
	PurgeObjects   FaultKind = "purge"        // a fraction of the objects are purged at once
	HangCaches     FaultKind = "hang"         // they accept requests and do not answer
	HangParents    FaultKind = "hang_parents" // they accept requests and do not answer
	LoseHub        FaultKind = "hub_lost"     // the parents of a hub die and return without copies
	LoseBranch     FaultKind = "branch_lost"  // the caches of a branch die and return without copies
	OriginSlow     FaultKind = "origin_slow"  // the origin takes longer to answer
	RestartCaches  FaultKind = "roll"         // all caches drain and restart in turn
	DropCopies     FaultKind = "empty"        // all caches lose their copies and keep running
	CrashCaches    FaultKind = "crash"        // a fraction of the caches die and return without copies
	RestartProxies FaultKind = "proxy_roll"   // a fraction of the proxies restart in turn
	StaleList      FaultKind = "stale_list"   // proxies are notified of changed members later
	LargeObjects   FaultKind = "heavy"        // some requests of the first class are for new, large objects
)

// largeObjectsClass is the index of the class that LargeObjects affects.
const largeObjectsClass = 0

// The values that are allowed in a scenario file, in the order in which messages list them.
var (
	faultKinds = []FaultKind{
		Burst, PurgeObjects, HangCaches, HangParents, LoseHub, LoseBranch, OriginSlow, RestartCaches, DropCopies, CrashCaches, RestartProxies,
		StaleList, LargeObjects,
	}
	backoffKinds = []BackoffKind{ExponentialBackoff, FixedBackoff, NoBackoff}
	effects      = []Effect{"", Idempotent, IdempotentByKey, NotIdempotent}
)

// DefaultScenario returns a scenario with a fleet of the kind that the proxy is made for. Keys that a file leaves out have its
// values.
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
