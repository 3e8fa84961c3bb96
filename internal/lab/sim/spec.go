package sim

import (
	"fmt"
	"math"
	"strings"

	"ravenwheel/internal/strictjson"
	"ravenwheel/policy"
)

// Spec is one scenario. Times are in ms unless a name says otherwise, sizes in KB.
type Spec struct {
	Name     string    `json:"name"`
	Seconds  float64   `json:"seconds"`
	Warmup   float64   `json:"warmup_s"` // played first and not counted, so that stores hold what is asked for; troubles come after it
	Fleet    Fleet     `json:"fleet"`
	Traffic  Traffic   `json:"traffic"`
	Clients  Clients   `json:"clients"`
	Rules    Rules     `json:"rules"`
	Troubles []Trouble `json:"troubles"`
}

// Fleet is what there is, and what it can do.
type Fleet struct {
	Branches   int     `json:"branches"`
	Caches     int     `json:"caches"`      // in each branch
	Proxies    int     `json:"proxies"`     // in each branch
	Hubs       int     `json:"hubs"`        // in a ring
	Parents    int     `json:"parents"`     // at each hub
	Flow       float64 `json:"flow_kb_s"`   // of one transfer at most
	CacheLink  float64 `json:"cache_link"`  // out, in transfers
	ParentLink float64 `json:"parent_link"` // out, in transfers
	BranchLink float64 `json:"branch_link"` // in, in transfers
	CacheRoom  float64 `json:"cache_kb"`
	ParentRoom float64 `json:"parent_kb"`
	Slots      int     `json:"slots"`        // requests at once at a cache
	Origin     int     `json:"origin_slots"` // answers that the origin makes at once
	OriginMs   float64 `json:"origin_ms"`    // that one takes on average
	OriginLine int     `json:"origin_queue"` // that may wait; more are turned away
	Near       float64 `json:"near_ms"`      // one way, within a branch
	ToHub      float64 `json:"hub_ms"`       // one way, from a branch to its hub
	Step       float64 `json:"hub_step_ms"`  // more for each step round the ring
	FillWait   float64 `json:"fill_wait_ms"` // after which a cache gives a fill up
	ColdFrom   float64 `json:"cold_from"`    // share of its link that a server starts with
	WarmIn     float64 `json:"warm_ms"`      // until it has all
	FallsAt    float64 `json:"falls_at"`     // times what it can do then
	FallsIn    float64 `json:"falls_in_ms"`  // within which that tips it over
	BoardLag   float64 `json:"board_lag_ms"` // until proxies hear of a change
	PurgeLag   float64 `json:"purge_lag_ms"` // until they hear of a purge, at most
	PurgeTakes float64 `json:"purge_takes_ms"`

	// What settings of operators differ in. Absent: as above.
	BranchCaches  []int     `json:"branch_caches"`  // of each branch, in place of caches; its traffic and its link are in proportion
	BranchProxies []int     `json:"branch_proxies"` // of each branch, in place of proxies
	Sizes         []float64 `json:"cache_sizes"`    // times cache_link, cache_kb and slots, by turns over all caches
	WeightsTold   bool      `json:"weights_told"`   // proxies are told sizes
	WeightsOff    float64   `json:"weights_off"`    // by up to this share a size told is wrong
	LinksTold     bool      `json:"links_told"`     // proxies are told the branches' links
	FillPace      float64   `json:"fill_pace"`      // times flow_kb_s that one fill runs at the most
	Fills         int       `json:"fills_at_once"`  // at a cache; 0: no limit
	FillsRunOn    bool      `json:"fills_run_on"`   // a fill whose client has left goes on
	Joins         bool      `json:"joins"`          // a request may join a fill that is under way
	ParentsJoin   bool      `json:"parents_join"`   // a parent fetches once for all who wait
	Direct        bool      `json:"direct"`         // requests may go to parents and the origin past all caches
	ParentFrom    float64   `json:"parent_cold_from"`
	ParentWarm    float64   `json:"parent_warm_ms"`
	ParentFalls   float64   `json:"parent_falls_at"`
}

// Traffic is what clients ask for.
type Traffic struct {
	PerS    float64 `json:"per_s"` // of each branch
	Objects int     `json:"objects"`
	Zipf    float64 `json:"zipf"`   // exponent of popularity
	Shift   float64 `json:"shift"`  // added to ranks: the most popular stand out less
	OneOff  float64 `json:"oneoff"` // share that is asked for once only
	Classes []Class `json:"classes"`
	Purges  float64 `json:"purges_per_s"`
}

