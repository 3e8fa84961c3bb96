// Package load is clients of a proxy: they speak the platform's protocol over a few connections, ask for a mix of
// classes with uneven popularity, come back when they are told to, and hold every answer against what was asked for.
package load

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/resp"
)

// Class is what is asked for of one class.
type Class struct {
	Name           string
	Fraction       float64 // of the requests, among all shares
	DeadlineMs     float64 // ms
	Write          bool
	PartsPerObject int // of an object; 1: it is whole
}

// Options set up clients.
type Options struct {
	Addr    string
	Clock   *clock.Clock
	Seed    uint64
	Conns   int
	Objects int // from which the clients draw, the first ones most often
	Classes []Class
	Retries int // of a request that was refused, or of one that may be repeated and failed
}

// Client draws requests and keeps the accounts.
type Client struct {
	opt Options
	rng *rand.Rand
	zip *rand.Zipf

	mu    sync.Mutex
	conns []*conn
	next  int
	tag   uint64
	sums  map[string]*ClassResult
	wrong []string
	open  int
	idle  *sync.Cond
}

// ClassResult is what became of one class.
type ClassResult struct {
	Requested, Served, Rejected, Failed, Lost, Retried int
	Latency                                            *hdrhistogram.Histogram // of what was served, in µs
}

// mostWrong of what was wrong is kept as text.
const mostWrong = 20

// New returns clients that have asked for nothing yet.
func New(o Options) *Client {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	c := &Client{
		opt: o, rng: rng, zip: rand.NewZipf(rng, 1.1, 8, uint64(max(1, o.Objects-1))), sums: map[string]*ClassResult{},
		conns: make([]*conn, max(1, o.Conns)),
	}
	c.idle = sync.NewCond(&c.mu)
	for _, k := range o.Classes {
		c.sums[k.Name] = &ClassResult{Latency: hdrhistogram.New(1, 60_000_000, 3)}
	}
	return c
}

// request is one try after another at the same thing.
type request struct {
	class  Class
	object string
	part   int
	tries  int
	began  float64
	done   func()
}

// Object is the name of the nth object.
func Object(n uint64) string { return fmt.Sprintf("%016x", 0x5eed0000_00000000+n*0x9e3779b1) }

// Send sends one request, drawn at random.
func (c *Client) Send() { c.SendThen(func() {}) }

// SendThen sends one request, drawn at random, and calls done once its last try is over.
func (c *Client) SendThen(done func()) { c.sendAt(c.opt.Clock.Now(), done) }

// sendAt sends one whose time counts from when it was due.
func (c *Client) sendAt(due float64, done func()) {
	c.mu.Lock()
	total := 0.0
	for _, k := range c.opt.Classes {
		total += k.Fraction
	}
	pick := c.rng.Float64() * total
	class := c.opt.Classes[0]
	for _, k := range c.opt.Classes {
		if class = k; pick < k.Fraction {
			break
		}
		pick -= k.Fraction
	}
	q := &request{class: class, object: Object(c.zip.Uint64()), began: due, done: done}
	if class.PartsPerObject > 1 {
		q.part = c.rng.IntN(class.PartsPerObject)
	}
	c.sums[class.Name].Requested++
	c.open++
	c.mu.Unlock()
	c.try(q)
}

// try sends a request over the next connection.
func (c *Client) try(q *request) {
	c.mu.Lock()
	c.tag++
	tag := strconv.FormatUint(c.tag, 10)
	rid := fmt.Sprintf("%016x", c.rng.Uint64()|1)
	at := c.next % len(c.conns)
	c.next++
	k := c.conns[at]
	c.mu.Unlock()
	if k == nil || k.full() {
		fresh, err := c.dial(at)
		if err != nil {
			c.end(q, "lost", err.Error(), 0, nil)
			return
		}
		k = fresh
	}
	fields := fmt.Sprintf("rid=%s,budget=%.0f,obj=%s,nth=%d,batch=%d", rid, q.class.DeadlineMs, q.object, q.part, fleet.Group(q.object))
	if q.tries > 0 {
		fields += ",again=1"
	}
	words := []string{"RPC.CALL", tag, q.class.Name, fields}
	if q.class.Write {
		words = append(words, "seat")
	}
	q.tries++
	k.send(tag, q, words)
}

