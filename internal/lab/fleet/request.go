package fleet

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/resp"
	"ravenwheel/policy"
)

// The statuses of answers, and the reasons that answers give in the field "why", in the protocol between proxies and servers. Each
// reason stands for a policy.Note: reasonHit for policy.NoteHit, and so on.
const (
	statusServed   = "served"
	statusMiss     = "not_here"
	statusOverload = "overload"
	statusCrashed  = "crashed"
	statusHealthy  = "green"

	reasonHit            = "local"
	reasonFilled         = "pulled"
	reasonFilledOrigin   = "pulled_far"
	reasonSourceRejected = "turned_away"
	reasonSourceLost     = "cut_off"
	reasonSourceMiss     = "not_there"
	reasonNoFillSlot     = "no_place"
	reasonOriginFailed   = "far_fault"
)

// conn is one connection from a proxy to a server.
type conn struct {
	server *Server
	nc     net.Conn
	began  time.Time // when the first byte of the command in progress arrived

	mu      sync.Mutex
	cancels map[string]func() // by request id: cancels the delayed answer of an open request
}

// answer is how a server answers a request.
type answer struct {
	status string  // empty: no answer is sent
	reason string  // the field "why"
	stamp  float64 // when the origin created the copy that is served, in Unix ms
	delay  float64 // until the answer is sent, in ms
}

// read handles the commands that the proxy sends, until the connection ends.
func (c *conn) read() {
	reader, err := newArrivalReader(c.nc)
	for err == nil {
		var parts [][]byte
		parts, c.began, err = reader.next()
		if err != nil {
			break
		}
		words := make([]string, len(parts))
		for i, part := range parts {
			words[i] = string(part)
		}
		c.handleCommand(words)
	}
	c.nc.Close()
	c.server.removeConn(c)
	c.cancelRequests()
}

// cancelRequests cancels all requests that are open on the connection, as the protocol requires when the connection ends.
func (c *conn) cancelRequests() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.cancels {
		cancel()
	}
	c.cancels = map[string]func(){}
}

func (c *conn) send(parts ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.nc.Write(resp.AppendFrame(nil, parts...))
}

// handleCommand handles one command. It closes the connection after one that is malformed.
func (c *conn) handleCommand(words []string) {
	switch {
	case words[0] == "fetch" && len(words) >= 3:
		c.handleFetch(words[1], words[2], strings.Join(words[3:], ""))
	case words[0] == "abort" && len(words) == 2:
		c.handleAbort(words[1])
	case (words[0] == "stats" || words[0] == "alive") && len(words) == 2:
		c.handleProbe(words[1])
	default:
		c.nc.Close()
	}
}

// handleAbort cancels a request that the proxy no longer needs.
func (c *conn) handleAbort(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.cancels[id]; cancel != nil {
		cancel()
		delete(c.cancels, id)
	}
}

// handleProbe answers a health check, unless the server is unresponsive.
func (c *conn) handleProbe(tag string) {
	s := c.server
	s.fleet.observe(Observation{At: s.fleet.options.Clock.Now(), Server: s.ID, Probe: true, Status: statusHealthy})
	s.mu.Lock()
	unresponsive, inFlight := s.fault.Unresponsive, s.inFlight
	s.mu.Unlock()
	if !unresponsive {
		c.send(tag, statusHealthy, fmt.Sprintf("rep=inflight:%d;util:0.5", inFlight))
	}
}