// Class is one class of requests.
type Class struct {
	Name     string  `json:"name"`
	Share    float64 `json:"share"`
	KB       float64 `json:"kb"` // on average, exponentially spread
	Parts    int     `json:"parts"`
	Target   float64 `json:"target_ms"`
	Stretch  float64 `json:"stretch"`
	Deadline float64 `json:"deadline_ms"`
	Worth    float64 `json:"worth"`
	Late     float64 `json:"late_value"`
	Write    bool    `json:"write"`
	Effect   string  `json:"effect"`    // safe, keyed or unsafe; absent: unsafe if it writes, else safe
	Window   float64 `json:"window_ms"` // of a keyed one: how long the origin drops a repeat
	Local    float64 `json:"local"`     // share that is for objects wanted in one branch only
}

// repeats is what a repeat of a request of this class may do.
func (c Class) repeats() policy.Idempotency {
	switch {
	case c.Effect == "keyed":
		return policy.IdempotentByKey
	case c.Effect == "unsafe" || c.Effect == "" && c.Write:
		return policy.NotIdempotent
	}
	return policy.Idempotent
}

// Clients come back by themselves.
type Clients struct {
	Retries int     `json:"retries"`
	Backoff float64 `json:"backoff_ms"` // by "wait"
	Wait    string  `json:"wait"`       // before a retry: exp (doubling), fixed or none
	TryFrom float64 `json:"try_share"`  // a try is given up after this share of the deadline at the least
	Honour  float64 `json:"honour"`     // share of those that obey advice
	Most    float64 `json:"most_backoff_ms"`
}

// Rules are the graces.
type Rules struct {
	Drain  float64 `json:"drain_ms"`
	Purge  float64 `json:"purge_ms"`
	Answer float64 `json:"answer_ms"`
}

// Trouble is what goes wrong.
type Trouble struct {
	At   float64 `json:"at_s"`
	For  float64 `json:"for_s"`
	Kind string  `json:"kind"`
	// Share of what it strikes, or how many times: of traffic for a burst, of its time for a slow origin.
	Size float64 `json:"size"`
	// Of heavy: the share of a class's requests. Of proxy_roll: the seconds that one is down.
	Extra float64 `json:"extra"`
}

// The kinds of trouble: traffic jumps; groups are purged at once; caches or parents take requests and answer none; a hub's
// parents, or a branch's caches, are lost and come back empty; the origin slows down; all caches are replaced in turn; all caches
// lose their copies and nothing else; caches die and come back empty; proxies are restarted one after another with nothing but
// their last list; the list runs seconds further behind; some requests of one class are for new objects many times the usual size.
var troubleKinds = []string{
	"burst", "purge", "hang", "hang_parents", "hub_lost", "branch_lost", "origin_slow", "roll", "empty", "crash", "proxy_roll",
	"stale_list", "heavy",
}

// waitKinds and effectKinds are the words of a client's wait and of a class's effect.
var waitKinds, effectKinds = []string{"exp", "fixed", "none"}, []string{"", "safe", "keyed", "unsafe"}

// Default is a fleet like the one that the program was made for.
func Default() Spec {
	return Spec{
		Seconds: 40,
		Fleet: Fleet{
			Branches: 3, Caches: 3, Proxies: 1, Hubs: 2, Parents: 1, Flow: 6000, CacheLink: 10, ParentLink: 30, BranchLink: 24,
			CacheRoom: 150_000, ParentRoom: 1_500_000, Slots: 200, Origin: 24, OriginMs: 40, OriginLine: 200, Near: 0.3, ToHub: 8,
			Step: 25, FillWait: 2500, ColdFrom: 0.15, WarmIn: 18_000, FallsAt: 3, FallsIn: 3000, BoardLag: 3000, PurgeLag: 300, PurgeTakes: 6000,
			WeightsTold: true, FillPace: 3,
		},
		Traffic: Traffic{PerS: 50, Objects: 3000, Zipf: 0.9, OneOff: 0.1, Purges: 0.4, Classes: []Class{
			{Name: "replay", Share: 0.53, KB: 700, Parts: 12, Target: 400, Stretch: 1.6, Deadline: 5000, Worth: 2, Late: 0.1},
			{Name: "asset", Share: 0.44, KB: 150, Parts: 1, Target: 400, Stretch: 2, Deadline: 2500, Worth: 1, Late: 0.1},
			{Name: "seat-claim", Share: 0.03, KB: 2, Parts: 1, Target: 600, Deadline: 3000, Worth: 3, Late: 0.1, Write: true},
		}},
		Clients: Clients{Retries: 3, Backoff: 100, Wait: "exp", TryFrom: 0.5, Honour: 0.6, Most: 500},
		Rules:   Rules{Drain: 2000, Purge: 1000, Answer: 50},
	}
}

