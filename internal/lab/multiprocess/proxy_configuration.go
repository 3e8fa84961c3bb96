package multiprocess

import (
	"encoding/json"
	"fmt"
	"slices"

	"ravenwheel/internal/lab/load"
)

// configuration is the content of the file by which the platform configures a proxy process; LB_CONFIG holds its path. JSON names
// are the platform's.
type configuration struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"board"`
	Seed      string          `json:"seed"` // 16 hexadecimal digits
	Limits    resourceLimits  `json:"limits"`
	Known     json.RawMessage `json:"known"` // events of the discovery service up to when the file is written
	Settings  settings        `json:"settings"`
}

// resourceLimits bound what a process may use.
type resourceLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// settings tell a process about the fleet and the rules that it must keep. Durations are in µs.
type settings struct {
	Processes int               `json:"NInstances"` // number of all processes
	Rank      int               `json:"Rank"`       // index of this process among all processes
	Zone      int               `json:"Zone"`       // of this process
	Zones     []string          `json:"Zones"`      // names
	Kinds     []string          `json:"Kinds"`      // names of the kinds of servers
	Weights   string            `json:"Weights"`    // name of the weights of servers that apply
	Bounds    requestBounds     `json:"Bounds"`     // of one request
	Rules     serverRules       `json:"Rules"`
	Classes   []classSettings   `json:"Grades"`
	Hierarchy hierarchySettings `json:"FamilyInfo"`
}

// requestBounds limit what a process may do for one request.
type requestBounds struct {
	Cancel              bool  `json:"Cancel"`
	RetryAfter          bool  `json:"RetryAfter"`
	MaxAttempts         int   `json:"MostTries"`
	MaxRetryAfterUs     int64 `json:"MaxRetryAfterUs"` // longest Retry-After
	ConnectTimeoutUs    int64 `json:"ConnectTimeoutUs"`
	ConnIdleUs          int64 `json:"ConnIdleUs"`
	StreamsPerConn      int   `json:"StreamsPerConn"`
	MaxInFlightRequests int   `json:"MostHeld"`
}

// serverRules say how servers drain, warm up and collapse under overload.
type serverRules struct {
	DrainGraceUs       int64   `json:"DrainGraceUs"`
	ColdCapacity       float64 `json:"ColdFrom"`     // fraction of a server's capacity when it starts without copies
	OverloadMultiple   float64 `json:"FallMultiple"` // multiple of its capacity from which a server collapses
	OverloadRecoveryUs int64   `json:"FallUs"`
	WarmUpUs           int64   `json:"WarmWithinUs"`
}

// classSettings describe one class of requests.
type classSettings struct {
	Name               string  `json:"Name"`
	Effect             string  `json:"Effect"` // "idempotent" or "at_most_once"
	LatencyObjectiveUs int64   `json:"TargetUs"`
	DeadlineUs         int64   `json:"DeadlineUs"` // from the arrival of the request
	PriorityWeight     float64 `json:"Worth"`
	ObjectiveStretch   float64 `json:"AimStretch"`
}

// hierarchySettings describe the hierarchy of caches, parents and origin.
type hierarchySettings struct {
	ParentKind          int     `json:"SecondTierKind"`
	OriginKind          int     `json:"RootKind"`
	EventDetail         string  `json:"NoteLevel"`
	FillFromPeers       string  `json:"PeersFill"`
	SharesFills         bool    `json:"SharesFills"` // servers may merge concurrent fills of an object
	MayBypass           bool    `json:"MayPassBy"`
	ZoneProcesses       []int   `json:"ZoneBalancers"` // number of processes, by zone
	Uncached            []bool  `json:"Uncached"`      // by class
	InParts             []bool  `json:"InParts"`       // by class: objects are divided into parts
	ClassFreshUs        []int64 `json:"ClassFreshUs"`  // by class: age up to which a copy is fresh; 0: a copy is always fresh
	StaleForUs          []int64 `json:"StaleForUs"`    // by class: how much older a copy may be while it is renewed
	PurgeDelayUs        int64   `json:"PurgeTakesUs"`
	NotificationGraceUs int64   `json:"NoticeTimeUs"`
	FlowKbPerS          float64 `json:"FlowKbPerS"` // bandwidth of a transfer
	ParentColdCapacity  float64 `json:"ParentColdFrom"`
	ParentBreaksAt      float64 `json:"ParentBreaksAt"` // multiple of its capacity from which a parent fails
	ParentWarmUpUs      int64   `json:"ParentWarmsInUs"`
}

// configure writes the configuration of a process, with the present endpoint list.
func (c *Cluster) configure(p *Process, discovery string) error {
	return p.writeConfiguration(configuration{
		Name: p.Name, Listen: p.Listen, Discovery: discovery, Seed: fmt.Sprintf("%016x", c.processSeed(p)),
		Limits: resourceLimits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		Known:  c.Discovery.InitialEvents(),
		Settings: settings{
			Processes: c.options.Zones * c.options.ProcessesPerZone, Rank: slices.Index(c.Processes, p),
			Zone: p.Zone, Zones: c.zones(), Kinds: c.kinds(), Weights: "nominal",
			Bounds: requestBounds{
				Cancel: true, RetryAfter: true, MaxAttempts: 8, MaxRetryAfterUs: 500_000, ConnectTimeoutUs: 400_000, ConnIdleUs: 4_000_000,
				StreamsPerConn: 32, MaxInFlightRequests: 2048,
			},
			Rules: serverRules{
				DrainGraceUs: microseconds(drainGrace), ColdCapacity: 0.25, OverloadMultiple: 2, OverloadRecoveryUs: 1_000_000, WarmUpUs: 10_000_000,
			},
			Classes:   convertClasses(c.options.Classes),
			Hierarchy: c.hierarchySettings(),
		},
	})
}

// processSeed returns the seed of a process's random numbers, which differs for each start.
func (c *Cluster) processSeed(p *Process) uint64 {
	return c.options.Seed*1_000_003 + uint64(p.starts)<<32 + hashName(p.Name)
}

func convertClasses(classes []load.Class) []classSettings {
	converted := make([]classSettings, 0, len(classes))
	for _, class := range classes {
		s := classSettings{
			Name: class.Name, Effect: "idempotent", LatencyObjectiveUs: 400_000, DeadlineUs: microseconds(class.DeadlineMs),
			PriorityWeight: 1, ObjectiveStretch: 1.6,
		}
		if class.Write {
			s.Effect = "at_most_once"
			s.PriorityWeight = 3
		}
		converted = append(converted, s)
	}
	return converted
}

func (c *Cluster) hierarchySettings() hierarchySettings {
	s := hierarchySettings{
		ParentKind: kindParent, OriginKind: kindOrigin, EventDetail: "all", FillFromPeers: "location", SharesFills: true, MayBypass: true,
		ZoneProcesses: make([]int, c.options.Zones+1),
		PurgeDelayUs:  microseconds(purgeDelay), NotificationGraceUs: microseconds(purgeGrace), FlowKbPerS: 100_000,
		ParentColdCapacity: 0.25, ParentBreaksAt: 2, ParentWarmUpUs: 10_000_000,
	}
	for zone := range c.options.Zones {
		s.ZoneProcesses[zone] = c.options.ProcessesPerZone
	}
	for _, class := range c.options.Classes {
		s.Uncached = append(s.Uncached, class.Write)
		s.InParts = append(s.InParts, class.PartsPerObject > 1)
		s.ClassFreshUs = append(s.ClassFreshUs, 0)
		s.StaleForUs = append(s.StaleForUs, 0)
	}
	return s
}

// microseconds converts a time in ms.
func microseconds(ms float64) int64 { return int64(ms * 1000) }

// hashName returns the FNV-1a hash of a name, from which seeds are derived that differ for each process.
func hashName(name string) uint64 {
	const offsetBasis, prime = 14695981039346656037, 1099511628211
	hash := uint64(offsetBasis)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * prime
	}
	return hash
}
