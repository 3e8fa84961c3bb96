// Package load provides clients of a proxy. They speak the platform's protocol over a few connections, request a mix of classes
// with a skewed popularity of objects, retry where that is safe, and verify every answer. The package also has schedules of
// requests, and clients that break the protocol. Only tests and the lab (cmd/ravenlab and internal/lab) use it.
package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/lab/fleet"
)

// Class is one class of requests.
type Class struct {
	Name           string
	Fraction       float64 // relative frequency of the class's requests; the fractions need not add up to 1
	DeadlineMs     float64
	Write          bool
	PartsPerObject int // 0 or 1: objects are not divided into parts
}

// Options configure a Client.
type Options struct {
	Addr    string // of the proxy
	Clock   *clock.Clock
	Seed    uint64
	Conns   int
	Objects int // number of objects; those with lower numbers are more popular
	Classes []Class
	Retries int // highest number of retries of a request that is rejected, or that fails and does not write
}

// Client draws requests at random and counts their outcomes.
type Client struct {
	options    Options
	rng        *rand.Rand
	popularity *rand.Zipf

	mu         sync.Mutex
	conns      []*conn
	nextConn   int
	lastTag    uint64
	results    map[string]*ClassResult
	violations []string
	open       int
	idle       *sync.Cond // signalled when open decreases
}

// ClassResult counts the outcomes of one class's requests.
type ClassResult struct {
	Requested, Served, Rejected, Failed, Lost, Retried int
	Latency                                            *hdrhistogram.Histogram // of served requests, in µs
}

const (
	// maxViolations is the highest number of violations that are kept.
	maxViolations = 20
	// minBackoff is the shortest delay before a retry, in ms. The proxy may ask for a longer one.
	minBackoff = 20
	// zipfExponent and zipfOffset are the parameters s and v of the Zipf distribution of the objects' popularity.
	zipfExponent, zipfOffset = 1.1, 8
	// maxLatency is the highest latency that the histogram can record, in µs.
	maxLatency = 60_000_000
)

// New returns a client that has sent nothing yet.
func New(o Options) *Client {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	c := &Client{
		options: o, rng: rng, popularity: rand.NewZipf(rng, zipfExponent, zipfOffset, uint64(max(1, o.Objects-1))),
		results: map[string]*ClassResult{}, conns: make([]*conn, max(1, o.Conns)),
	}
	c.idle = sync.NewCond(&c.mu)
	for _, class := range o.Classes {
		c.results[class.Name] = &ClassResult{Latency: hdrhistogram.New(1, maxLatency, 3)}
	}
	return c
}

// request is one request, with all of its attempts.
type request struct {
	class    Class
	object   string
	part     int
	attempts int
	dueAt    float64 // when the request was due, in ms; its latency counts from then
	done     func()  // called after the last attempt
}

// outcome is the result of one attempt.
type outcome struct {
	status  string  // of the answer, or statusLost
	cause   string  // why the attempt was lost
	backoff float64 // shortest delay before a retry, in ms, as the proxy asked for
	body    []byte
}

// The statuses of an outcome: those of the proxy's answers, and statusLost for an attempt that ended without an answer. Any other
// status is a failure.
const (
	statusServed   = "ok"
	statusRejected = "full"
	statusLost     = "lost"
)

// Object returns the name of the object with number n.
func Object(n uint64) string { return fmt.Sprintf("%016x", 0x5eed0000_00000000+n*0x9e3779b1) }

// Send sends one request, drawn at random.
func (c *Client) Send() { c.SendThen(func() {}) }

// SendThen sends one request, drawn at random, and calls done after its last attempt.
func (c *Client) SendThen(done func()) { c.sendAt(c.options.Clock.Now(), done) }

// sendAt sends one request, whose latency counts from the time due in ms.
func (c *Client) sendAt(due float64, done func()) { c.sendAttempt(c.draw(due, done)) }

