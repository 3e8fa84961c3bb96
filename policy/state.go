package policy

import (
	"cmp"
	"math"
	"slices"
)

// serverRole is the use that this router makes of a server.
type serverRole int

const (
	roleCache serverRole = iota // a cache of this router's zone
	roleParent
	roleOrigin
	roleOtherZone // a cache of another zone
)

// server is one process of a cache, a parent or the origin. The zone's inbound link is represented as a
// server too, since it has a limit and a late rate. Its role is roleCache, so that its limit has the bounds
// of a cache's.
type server struct {
	Member
	ServerStats
	role            serverRole
	listed          bool
	idHash          uint64
	rendezvousScore float64 // computed by the last rendezvousOrder

	probing         bool // a probe is in flight
	overloadedUntil Time // until then it gets no request
	noFillsUntil    Time // until then it gets no request that may need a fill
	openFills       int  // open attempts that name it as their source
	originFills     int  // for the origin: open fills at parents that may reach it
	exemptAttempts  int  // open attempts sent to it that occupy no slot

	inFlight []*attempt // open attempts sent to it, oldest first
}

// usable reports whether a server may be named in an action: it is listed and not draining.
func (s *server) usable() bool { return s != nil && s.listed && s.State == Ready }

func newServer(id ServerID) *server {
	return &server{
		Member: Member{ID: id}, ServerStats: ServerStats{Limit: sourceLimitStart}, idHash: mix(uint64(id)),
	}
}

// attempt is one attempt of a request.
type attempt struct {
	request         *openRequest
	index           int
	server          *server
	source          *server // nil: none is named; equal to server: no fill
	sentAt          Time
	open            bool    // it has no outcome yet
	mayHaveExecuted bool    // its outcome does not exclude that the request was executed
	fillCost        float64 // charged to the source's warm-up budget, in seconds of transfer time
	probed          *server // the server that it probes; nil: none
	late            bool    // its latency objective has passed
	limitExempt     bool    // it occupies no slot at its server; see occupied
	failed          bool    // it ended in an error, caused by the server or by the request itself
	origin          *server // the origin, if the fill at a parent may reach it; otherwise nil
}

// hasSource reports whether the attempt names another server as its source.
func (a *attempt) hasSource() bool { return a.source != nil && a.source != a.server }

// openRequest is a request without a final answer, or with an attempt that has no outcome yet.
type openRequest struct {
	Request
	class         *Class
	objectHash    uint64 // determines the order of parents
	cacheHash     uint64 // of the object, or of the part if it is multipart; determines the order of caches
	deadline      Time
	attempts      []*attempt
	openAttempts  int
	done          bool      // it has its final answer or needs none
	streaming     bool      // its streamed answer has begun
	awaitingRetry bool      // it waits for its retryTimer
	admissionDraw float64   // random, between 0 and 1; see overLimit
	errors        int       // attempts that ended in an error
	rejections    int       // attempts that ended in an overload, or for which no fill was possible
	failedServers []*server // excluded from the next attempts; servers of any role
	failedSources []*server // excluded as sources of the next attempts
	timers        []uint64  // tokens of its timers and those of its attempts, also of past ones
}

// attempt returns the attempt with the given index; nil if there is none.
func (req *openRequest) attempt(index int) *attempt {
	if req == nil || index < 0 || index >= len(req.attempts) {
		return nil
	}
	return req.attempts[index]
}

// firstPossiblyExecuted returns the earliest attempt that may have executed the request; nil if none can
// have.
func (req *openRequest) firstPossiblyExecuted() *attempt {
	for _, attempt := range req.attempts {
		if attempt.open || attempt.mayHaveExecuted {
			return attempt
		}
	}
	return nil
}

// objectPart identifies an object, or one part of a multipart object.
type objectPart struct {
	object string
	part   int
}

// recentHit says where an object was found, and when.
type recentHit struct {
	server *server
	at     Time
}