// end books how one try ended, and comes back if that is harmless.
func (c *Client) end(q *request, word, why string, backoff float64, body []byte) {
	c.mu.Lock()
	sum := c.sums[q.class.Name]
	again := false
	switch word {
	case "ok":
		sum.Served++
		_ = sum.Latency.RecordValue(max(1, int64((c.opt.Clock.Now()-q.began)*1000)))
		if _, err := fleet.Check(body, q.object, q.part); err != nil {
			c.note("%s: %v", q.class.Name, err)
		}
	case "full":
		sum.Rejected++
		again = true
	case "lost":
		sum.Lost++
		c.note("%s of %s: lost: %s", q.class.Name, q.object, why)
	default:
		sum.Failed++
		again = !q.class.Write
	}
	if again = again && q.tries <= c.opt.Retries; again {
		sum.Retried++
	} else {
		c.open--
		c.idle.Broadcast()
	}
	c.mu.Unlock()
	if again {
		c.opt.Clock.After(max(backoff, 20), func() { go c.try(q) })
		return
	}
	q.done()
}

func (c *Client) note(format string, args ...any) {
	if len(c.wrong) < mostWrong {
		c.wrong = append(c.wrong, fmt.Sprintf(format, args...))
	}
}

// WaitIdle returns once nothing is open.
func (c *Client) WaitIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.open > 0 {
		c.idle.Wait()
	}
}

// Open is how many requests are not over.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// Violations is what no client may see: lost requests, second answers, bytes that no server made.
func (c *Client) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.wrong...)
}

// Results are the accounts so far, by class.
func (c *Client) Results() map[string]ClassResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]ClassResult{}
	for name, s := range c.sums {
		x := *s
		x.Latency = hdrhistogram.Import(s.Latency.Export())
		out[name] = x
	}
	return out
}

// Close ends the connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.conns {
		if k != nil {
			k.nc.Close()
		}
	}
}

// mostOpen requests may be open on one connection.
const mostOpen = 32

// conn is one connection, with what is open on it.
type conn struct {
	c  *Client
	nc net.Conn

	mu   sync.Mutex
	open map[string]*request
	over bool
}

func (c *Client) dial(at int) (*conn, error) {
	nc, err := net.Dial("tcp", c.opt.Addr)
	if err != nil {
		return nil, err
	}
	k := &conn{c: c, nc: nc, open: map[string]*request{}}
	c.mu.Lock()
	c.conns[at] = k
	c.mu.Unlock()
	go k.read()
	return k, nil
}

func (k *conn) full() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.over || len(k.open) >= mostOpen
}

func (k *conn) send(tag string, q *request, words []string) {
	k.mu.Lock()
	if k.over {
		// It was closed with nothing open under a request that crosses that: once more over another.
		k.mu.Unlock()
		q.tries--
		k.c.mu.Lock()
		for i, o := range k.c.conns {
			if o == k {
				k.c.conns[i] = nil
			}
		}
		k.c.mu.Unlock()
		k.c.try(q)
		return
	}
	k.open[tag] = q
	_, _ = k.nc.Write(resp.AppendFrame(nil, words...)) // a break is seen by the reader
	k.mu.Unlock()
}

func (k *conn) read() {
	buf := resp.Buffer{MaxFrameSize: resp.MaxResponseSize}
	for {
		parts, _, err := buf.Next(k.nc)
		if err != nil {
			break
		}
		k.answer(parts)
	}
	k.nc.Close()
	k.mu.Lock()
	k.over = true
	open := k.open
	k.open = map[string]*request{}
	k.mu.Unlock()
	for _, q := range open {
		k.c.end(q, "lost", "its connection ended", 0, nil)
	}
}

func (k *conn) answer(parts [][]byte) {
	tag := string(parts[0])
	k.mu.Lock()
	q := k.open[tag]
	delete(k.open, tag)
	k.mu.Unlock()
	if q == nil || len(parts) < 2 {
		k.c.mu.Lock()
		k.c.note("an answer to nothing that is open: tag %s", tag)
		k.c.mu.Unlock()
		return
	}
	backoff := 0.0
	if len(parts) > 2 {
		if f, ok := resp.ParseFields(parts[2]); ok {
			backoff, _ = strconv.ParseFloat(f["backoff"], 64)
		}
	}
	var body []byte
	if len(parts) > 3 {
		body = []byte(strings.Clone(string(parts[3])))
	}
	k.c.end(q, string(parts[1]), "", backoff, body)
}
