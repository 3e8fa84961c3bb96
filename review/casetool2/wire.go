package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// appendFrame appends a RESP array of bulk strings.
func appendFrame(b []byte, words ...string) []byte {
	b = fmt.Appendf(b, "*%d\r\n", len(words))
	for _, word := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(word), word)
	}
	return b
}

// readFrame reads a RESP array of bulk strings.
func readFrame(r *bufio.Reader) (words []string, err error) {
	count, err := readCount(r, '*')
	for ; err == nil && count > 0; count-- {
		size, sizeErr := readCount(r, '$')
		if sizeErr != nil {
			return nil, sizeErr
		}
		word := make([]byte, size+2)
		if _, err = io.ReadFull(r, word); err == nil {
			words = append(words, string(word[:size]))
		}
	}
	return words, err
}

func readCount(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("want %q, got %q", kind, line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// parseFields parses name=value,name=value.
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for _, pair := range strings.Split(text, ",") {
		if name, value, ok := strings.Cut(pair, "="); ok {
			fields[name] = value
		}
	}
	return fields
}

// listen listens at a loopback address that freeAddr has not returned.
func (p *play) listen() net.Listener {
	for {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		p.check(err, "free port")
		p.mu.Lock()
		given := p.given[ln.Addr().String()]
		p.mu.Unlock()
		if !given {
			return ln
		}
		defer ln.Close() // so that the next one is another
	}
}

// freeAddr returns an unused loopback address, another one each time.
func (p *play) freeAddr() string {
	ln := p.listen()
	defer ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.given[ln.Addr().String()] = true
	return ln.Addr().String()
}

// copyOf is a copy that a cache holds of an object: when the origin gave it out, and its number.
type copyOf struct {
	born   time.Time
	number int
}

// fetched is a request that a server received.
type fetched struct {
	at      time.Time
	server  string
	id      string
	lane    string
	object  string
	newer   float64 // ms; 0: absent
	body    string
	answer  string // the word
	why     string
	copy    copyOf
	hasCopy bool // the answer came from a copy or a fill
}

// site is a set of stand-in servers with one origin. Caches fill from it in no time, and their clocks are those of the machine.
type site struct {
	p        *play
	ownClock func() float64 // Unix ms by the clocks of servers and board
	delay    time.Duration  // how long the answer to a read takes
	writes   map[string]bool

	mu       sync.Mutex
	copies   map[string]map[string]copyOf // by server and object
	purgedAt map[string]time.Time         // by object
	numbers  int
	log      []fetched
}

func newSite(p *play, writes ...string) *site {
	s := &site{p: p, copies: map[string]map[string]copyOf{}, purgedAt: map[string]time.Time{}, writes: map[string]bool{}}
	s.ownClock = func() float64 { return float64(time.Now().UnixMicro()) / 1000 }
	for _, class := range writes {
		s.writes[class] = true
	}
	return s
}

// dropWithin is how long after a purge a cache drops an older copy by itself: under the 6 s of the pages.
const dropWithin = 5500 * time.Millisecond

// serve starts a server and returns its address.
func (s *site) serve(name string) string {
	ln := s.p.listen()
	s.copies[name] = map[string]copyOf{}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.handle(name, conn)
		}
	}()
	return ln.Addr().String()
}

func (s *site) handle(name string, conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var mu sync.Mutex
	write := func(out []byte) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = conn.Write(out)
	}
	for {
		words, err := readFrame(in)
		if err != nil || len(words) < 2 {
			return
		}
		switch words[0] {
		case "fetch":
			if len(words) < 3 {
				return
			}
			out := s.fetch(name, words[1], parseFields(words[2]), strings.Join(words[3:], ""))
			if s.delay > 0 {
				time.AfterFunc(s.delay, func() { write(out) })
			} else {
				write(out)
			}
		case "alive", "stats":
			write(appendFrame(nil, words[1], "green", "rep=inflight:1;util:0.1"))
		case "abort": // its answer may still come
		default:
			return
		}
	}
}

