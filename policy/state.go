package policy

import (
	"cmp"
	"math"
	"slices"
)

// serverRole is what a server is to this router.
type serverRole int

const (
	roleCache serverRole = iota // of this router's zone
	roleParent
	roleOrigin
	roleOtherZone // a cache of another zone
)

// server is a cache, a parent or the origin. The zone's link is one too, for its limit and rates: its role is
// roleCache, so that its limit has the bounds of a cache's.
type server struct {
	Member
	ServerStats
	role            serverRole
	listed          bool
	idHash          uint64
	rendezvousScore float64 // of the last rendezvousOrder

	probing         bool // a probe is in flight
	overloadedUntil Time // it gets no request until then
	noFillsUntil    Time // it gets no request that may need a fill until then
	openFills       int  // open attempts that name it as their source
	originFills     int  // of the origin: open fills at parents that may reach it
	exemptAttempts  int  // open attempts here that occupy no slot

	inFlight []*attempt // attempts sent here, oldest first
}

// usable reports whether a server may be named in an action: it is listed and not draining.
func (s *server) usable() bool { return s != nil && s.listed && s.State == Ready }

func newServer(id ServerID) *server {
	return &server{ServerStats: ServerStats{Limit: sourceLimitStart}, idHash: mix(uint64(id))}
}

// attempt is one attempt of a request.
type attempt struct {
	request         *openRequest
	index           int
	server          *server
	source          *server // nil: none is named; server itself: no fill
	sentAt          Time
	open            bool // it has no outcome yet
	mayHaveExecuted bool
	fillCost        float64 // charged to the source's warm-up budget, in seconds of transfer time
	probed          *server // the server that it probes; nil: none
	late            bool    // its latency objective has passed
	limitExempt     bool    // it occupies no slot at its server, see occupied
	failed          bool    // it ended in an error: the server's fault, or the request's
	origin          *server // the origin, if its fill at a parent may reach it
}

// hasSource reports whether the attempt names another server as its source.
func (a *attempt) hasSource() bool { return a.source != nil && a.source != a.server }

// openRequest is a request that has no final answer yet, or whose attempts have no outcome yet.
type openRequest struct {
	Request
	class         *Class
	objectHash    uint64 // determines the order of parents
	cacheHash     uint64 // of the object or part that a cache retains; determines the order of caches
	deadline      Time
	attempts      []*attempt
	openAttempts  int
	done          bool
	streaming     bool
	awaitingRetry bool
	admissionDraw float64   // random, between 0 and 1; see overLimit
	errors        int       // attempts that ended in an error
	rejections    int       // attempts that ended in an overload
	failedServers []*server // servers that failed this request, of any role
	failedSources []*server // sources that failed this request
}

func (req *openRequest) attempt(index int) *attempt {
	if req == nil || index < 0 || index >= len(req.attempts) {
		return nil
	}
	return req.attempts[index]
}

// firstPossiblyExecuted is the earliest attempt that may have been executed; nil if none can have been.
func (req *openRequest) firstPossiblyExecuted() *attempt {
	for _, attempt := range req.attempts {
		if attempt.open || attempt.mayHaveExecuted {
			return attempt
		}
	}
	return nil
}

// objectPart is the key of a recent hit.
type objectPart struct {
	object string
	part   int
}

type recentHit struct {
	server *server
	at     Time
}

// Router decides for one router instance. See New.
type Router struct {
	settings  Settings
	rng       uint64 // state of the random sequence
	now       Time
	actions   []Action // of the event that is being handled
	requests  map[string]*openRequest
	timers    map[uint64]timer
	lastToken uint64

	servers     map[ServerID]*server
	serversByID []*server // all servers, by id
	caches      []*server // listed ones of this zone, by id
	parents     []*server // listed ones, by id
	origin      *server
	link        *server // the zone's link in, which all its fills share
	watching    bool
	limitScale  float64 // attempts per slot of a limit

	recentHits        *boundedMap[objectPart, recentHit]
	objectPurges      *boundedMap[string, Time]
	groupPurges       *boundedMap[int, Time]
	discoveryOverdue  bool
	unseenPurgesUntil Time // while discoveryOverdue: purges made until then may be unknown

	transferTime        []float64 // by class, in seconds, without the effects of overload
	recentTransferTime  []float64 // by class, in seconds
	transferTimeUpdated []Time    // by class
	fillRate            Fraction  // fraction of answers that needed a fill
	originRate          Fraction  // fraction of answers that needed the origin
	servedRate          [roleOtherZone + 1]decayingRate
	peakLoad            [roleOtherZone + 1]float64 // most transfers at once that a server of the role did here
}

func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// random returns the next number of the router's random sequence, between 0 and 1.
func (r *Router) random() float64 {
	r.rng = mix(r.rng)
	return uniform(r.rng)
}