// Parse reads a scenario over the defaults, or says where it can't be used.
func Parse(file string, text []byte) (Spec, strictjson.Defects) {
	s := Default()
	doc := strictjson.Decode(file, text, &s)
	if doc.Valid() {
		s.check(doc)
	}
	doc.Defects.Sort()
	return s, doc.Defects
}

func (s *Spec) check(doc *strictjson.Document) {
	within := func(path string, v, least, most float64) {
		if !(v >= least && v <= most) {
			doc.Failf(path, "%s %.10g is not %.10g to %.10g", path[strings.LastIndexByte(path, '.')+1:], v, least, most)
		}
	}
	count := func(path string, v, least, most int) { within(path, float64(v), float64(least), float64(most)) }
	within("seconds", s.Seconds, 0.1, 80_000)
	within("warmup_s", s.Warmup, 0, 6400)
	f := s.Fleet
	count("fleet.branches", f.Branches, 1, 10_000)
	count("fleet.caches", f.Caches, 1, 10_000)
	count("fleet.proxies", f.Proxies, 1, 1000)
	count("fleet.hubs", f.Hubs, 1, 1000)
	count("fleet.parents", f.Parents, 0, 1000)
	count("fleet.slots", f.Slots, 1, 1e6)
	count("fleet.origin_slots", f.Origin, 0, 1e6)
	count("fleet.origin_queue", f.OriginLine, 0, 1e7)
	for path, v := range map[string]float64{
		"fleet.flow_kb_s": f.Flow, "fleet.cache_kb": f.CacheRoom, "fleet.parent_kb": f.ParentRoom, "fleet.cache_link": f.CacheLink,
		"fleet.parent_link": f.ParentLink, "fleet.branch_link": f.BranchLink, "fleet.origin_ms": f.OriginMs, "fleet.near_ms": f.Near,
		"fleet.hub_ms": f.ToHub, "fleet.hub_step_ms": f.Step, "fleet.board_lag_ms": f.BoardLag, "fleet.purge_lag_ms": f.PurgeLag,
		"fleet.purge_takes_ms": f.PurgeTakes, "fleet.warm_ms": f.WarmIn, "traffic.purges_per_s": s.Traffic.Purges,
		"clients.backoff_ms": s.Clients.Backoff, "clients.most_backoff_ms": s.Clients.Most,
		"rules.drain_ms": s.Rules.Drain, "rules.purge_ms": s.Rules.Purge, "rules.answer_ms": s.Rules.Answer,
	} {
		within(path, v, 0, 1e12)
	}
	within("fleet.fill_wait_ms", f.FillWait, 1, 1e6)
	within("fleet.cold_from", f.ColdFrom, 0.001, 1)
	within("fleet.falls_at", f.FallsAt, 1, 1e6)
	within("fleet.falls_in_ms", f.FallsIn, 1, 1e6)
	within("traffic.per_s", s.Traffic.PerS, 0, 1e6)
	count("traffic.objects", s.Traffic.Objects, 1, 1e7)
	within("traffic.zipf", s.Traffic.Zipf, 0, 3)
	within("traffic.shift", s.Traffic.Shift, 0, 1e6)
	within("traffic.oneoff", s.Traffic.OneOff, 0, 1)
	within("clients.honour", s.Clients.Honour, 0, 1)
	count("clients.retries", s.Clients.Retries, 0, 20)
	if len(s.Traffic.Classes) == 0 {
		doc.Failf("traffic.classes", "classes is empty")
	}
	total := 0.0
	for i, c := range s.Traffic.Classes {
		at := fmt.Sprintf("traffic.classes[%d]", i)
		if total += c.Share; c.Name == "" {
			doc.Failf(at+".name", "a class needs a name")
		}
		within(at+".share", c.Share, 0, 1e6)
		within(at+".kb", c.KB, 0.001, 1e9)
		count(at+".parts", c.Parts, 1, 10_000)
		within(at+".deadline_ms", c.Deadline, 1, 1e7)
		within(at+".target_ms", c.Target, 1, c.Deadline)
		within(at+".worth", c.Worth, 0, 1e6)
		within(at+".late_value", c.Late, 0, 1)
		within(at+".local", c.Local, 0, 1)
	}
	if len(s.Traffic.Classes) > 0 && !(total > 0) {
		doc.Failf("traffic.classes", "no class has a share")
	}
	if math.IsNaN(total) {
		doc.Failf("traffic.classes", "shares are no numbers")
	}
	s.checkKinds(doc, within)
}
