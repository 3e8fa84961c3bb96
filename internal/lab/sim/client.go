package sim

import (
	"math"
	"math/rand/v2"

	"ravenwheel/policy"
)

// clientRequest is a request of a client, over all of its attempts.
type clientRequest struct {
	sim            *simulation
	branch         *branch
	rng            *rand.Rand
	number         uint64 // sequence number among the requests of all clients
	class          int
	key            partKey
	kb             float64
	madeAt         float64 // ms at which the client made it
	attemptTimeout float64 // ms
	attempts       int
	current        *request // the last attempt
	ended          bool
}

// idleCheckInterval is the time, in ms, between checks whether a branch without traffic has traffic again.
const idleCheckInterval = 100

// scheduleArrival schedules the next request of a branch's clients and, when it arrives, the one after it: a Poisson process.
func (s *simulation) scheduleArrival(b *branch) {
	rng := s.arrivalRNGs[b.number]
	rate := s.scenario.Traffic.Rate * s.scenario.Fleet.relativeSize(b.number) * s.trafficMultiple / 1000
	if rate <= 0 {
		s.after(idleCheckInterval, func() { s.scheduleArrival(b) })
		return
	}
	s.after(-math.Log(1-rng.Float64())/rate, func() {
		if s.now >= s.end() {
			return
		}
		s.makeRequest(b, rng)
		s.scheduleArrival(b)
	})
}

// firstLocalObject is the lowest number of an object that is requested in one branch only. Objects that are requested once have
// lower numbers.
const firstLocalObject = 200_000_000

// makeRequest draws a request of a branch and sends it.
func (s *simulation) makeRequest(b *branch, rng *rand.Rand) {
	class := s.drawClass(rng)
	c := s.scenario.Traffic.Classes[class]
	s.clientRequests++
	// What the client does later is drawn from a random stream of the request's own. Otherwise later requests would depend on how
	// earlier ones were answered.
	clientRNG := rand.New(rand.NewPCG(s.seed, s.clientRequests))
	r := &clientRequest{sim: s, branch: b, rng: clientRNG, class: class, madeAt: s.now, number: s.clientRequests}
	object, large := s.drawObject(b, class, rng)
	// No two classes share an object.
	r.key.object = object*int32(len(s.scenario.Traffic.Classes)) + int32(class)
	if c.PartsPerObject > 1 {
		r.key.part = int32(rng.IntN(c.PartsPerObject))
	}
	r.kb = partSize(r.key, c.MeanKB)
	if large {
		r.kb = c.MeanKB * s.largeObjects.Magnitude
	}
	minFraction := s.scenario.Clients.MinAttemptFraction
	r.attemptTimeout = c.Deadline * (minFraction + (1-minFraction)*rng.Float64())
	s.result.countRequest(class, s.now, c.PriorityWeight)
	r.send()
}

// drawClass draws the index of a class.
func (s *simulation) drawClass(rng *rand.Rand) (class int) {
	classes := s.scenario.Traffic.Classes
	total := 0.0
	for _, c := range classes {
		total += c.Fraction
	}
	pick := rng.Float64() * total
	for i, c := range classes {
		class = i
		if pick < c.Fraction {
			break
		}
		pick -= c.Fraction
	}
	return class
}

// drawObject draws an object for a request of a class, and whether it is large because of a LargeObjects fault.
func (s *simulation) drawObject(b *branch, class int, rng *rand.Rand) (object int32, large bool) {
	t := s.scenario.Traffic
	local := t.Classes[class].LocalFraction
	object = int32(s.popularity.draw(rng))
	if rng.Float64() < t.OneOffFraction {
		object = s.newObject()
	} else if local > 0 && rng.Float64() < local {
		object += int32(firstLocalObject + b.number*t.Objects)
	}
	if s.largeObjects.Magnitude > 0 && class == largeObjectsClass && rng.Float64() < s.largeObjects.Extra {
		return s.newObject(), true
	}
	return object, false
}

// newObject returns an object that was not requested before.
func (s *simulation) newObject() int32 {
	object := s.nextOneOff
	s.nextOneOff++
	return object
}

// partSize returns the size of a part in KB. Sizes are exponentially distributed; a part always has the same size.
func partSize(key partKey, mean float64) float64 {
	// This is the finalizer of splitmix64 (Steele, Lea, Flood, 2014). The constant is added first, because 0 would hash to 0.
	h := uint64(key.object)<<20 ^ uint64(key.part) + 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	h ^= h >> 31
	uniform := (float64(h>>11) + 0.5) / (1 << 53)
	return max(0.5, -math.Log(uniform)*mean)
}

// send makes an attempt at a random proxy of the branch. The client waits for the answer no longer than the sum of the attempt's
// timeout and the grace period for answers.
func (r *clientRequest) send() {
	s := r.sim
	r.attempts++
	s.result.countClientAttempt(r.madeAt)
	p := r.branch.proxies[r.rng.IntN(len(r.branch.proxies))]
	attempt := r.attempts
	s.after(s.scenario.Fleet.BranchLatency, func() { p.receive(r) })
	s.after(r.attemptTimeout+s.scenario.Rules.AnswerGrace, func() {
		if !r.ended && r.attempts == attempt && r.current != nil && !r.current.answered {
			r.attemptEnded(r.current, outcomeUnanswered, 0)
		}
	})
}

// attemptEnded handles the outcome of an attempt. The client retries an attempt that was not served after a backoff, or after
// retryAfter (ms) if that is longer and the client honours it. It makes no further attempt once it has used its retries, or if
// the request may have run and must not run twice.
func (r *clientRequest) attemptEnded(attempt *request, o outcome, retryAfter float64) {
	if r.ended || attempt != r.current {
		return
	}
	s := r.sim
	class := s.scenario.Traffic.Classes[r.class]
	if o == outcomeServed {
		r.ended = true
		latency := s.now - r.madeAt
		objective := class.LatencyObjective + class.ObjectiveStretch*r.kb/(s.scenario.Fleet.TransferKBPerS/1000)
		value := class.PriorityWeight
		if latency > objective {
			value *= class.LateFraction
		}
		s.result.countServed(r.class, r.madeAt, latency, value)
		return
	}
	s.result.countFailedAttempt(s.now, o)
	mayRetry := o == outcomeRejected || class.idempotency() != policy.NotIdempotent
	if !mayRetry || r.attempts > s.scenario.Clients.Retries {
		r.ended = true
		s.result.countAbandoned(r.class, r.madeAt)
		return
	}
	wait := s.scenario.Clients.backoff(r.attempts) * (0.5 + r.rng.Float64())
	if retryAfter > 0 && r.rng.Float64() < s.scenario.Clients.HonourFraction {
		wait = max(wait, retryAfter)
	}
	s.after(wait, r.send)
}

// backoff returns the mean time, in ms, that a client waits after this number of attempts.
func (c Clients) backoff(attempts int) float64 {
	switch c.BackoffKind {
	case NoBackoff:
		return 0
	case FixedBackoff:
		return c.Backoff
	}
	return c.Backoff * math.Exp2(float64(attempts-1))
}
