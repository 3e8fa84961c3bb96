package fleet

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"

	"ravenwheel/internal/resp"
	"ravenwheel/policy"
)

// Words of the protocol between proxies and cache servers, as answers carry them.
const (
	wordServed   = "served"
	wordMiss     = "not_here"
	wordOverload = "overload"
	wordCrashed  = "crashed"
	wordHealthy  = "green"

	whyLocal         = "local"
	whyFilled        = "pulled"
	whyFilledFar     = "pulled_far"
	whyRejected      = "turned_away"
	whyUnreachable   = "cut_off"
	whyMissing       = "not_there"
	whyUnusable      = "no_place"
	whySourceFailure = "far_fault"
)

// conn is one connection from a proxy to a server.
type conn struct {
	server *Server
	nc     net.Conn

	mu      sync.Mutex
	cancels map[string]func() // of the open requests, by id
}

// answer is how a server answers a request.
type answer struct {
	word  string // empty: no answer at all
	why   string
	stamp float64 // ms at which the origin made the copy that is served
	delay float64 // ms until the answer is sent
}

func (c *conn) read() {
	buf := resp.Buffer{MaxFrameSize: resp.MaxResponseSize}
	for {
		parts, _, err := buf.Next(c.nc)
		if err != nil {
			break
		}
		words := make([]string, len(parts))
		for i, part := range parts {
			words[i] = string(part)
		}
		c.command(words)
	}
	c.nc.Close()
	c.server.removeConn(c)
	c.cancelAll()
}

// cancelAll gives up all requests that are open on the connection, as its end does by the protocol.
func (c *conn) cancelAll() {
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

func (c *conn) command(words []string) {
	switch {
	case words[0] == "fetch" && len(words) >= 3:
		c.fetch(words[1], words[2], strings.Join(words[3:], ""))
	case words[0] == "abort" && len(words) == 2:
		c.abort(words[1])
	case (words[0] == "stats" || words[0] == "alive") && len(words) == 2:
		c.probe(words[1])
	default:
		c.nc.Close()
	}
}

func (c *conn) abort(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.cancels[id]; cancel != nil {
		cancel()
		delete(c.cancels, id)
	}
}

func (c *conn) probe(tag string) {
	s := c.server
	s.fleet.observe(Observation{At: s.fleet.options.Clock.Now(), Server: s.ID, Probe: true, Answer: wordHealthy})
	s.mu.Lock()
	unresponsive, inFlight := s.fault.Unresponsive, s.inFlight
	s.mu.Unlock()
	if !unresponsive {
		c.send(tag, wordHealthy, fmt.Sprintf("rep=inflight:%d;util:0.5", inFlight))
	}
}

// fetch answers one request, once its time has come.
func (c *conn) fetch(id, list, body string) {
	fields, ok := resp.ParseFields([]byte(list))
	if !ok {
		c.send(id, wordCrashed, "why="+whyUnusable)
		return
	}
	s := c.server
	observation := s.observation(id, fields, body)
	number := s.fleet.observe(observation)
	fault := s.beginRequest()
	result := s.answerUnder(fault, observation, fields)
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

// finish ends a request and sends its answer, if it has one.
func (c *conn) finish(id string, number int, observation Observation, result answer) {
	c.server.endRequest()
	c.server.fleet.recordAnswer(number, result.word, result.why, result.stamp)
	if result.word == "" {
		return
	}
	fields := "why=" + result.why
	if result.word != wordServed {
		c.send(id, result.word, fields)
		return
	}
	fields += fmt.Sprintf(",version=v%.0f,stamp=%.0f", result.stamp, result.stamp)
	c.send(id, result.word, fields, string(Content(observation.Object, observation.Part, result.stamp)))
}

// observation decodes a request's fields.
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
	// A request of a class that is not cached runs at the origin. It carries a body, or names the origin as its source and no
	// retention.
	runsAtOrigin := fields["retain"] == "" && o.Source != s.ID && s.fleet.role(o.Source) == Origin
	o.Write = len(body) > 0 || runsAtOrigin
	return o
}

func (f *Fleet) role(id policy.ServerID) Role {
	if s := f.Server(id); s != nil {
		return s.Role
	}
	return Cache
}

// answerUnder answers a request as the server's fault has it.
func (s *Server) answerUnder(fault Fault, o Observation, fields map[string]string) answer {
	switch {
	case fault.Unresponsive:
		return answer{}
	case fault.Overloaded:
		return answer{word: wordOverload, why: whyRejected}
	case fault.Failing:
		return answer{word: wordCrashed, why: whySourceFailure}
	}
	result := s.answer(o, fields)
	result.delay += fault.ExtraLatency
	return result
}

// answer serves a request from a copy, by a fill, or by running it at the origin.
func (s *Server) answer(o Observation, fields map[string]string) answer {
	f := s.fleet
	if o.Write {
		f.runWrite(o.RequestID, o.IdempotencyKey)
		return answer{wordServed, whyFilled, f.options.Clock.Now(), f.options.TransferTime + f.options.FillTime}
	}
	part := partKey{o.Object, o.Part}
	if stamp, ok := s.lookUp(part, o.OldestAllowed); ok {
		return answer{wordServed, whyLocal, stamp, f.options.TransferTime}
	}
	if s.Role == Origin { // the request bypassed all caches
		return answer{wordServed, whyFilledFar, f.stampNow(), f.options.TransferTime}
	}
	return s.fill(part, o, fields)
}

// fill serves a miss from the request's source and keeps a copy.
func (s *Server) fill(part partKey, o Observation, fields map[string]string) answer {
	f := s.fleet
	if o.Source == s.ID {
		return answer{word: wordMiss, why: whyMissing}
	}
	source := f.Server(o.Source)
	if source == nil || source.unreachable() {
		return answer{word: wordMiss, why: whyUnreachable}
	}
	shallow := strings.Contains(fields["handle"], "shallow")
	transit := strings.Contains(fields["handle"], "transit")
	stamp, fromOrigin, ok := source.serveFill(part, o.OldestAllowed, shallow, transit)
	if !ok {
		return answer{word: wordMiss, why: whyMissing}
	}
	retention, _ := strconv.Atoi(fields["retain"])
	s.store(part, stamp, retention)
	result := answer{wordServed, whyFilled, stamp, f.options.TransferTime + f.options.FillTime}
	if fromOrigin {
		result.why = whyFilledFar
		result.delay += f.options.FillTime
	}
	return result
}

// serveFill is a source's answer to a fill. fromOrigin is true if a parent had to fetch it from the origin first; shallow
// forbids that, transit has the parent keep no copy.
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

// stampNow is the creation time, in whole ms, of what the origin gives out now.
func (f *Fleet) stampNow() float64 {
	return float64(int64(f.options.Clock.Now()))
}