// Router makes the decisions of one router instance. Routers are created by New.
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
	link        *server // the zone's inbound link, which all fills of its caches share
	watching    bool    // a Watch was requested
	limitScale  float64 // number of attempts that one slot stands for; see referenceLinkTransfers

	recentHits        *boundedMap[objectPart, recentHit]
	objectPurges      *boundedMap[string, Time]
	groupPurges       *boundedMap[int, Time]
	lastGroupPurge    Time // latest purge of any group
	anyGroupPurged    bool
	discoveryOverdue  bool
	unseenPurgesUntil Time // while discoveryOverdue: purges made until then may not have been reported

	transferTime        []float64 // by class, in seconds, without the effects of overload
	recentTransferTime  []float64 // by class, in seconds
	transferTimeUpdated []Time    // by class
	fillRate            Fraction  // fraction of answers that needed a fill
	originRate          Fraction  // fraction of answers that needed the origin

	// By role: the work that its servers do for this router, and the highest average load per server, in
	// concurrent transfers. See recordServed.
	servedRate [roleOtherZone + 1]decayingRate
	peakLoad   [roleOtherZone + 1]float64
}

func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// random returns the next number of the router's random sequence, between 0 and 1.
func (r *Router) random() float64 {
	r.rng = mix(r.rng)
	return uniform(r.rng)
}

// finish marks a request as done, and removes it once its last attempt has an outcome.
func (r *Router) finish(req *openRequest) {
	if req == nil {
		return
	}
	req.done = true
	if req.openAttempts == 0 {
		r.remove(req)
	}
}

// exemptFromLimit stops counting an open attempt against the limit of its server.
func (r *Router) exemptFromLimit(attempt *attempt) {
	if !attempt.limitExempt && attempt.open {
		attempt.limitExempt = true
		attempt.server.exemptAttempts++
	}
}

// openAttempt counts a new attempt, and the fill that it may cause, as in flight. It charges the transfer
// time of the request's class to the warm-up budgets of the server and the source.
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

// closeAttempt removes an attempt and its fill from all counts of what is in flight.
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
// and removes servers that are neither listed nor in use. Only new servers are out of order, so the sort is
// fast even for a large fleet.
func (r *Router) rebuildLists() {
	slices.SortFunc(r.serversByID, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	r.caches, r.parents, r.origin = make([]*server, 0, len(r.caches)+1), nil, nil
	r.serversByID = slices.DeleteFunc(r.serversByID, func(server *server) bool {
		switch {
		case !server.listed && len(server.inFlight) == 0 && server.openFills+server.originFills == 0:
			if r.servers[server.ID] == server {
				delete(r.servers, server.ID)
			}
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

// classTransferTime returns the estimated transfer time of an answer of the request's class, in seconds.
func (r *Router) classTransferTime(req *openRequest) float64 { return r.transferTime[req.Class] }

// knownTransferTime returns the time that the transfer of the request's own bytes takes at least, in seconds;
// 0 if the size or the rate of a transfer is unknown.
func (r *Router) knownTransferTime(req *openRequest) float64 {
	return req.SizeKB / cmp.Or(max(0, r.settings.TransferKBPerS), math.Inf(1))
}

// warmUp returns the settings for the warm-up of servers of this role.
func (r *Router) warmUp(server *server) WarmUp {
	if server.role == roleParent {
		return r.settings.ParentWarmUp
	}
	return r.settings.CacheWarmUp
}

// routersSharing returns the number of routers that send requests to a server: for a cache the routers of its
// zone, if their number is known, otherwise all routers.
func (r *Router) routersSharing(server *server) int {
	zone, counts := server.Zone, r.settings.ZoneRouters
	if server.role == roleCache && zone >= 0 && zone < len(counts) && counts[zone] > 0 {
		return counts[zone]
	}
	return r.settings.Routers
}

// rendezvousOrder returns the servers sorted by their score for a key in rendezvous hashing, the highest
// first. With weights, the fraction of keys for which a server comes first is proportional to its weight.
func rendezvousOrder(servers []*server, key uint64, weighted bool) []*server {
	order := append(make([]*server, 0, len(servers)), servers...)
	for _, server := range order {
		// Without weights the logarithm is not needed, as it would not change the order.
		if server.rendezvousScore = uniform(mix(key ^ server.idHash)); weighted {
			server.rendezvousScore = -cmp.Or(max(0, server.Weight), 1) / math.Log(server.rendezvousScore)
		}
	}
	slices.SortStableFunc(order, func(a, b *server) int {
		return cmp.Compare(b.rendezvousScore, a.rendezvousScore)
	})
	return order
}
