// Package load provides clients of a proxy. They speak the platform's protocol over a few connections, request a mix of classes
// with a skewed popularity of objects, retry where that is harmless, and verify every answer. Schedules of requests and clients
// that misbehave are here, too. Only tests and the workbench use it.
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
	Fraction       float64 // of the requests, relative to the other classes
	DeadlineMs     float64
	Write          bool
	PartsPerObject int // 1: objects are not divided
}

// Options configure a Client.
type Options struct {
	Addr    string // of the proxy
	Clock   *clock.Clock
	Seed    uint64
	Conns   int
	Objects int // number of objects; lower ones are more popular
	Classes []Class
	Retries int // of a rejected request, and of a failed one that does not write
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
	idle       *sync.Cond // open has become smaller
}

// ClassResult counts the outcomes of one class's requests.
type ClassResult struct {
	Requested, Served, Rejected, Failed, Lost, Retried int
	Latency                                            *hdrhistogram.Histogram // of served requests, in µs
}

const (
	// maxViolations bounds the violations that are kept as text.
	maxViolations = 20
	// minBackoff is the shortest delay before a retry, in ms.
	minBackoff = 20
	// zipfExponent and zipfOffset shape the popularity of objects.
	zipfExponent, zipfOffset = 1.1, 8
	// maxLatency bounds the histogram, in µs.
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

// request is one request, over all of its attempts.
type request struct {
	class    Class
	object   string
	part     int
	attempts int
	dueAt    float64 // ms at which it was due
	done     func()
}

// outcome is the end of one attempt.
type outcome struct {
	word    string // of the protocol, or lost
	cause   string // why it was lost
	backoff float64
	body    []byte
}

// Words that a proxy answers, and lost for an attempt that ended without an answer.
const (
	wordServed   = "ok"
	wordRejected = "full"
	wordLost     = "lost"
)

// Object returns the name of the nth object.
func Object(n uint64) string { return fmt.Sprintf("%016x", 0x5eed0000_00000000+n*0x9e3779b1) }

// Send sends one request, drawn at random.
func (c *Client) Send() { c.SendThen(func() {}) }

// SendThen sends one request, drawn at random, and calls done after its last attempt.
func (c *Client) SendThen(done func()) { c.sendAt(c.options.Clock.Now(), done) }

// sendAt sends one request whose latency counts from when it was due (ms).
func (c *Client) sendAt(due float64, done func()) { c.sendAttempt(c.draw(due, done)) }

// draw draws a request and counts it as open.
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

// sendAttempt sends a request over the next connection.
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
			c.endAttempt(q, outcome{word: wordLost, cause: err.Error()})
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

// endAttempt counts the end of an attempt, and retries where that is harmless.
func (c *Client) endAttempt(q *request, result outcome) {
	if c.recordOutcome(q, result) {
		c.options.Clock.After(max(result.backoff, minBackoff), func() { go c.sendAttempt(q) })
		return
	}
	q.done()
}

// recordOutcome records an outcome and reports whether the request is retried.
func (c *Client) recordOutcome(q *request, result outcome) (retry bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.results[q.class.Name]
	switch result.word {
	case wordServed:
		counts.Served++
		_ = counts.Latency.RecordValue(max(1, int64((c.options.Clock.Now()-q.dueAt)*1000)))
		if _, err := fleet.CheckContent(result.body, q.object, q.part); err != nil {
			c.addViolation("%s: %v", q.class.Name, err)
		}
	case wordRejected:
		counts.Rejected++
		retry = true
	case wordLost:
		counts.Lost++
		c.addViolation("%s of %s: lost: %s", q.class.Name, q.object, result.cause)
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

// addViolation records what no client may see. Called under the lock.
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

// Violations returns what no client may see: lost requests, second answers, and bodies that are not the content requested.
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