// fetch answers a request: a write runs, a read is answered from a copy that is not too old, or filled from the origin.
func (s *site) fetch(name, id string, fields map[string]string, body string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	newer, _ := strconv.ParseFloat(fields["newer"], 64)
	f := fetched{at: now, server: name, id: id, lane: fields["lane"], object: fields["name"], newer: newer, body: body, answer: "served"}
	if s.writes[f.lane] {
		f.why = "pulled"
		s.log = append(s.log, f)
		s.p.logf("%s RUNS %s id=%s body=%q", name, f.lane, id, body)
		return appendFrame(nil, id, "served", "why=pulled,version=w,stamp="+s.stamp(now), "done")
	}
	key := f.object + "/" + fields["piece"]
	held, ok := s.copies[name][key]
	if purged, was := s.purgedAt[f.object]; ok && was && held.born.Before(purged) && now.Sub(purged) >= dropWithin {
		ok = false
	}
	if ok && newer > 0 && float64(now.Sub(held.born).Microseconds())/1000 > newer {
		ok = false
	}
	f.why = "local"
	if !ok && fields["fetch"] == "" && name != "origin" {
		f.answer, f.why = "not_here", "not_there"
		s.log = append(s.log, f)
		return appendFrame(nil, id, "not_here", "why=not_there")
	}
	if !ok {
		s.numbers++
		held = copyOf{now, s.numbers}
		s.copies[name][key] = held
		f.why = "pulled"
	}
	f.copy, f.hasCopy = held, true
	s.log = append(s.log, f)
	s.p.logf("%s served %s newer=%v why=%s copy %d, %d ms old", name, f.object, newer, f.why, held.number, now.Sub(held.born).Milliseconds())
	text := fmt.Sprintf("why=%s,version=v%d,stamp=%s", f.why, held.number, s.stamp(held.born))
	return appendFrame(nil, id, "served", text, fmt.Sprintf("copy %d", held.number))
}

// stamp returns a time as the servers' clocks show it.
func (s *site) stamp(at time.Time) string {
	return strconv.FormatInt(int64(s.ownClock()-float64(time.Since(at).Milliseconds())), 10)
}

// purge makes the origin forget copies from before now.
func (s *site) purge(object string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.purgedAt[object] = now
	return now
}

func (s *site) requests() []fetched {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]fetched(nil), s.log...)
}

// client is a client of the platform's protocol, with one request open at a time.
type client struct {
	conn net.Conn
	in   *bufio.Reader
	tag  int
}

func dialClient(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, in: bufio.NewReader(conn)}, nil
}

// call sends a command and returns its answer, without the tag.
func (c *client) call(limit time.Duration, words ...string) ([]string, error) {
	c.tag++
	words = append([]string{words[0], strconv.Itoa(c.tag)}, words[1:]...)
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := c.conn.Write(appendFrame(nil, words...)); err != nil {
		return nil, err
	}
	answer, err := readFrame(c.in)
	if err != nil || len(answer) < 2 || answer[0] != strconv.Itoa(c.tag) {
		return nil, fmt.Errorf("answer %q: %v", answer, err)
	}
	return answer[1:], nil
}

// awaitReady waits until a proxy answers that it is ready.
func (p *play) awaitReady(addr string) {
	p.until("ready at "+addr, 20*time.Second, func() bool {
		c, err := dialClient(addr)
		if err != nil {
			return false
		}
		defer c.conn.Close()
		answer, err := c.call(time.Second, "RPC.HEALTH")
		return err == nil && answer[0] == "yes"
	})
	p.logf("the proxy at %s is ready", addr)
}

var requestID int

func newRequestID() string {
	requestID++
	return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), requestID)
}

// get requests an object of class asset, and records the answer.
func (p *play) get(c *client, object string, group int) {
	fields := fmt.Sprintf("rid=%s,budget=2000,obj=%s,nth=0,batch=%d,mem=100", newRequestID(), object, group)
	answer, err := c.call(3*time.Second, "RPC.CALL", "asset", fields, "")
	p.logf("client asked for %s: %q %v", object, bytes.TrimSpace([]byte(strings.Join(answer, " "))), err)
}
