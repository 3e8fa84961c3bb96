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

// Server is a cache, a parent or the origin.
type Server struct {
	ID    policy.CacheID
	Role  Role
	fleet *Fleet
	ln    net.Listener

	mu     sync.Mutex
	conns  map[*conn]struct{}
	copies map[key]*held
	used   int64
	fault  Fault
	open   int
	dead   bool
}

// Fault is what is wrong with a server.
type Fault struct {
	Silent  bool    // takes requests and answers none
	Full    bool    // turns requests away
	Crashes bool    // answers that it may have run
	Slow    float64 // ms more for each answer
}

type key struct {
	object string
	part   int
}

// held is a copy.
type held struct {
	stamp float64
	rank  int
	used  int64
}

// conn is one connection to a server.
type conn struct {
	s  *Server
	nc net.Conn

	mu    sync.Mutex
	stops map[string]func() // of what is open, by id
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Set makes something wrong with it, or right again.
func (s *Server) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Kill ends it as a process dies: its listener closes and its connections are reset.
func (s *Server) Kill() {
	_ = s.ln.Close()
	s.mu.Lock()
	s.dead = true
	conns := s.conns
	s.conns = map[*conn]struct{}{}
	s.mu.Unlock()
	for k := range conns {
		_ = k.nc.(*net.TCPConn).SetLinger(0)
		_ = k.nc.Close()
	}
}

// Empty drops all copies, as a restart does, and the table with them: an emptied one keeps its size.
func (s *Server) Empty() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = map[key]*held{}
}

func (s *Server) drop(which func(key, *held) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, c := range s.copies {
		if which(k, c) {
			delete(s.copies, k)
		}
	}
}

func (s *Server) accept() {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			return
		}
		k := &conn{s: s, nc: nc, stops: map[string]func(){}}
		s.mu.Lock()
		if s.dead {
			s.mu.Unlock()
			nc.Close()
			return
		}
		s.conns[k] = struct{}{}
		s.mu.Unlock()
		go k.read()
	}
}

func (k *conn) read() {
	buf := resp.Buffer{Most: resp.MostAnswered}
	for {
		parts, _, err := buf.Next(k.nc)
		if err != nil {
			break
		}
		words := make([]string, len(parts))
		for i, p := range parts {
			words[i] = string(p)
		}
		k.command(words)
	}
	k.nc.Close()
	k.s.mu.Lock()
	delete(k.s.conns, k)
	k.s.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, stop := range k.stops { // closing the connection gives up all that is open on it
		stop()
	}
	k.stops = map[string]func(){}
}

func (k *conn) send(parts ...string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, _ = k.nc.Write(resp.Append(nil, parts...))
}

func (k *conn) command(words []string) {
	switch {
	case words[0] == "fetch" && len(words) >= 3:
		k.fetch(words[1], words[2], strings.Join(words[3:], ""))
	case words[0] == "abort" && len(words) == 2:
		k.mu.Lock()
		if stop := k.stops[words[1]]; stop != nil {
			stop()
			delete(k.stops, words[1])
		}
		k.mu.Unlock()
	case (words[0] == "stats" || words[0] == "alive") && len(words) == 2:
		k.s.fleet.saw(Seen{At: k.s.fleet.opt.Clock.Now(), Server: k.s.ID, Probe: true, Answer: "green"})
		k.s.mu.Lock()
		silent, open := k.s.fault.Silent, k.s.open
		k.s.mu.Unlock()
		if !silent {
			k.send(words[1], "green", fmt.Sprintf("rep=inflight:%d;util:0.5", open))
		}
	default:
		k.nc.Close()
	}
}