// handleFetch records a request and answers it after the delay that its answer has.
func (c *conn) handleFetch(id, encodedFields, body string) {
	fields, ok := resp.ParseFields([]byte(encodedFields))
	if !ok {
		c.send(id, statusCrashed, "why="+reasonNoFillSlot)
		return
	}
	s := c.server
	observation := s.observation(id, fields, body)
	observation.Began = observation.At - clock.Ms(time.Since(c.began))
	number := s.fleet.observe(observation)
	fault := s.beginRequest()
	result := s.answerWithFault(fault, observation, fields)
	if result.delay <= 0 {
		c.finish(id, number, observation, result)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels[id] = s.fleet.options.Clock.After(result.delay, func() {
		c.mu.Lock()
		delete(c.cancels, id)
		c.mu.Unlock()
		c.finish(id, number, observation, result)
	})
}

// finish ends a request and sends its answer, if there is one. number is that of the observation.
func (c *conn) finish(id string, number int, observation Observation, result answer) {
	c.server.endRequest()
	c.server.fleet.recordAnswer(number, result.status, result.reason, result.stamp)
	if result.status == "" {
		return
	}
	fields := "why=" + result.reason
	if result.status != statusServed {
		c.send(id, result.status, fields)
		return
	}
	fields += fmt.Sprintf(",version=v%.0f,stamp=%.0f", result.stamp, result.stamp)
	c.send(id, result.status, fields, string(contentOf(observation.Object, observation.Part, result.stamp, c.server.fleet.options.MinBodyBytes)))
}

// observation returns the observation of a request, decoded from its fields.
func (s *Server) observation(id string, fields map[string]string, body string) Observation {
	now := s.fleet.options.Clock.Now()
	part, _ := strconv.Atoi(fields["piece"])
	o := Observation{
		At: now, Server: s.ID, RequestID: id, Class: fields["lane"], Object: fields["name"], Part: part, Source: s.ID, Address: s.Addr(),
		IdempotencyKey: fields["dedupe"],
	}
	if source := fields["fetch"]; source != "" {
		n, _ := strconv.ParseUint(strings.TrimPrefix(source, "s-"), 16, 32)
		o.Source = policy.ServerID(n)
	}
	o.RemainingMs, _ = strconv.ParseFloat(fields["ttl"], 64)
	if age, err := strconv.ParseFloat(fields["newer"], 64); err == nil && age > 0 {
		o.OldestAllowed = now - age
	}
	// A request of an uncached class runs at the origin. Such a request has a body, or it names the origin as its source and
	// has no retention.
	runsAtOrigin := fields["retain"] == "" && o.Source != s.ID && s.fleet.role(o.Source) == Origin
	o.Write = len(body) > 0 || runsAtOrigin
	return o
}

// role returns a server's role; Cache for an id that the fleet does not have.
func (f *Fleet) role(id policy.ServerID) Role {
	if s := f.Server(id); s != nil {
		return s.Role
	}
	return Cache
}

// answerWithFault returns the answer to a request while the server has a fault.
func (s *Server) answerWithFault(fault Fault, o Observation, fields map[string]string) answer {
	switch {
	case fault.Unresponsive:
		return answer{}
	case fault.Overloaded:
		return answer{status: statusOverload, reason: reasonSourceRejected}
	case fault.Failing:
		return answer{status: statusCrashed, reason: reasonOriginFailed}
	}
	result := s.answer(o, fields)
	result.delay += fault.ExtraLatency
	return result
}

// answer returns the answer of a healthy server: from a copy, after a fill, or after a write has run at the origin.
func (s *Server) answer(o Observation, fields map[string]string) answer {
	f := s.fleet
	if o.Write {
		f.runWrite(o.RequestID, o.IdempotencyKey)
		return answer{statusServed, reasonFilled, f.options.Clock.Now(), f.options.TransferTime + f.options.FillTime}
	}
	part := partKey{o.Object, o.Part}
	if stamp, ok := s.lookUp(part, o.OldestAllowed); ok {
		return answer{statusServed, reasonHit, stamp, f.options.TransferTime}
	}
	if s.Role == Origin { // the request bypassed the caches
		return answer{statusServed, reasonFilledOrigin, f.stampNow(), f.options.TransferTime}
	}
	return s.fill(part, o, fields)
}

// fill fills a miss from the request's source and stores a copy.
func (s *Server) fill(part partKey, o Observation, fields map[string]string) answer {
	f := s.fleet
	if o.Source == s.ID {
		return answer{status: statusMiss, reason: reasonSourceMiss}
	}
	source := f.Server(o.Source)
	if source == nil || source.unreachable() {
		return answer{status: statusMiss, reason: reasonSourceLost}
	}
	shallow := strings.Contains(fields["handle"], "shallow")
	transit := strings.Contains(fields["handle"], "transit")
	stamp, fromOrigin, ok := source.serveFill(part, o.OldestAllowed, shallow, transit)
	if !ok {
		return answer{status: statusMiss, reason: reasonSourceMiss}
	}
	retention, _ := strconv.Atoi(fields["retain"])
	s.store(part, stamp, retention)
	result := answer{statusServed, reasonFilled, stamp, f.options.TransferTime + f.options.FillTime}
	if fromOrigin {
		result.reason = reasonFilledOrigin
		result.delay += f.options.FillTime
	}
	return result
}

// serveFill returns what a server serves as the source of a fill. fromOrigin is true if the server is a parent without a copy that
// fetched one from the origin; with shallow it does not fetch, and with transit it fetches and stores no copy. ok is false if
// the server cannot serve the fill.
func (s *Server) serveFill(part partKey, oldestAllowed float64, shallow, transit bool) (stamp float64, fromOrigin, ok bool) {
	if s.Role == Origin {
		return s.fleet.stampNow(), false, true
	}
	if stamp, ok := s.lookUp(part, oldestAllowed); ok {
		return stamp, false, true
	}
	if s.Role != Parent || shallow {
		return 0, false, false
	}
	stamp = s.fleet.stampNow()
	if !transit {
		s.store(part, stamp, 1)
	}
	return stamp, true, true
}

// stampNow returns the stamp of content that the origin creates now: the time in whole ms.
func (f *Fleet) stampNow() float64 {
	return float64(int64(f.options.Clock.Now()))
}