// finish marks a request as answered; it is forgotten once its last attempt has an outcome.
func (r *Router) finish(req *openRequest) {
	if req == nil {
		return
	}
	req.done = true
	if req.openAttempts == 0 {
		delete(r.requests, req.ID)
	}
}

// exemptFromLimit lets an open attempt occupy no slot at its server any more.
func (r *Router) exemptFromLimit(attempt *attempt) {
	if !attempt.limitExempt && attempt.open {
		attempt.limitExempt = true
		attempt.server.exemptAttempts++
	}
}

// openAttempt records a new attempt, and the fill that it may cause, as in flight, and charges the warm-up
// budgets of its server and source with the transfer time of its class.
func (r *Router) openAttempt(
	req *openRequest, to, source *server, options FillOptions, probed *server,
) *attempt {
	a := &attempt{
		request: req, index: len(req.attempts), server: to, source: source, sentAt: r.now, open: true,
		probed: probed,
	}
	req.attempts = append(req.attempts, a)
	req.openAttempts++
	to.inFlight = append(to.inFlight, a)
	to.Credit -= r.classTransferTime(req)
	if req.class.Uncached {
		r.exemptFromLimit(a)
	}
	if !a.hasSource() {
		return a
	}
	a.fillCost = r.classTransferTime(req)
	source.Credit -= a.fillCost
	source.openFills++
	r.link.openFills++
	if source.role == roleParent && options&CachedOnly == 0 && r.origin != nil {
		a.origin = r.origin
		a.origin.originFills++
	}
	return a
}

// closeAttempt removes an attempt from all counts of what is in flight.
func (r *Router) closeAttempt(attempt *attempt) {
	if !attempt.open {
		return
	}
	attempt.open = false
	attempt.request.openAttempts--
	if attempt.limitExempt {
		attempt.server.exemptAttempts--
	}
	if attempt.hasSource() {
		attempt.source.openFills--
		r.link.openFills--
		if attempt.origin != nil {
			attempt.origin.originFills--
		}
	}
	attempt.server.inFlight = removeFirst(attempt.server.inFlight, attempt)
}

// rebuildLists sorts the listed servers by role and id, so that no decision depends on the order of a map,
// and forgets servers that are neither listed nor in use. All but new servers are in order already, which
// keeps the sort of a large fleet short.
func (r *Router) rebuildLists() {
	slices.SortFunc(r.serversByID, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	r.caches, r.parents, r.origin = make([]*server, 0, len(r.caches)+1), nil, nil
	r.serversByID = slices.DeleteFunc(r.serversByID, func(server *server) bool {
		switch {
		case !server.listed && len(server.inFlight) == 0 && server.openFills+server.originFills == 0:
			delete(r.servers, server.ID)
			return true
		case !server.listed:
		case server.role == roleCache:
			r.caches = append(r.caches, server)
		case server.role == roleParent:
			r.parents = append(r.parents, server)
		case server.role == roleOrigin && r.origin == nil:
			r.origin = server
		}
		return false
	})
}

// classTransferTime is the estimated transfer time of an answer of the request's class, in seconds.
func (r *Router) classTransferTime(req *openRequest) float64 { return r.transferTime[req.Class] }

// knownTransferTime is the transfer time of the request's own bytes in seconds; 0 if its size or the pace of
// a transfer is unknown.
func (r *Router) knownTransferTime(req *openRequest) float64 {
	return req.SizeKB / cmp.Or(max(0, r.settings.TransferKBPerS), math.Inf(1))
}

// warmUp is what the settings say about the warm-up of servers of this role.
func (r *Router) warmUp(server *server) WarmUp {
	if server.role == roleParent {
		return r.settings.ParentWarmUp
	}
	return r.settings.CacheWarmUp
}

// routersSharing is the number of routers that send to a server: for a cache those of its zone, if that
// number is known, otherwise all.
func (r *Router) routersSharing(server *server) int {
	zone, counts := server.Zone, r.settings.ZoneRouters
	if server.role == roleCache && zone >= 0 && zone < len(counts) && counts[zone] > 0 {
		return counts[zone]
	}
	return r.settings.Routers
}

// rendezvousOrder sorts servers by their rendezvous score for a key, the highest first. With weights a server
// gets a fraction of all keys in proportion to its weight.
func rendezvousOrder(servers []*server, key uint64, weighted bool) []*server {
	order := append(make([]*server, 0, len(servers)), servers...)
	for _, server := range order {
		// Without weights the hash itself sorts as its logarithm would.
		if server.rendezvousScore = uniform(mix(key ^ server.idHash)); weighted {
			server.rendezvousScore = -cmp.Or(max(0, server.Weight), 1) / math.Log(server.rendezvousScore)
		}
	}
	slices.SortStableFunc(order, func(a, b *server) int { return cmp.Compare(b.rendezvousScore, a.rendezvousScore) })
	return order
}