// fetch answers one request, when its time has come.
func (k *conn) fetch(id, list, body string) {
	s, f := k.s, k.s.fleet
	fields, ok := resp.Fields([]byte(list))
	if !ok {
		k.send(id, "crashed", "why=no_place")
		return
	}
	now := f.opt.Clock.Now()
	part, _ := strconv.Atoi(fields["piece"])
	seen := Seen{
		At: now, Server: s.ID, ID: id, Class: fields["lane"], Object: fields["name"], Part: part, Source: s.ID, Address: s.Addr(),
		Key: fields["dedupe"],
	}
	if src := fields["fetch"]; src != "" {
		n, _ := strconv.ParseUint(strings.TrimPrefix(src, "s-"), 16, 32)
		seen.Source = policy.CacheID(n)
	}
	seen.Left, _ = strconv.ParseFloat(fields["ttl"], 64)
	if age, err := strconv.ParseFloat(fields["newer"], 64); err == nil && age > 0 {
		seen.Newest = now - age
	}
	// What is kept nowhere runs at the origin: it is asked for at no rank and with a body, or has the name of a write.
	seen.Write = len(body) > 0 || fields["retain"] == "" && seen.Source != s.ID && f.role(seen.Source) == Origin
	at := f.saw(seen)
	s.mu.Lock()
	fault := s.fault
	s.open++
	s.mu.Unlock()
	done := func(word, why string, stamp float64) {
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
		f.answered(at, word, why, stamp)
		if word == "" {
			return
		}
		list := "why=" + why
		if word == "served" {
			list += fmt.Sprintf(",version=v%.0f,stamp=%.0f", stamp, stamp)
			k.send(id, word, list, string(Content(seen.Object, part, stamp)))
			return
		}
		k.send(id, word, list)
	}
	switch {
	case fault.Silent:
		done("", "", 0)
		return
	case fault.Full:
		done("overload", "turned_away", 0)
		return
	case fault.Crashes:
		done("crashed", "far_fault", 0)
		return
	}
	word, why, stamp, wait := s.answer(seen, fields)
	wait += fault.Slow
	if wait <= 0 {
		done(word, why, stamp)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stops[id] = f.opt.Clock.After(wait, func() {
		k.mu.Lock()
		delete(k.stops, id)
		k.mu.Unlock()
		done(word, why, stamp)
	})
}

func (f *Fleet) role(id policy.CacheID) Role {
	if s := f.Server(id); s != nil {
		return s.Role
	}
	return Cache
}

// answer is what becomes of a request here: from a copy, by a fill, or by running it at the origin.
func (s *Server) answer(q Seen, fields map[string]string) (word, why string, stamp, wait float64) {
	f := s.fleet
	if q.Write {
		f.run(q.ID, q.Key)
		return "served", "pulled", f.opt.Clock.Now(), f.opt.Serve + f.opt.Fill
	}
	k := key{q.Object, q.Part}
	if stamp, ok := s.hold(k, q.Newest); ok {
		return "served", "local", stamp, f.opt.Serve
	}
	if s.Role == Origin { // a request that came past all caches
		return "served", "pulled_far", f.make(k), f.opt.Serve
	}
	if q.Source == s.ID {
		return "not_here", "not_there", 0, 0
	}
	src := f.Server(q.Source)
	if src == nil || src.gone() {
		return "not_here", "cut_off", 0, 0
	}
	shallow := strings.Contains(fields["handle"], "shallow")
	stamp, far, ok := src.give(k, q.Newest, shallow, strings.Contains(fields["handle"], "transit"))
	if !ok {
		return "not_here", "not_there", 0, 0
	}
	rank, _ := strconv.Atoi(fields["retain"])
	s.keep(k, stamp, rank)
	why = "pulled"
	if wait = f.opt.Serve + f.opt.Fill; far {
		why, wait = "pulled_far", wait+f.opt.Fill
	}
	return "served", why, stamp, wait
}

func (s *Server) gone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead || s.fault.Silent
}

// hold finds a copy that was made at newest or later.
func (s *Server) hold(k key, newest float64) (stamp float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copies[k]
	if s.Role == Origin || c == nil || c.stamp < newest {
		return 0, false
	}
	s.used++
	c.used = s.used
	return c.stamp, true
}

// give is a source's answer to a fill. far: it came from the origin behind a parent.
func (s *Server) give(k key, newest float64, shallow, transit bool) (stamp float64, far, ok bool) {
	if s.Role == Origin {
		return s.fleet.make(k), false, true
	}
	if stamp, ok := s.hold(k, newest); ok {
		return stamp, false, true
	}
	if s.Role != Parent || shallow {
		return 0, false, false
	}
	stamp = s.fleet.make(k)
	if !transit {
		s.keep(k, stamp, 1)
	}
	return stamp, true, true
}

// make is when the origin gave out the copy that it gives now.
func (f *Fleet) make(key) float64 {
	return float64(int64(f.opt.Clock.Now()))
}

// keep holds a copy, in place of the one used longest ago of the lowest rank that is no higher.
func (s *Server) keep(k key, stamp float64, rank int) {
	if rank <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used++
	if c := s.copies[k]; c != nil {
		c.stamp, c.rank, c.used = max(c.stamp, stamp), rank, s.used
		return
	}
	if len(s.copies) >= s.fleet.opt.Held {
		var worst key
		var w *held
		for k, c := range s.copies {
			if w == nil || c.rank < w.rank || c.rank == w.rank && c.used < w.used {
				worst, w = k, c
			}
		}
		if w.rank > rank {
			return
		}
		delete(s.copies, worst)
	}
	s.copies[k] = &held{stamp: stamp, rank: rank, used: s.used}
}