// draw draws a request at random and counts it as open.
func (c *Client) draw(due float64, done func()) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	class := c.drawClass()
	q := &request{class: class, object: Object(c.popularity.Uint64()), dueAt: due, done: done}
	if class.PartsPerObject > 1 {
		q.part = c.rng.IntN(class.PartsPerObject)
	}
	c.results[class.Name].Requested++
	c.open++
	return q
}

// drawClass draws a class with the probabilities that the classes' fractions give.
func (c *Client) drawClass() Class {
	total := 0.0
	for _, class := range c.options.Classes {
		total += class.Fraction
	}
	pick := c.rng.Float64() * total
	for _, class := range c.options.Classes {
		if pick < class.Fraction {
			return class
		}
		pick -= class.Fraction
	}
	return c.options.Classes[len(c.options.Classes)-1]
}

// sendAttempt sends an attempt of a request on the next connection in turn, or on a new one in its place if that is not open or is
// full.
func (c *Client) sendAttempt(q *request) {
	c.mu.Lock()
	c.lastTag++
	tag := strconv.FormatUint(c.lastTag, 10)
	id := fmt.Sprintf("%016x", c.rng.Uint64()|1)
	index := c.nextConn % len(c.conns)
	c.nextConn++
	connection := c.conns[index]
	c.mu.Unlock()
	if connection == nil || connection.full() {
		dialed, err := c.dial(index)
		if err != nil {
			c.endAttempt(q, outcome{status: statusLost, cause: err.Error()})
			return
		}
		connection = dialed
	}
	fields := fmt.Sprintf("rid=%s,budget=%.0f,obj=%s,nth=%d,batch=%d", id, q.class.DeadlineMs, q.object, q.part, fleet.Group(q.object))
	if q.attempts > 0 {
		fields += ",again=1"
	}
	words := []string{"RPC.CALL", tag, q.class.Name, fields}
	if q.class.Write {
		words = append(words, "seat")
	}
	q.attempts++
	connection.send(tag, q, words)
}

// endAttempt records the outcome of an attempt. It retries the request if that is safe, and otherwise ends it.
func (c *Client) endAttempt(q *request, result outcome) {
	if c.recordOutcome(q, result) {
		c.options.Clock.After(max(result.backoff, minBackoff), func() { go c.sendAttempt(q) })
		return
	}
	q.done()
}

// recordOutcome records the outcome of an attempt and reports whether to retry the request. A write is not retried after a failure,
// since it may have run.
func (c *Client) recordOutcome(q *request, result outcome) (retry bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.results[q.class.Name]
	switch result.status {
	case statusServed:
		counts.Served++
		_ = counts.Latency.RecordValue(max(1, int64((c.options.Clock.Now()-q.dueAt)*1000)))
		if _, err := fleet.CheckContent(result.body, q.object, q.part); err != nil {
			c.addViolation("%s: %v", q.class.Name, err)
		}
	case statusRejected:
		counts.Rejected++
		retry = true
	case statusLost:
		counts.Lost++
		c.addViolation("%s of %s: request lost: %s", q.class.Name, q.object, result.cause)
	default:
		counts.Failed++
		retry = !q.class.Write
	}
	if retry && q.attempts <= c.options.Retries {
		counts.Retried++
		return true
	}
	c.open--
	c.idle.Broadcast()
	return false
}

// addViolation records a violation, unless there are maxViolations already. The caller holds c.mu.
func (c *Client) addViolation(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// WaitIdle returns once no request is open.
func (c *Client) WaitIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.open > 0 {
		c.idle.Wait()
	}
}

// Open returns the number of open requests.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// Violations returns, as text, what a correct proxy never does: requests lost without an answer, answers that belong to no open
// request, such as a second answer, and bodies that are not the requested content.
func (c *Client) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Results returns a copy of the counts so far, by class.
func (c *Client) Results() map[string]ClassResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	results := map[string]ClassResult{}
	for name, counts := range c.results {
		result := *counts
		result.Latency = hdrhistogram.Import(counts.Latency.Export())
		results[name] = result
	}
	return results
}

// Close closes the connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.conns {
		if connection != nil {
			connection.nc.Close()
		}
	}
}
