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

	mu       sync.Mutex
	conns    map[*conn]struct{}
	copies   map[partKey]*cachedCopy
	useCount int64
	fault    Fault
	inFlight int
	killed   bool
}

// Fault is what is wrong with a server.
type Fault struct {
	Unresponsive bool    // takes requests and answers none
	Overloaded   bool    // turns requests away
	Failing      bool    // answers that it may have run
	ExtraLatency float64 // ms more for each answer
}

type partKey struct {
	object string
	part   int
}

// cachedCopy is a copy.
type cachedCopy struct {
	stamp     float64
	retention int
	lastUsed  int64
}

// conn is one connection to a server.
type conn struct {
	s  *Server
	nc net.Conn

	mu      sync.Mutex
	cancels map[string]func() // of what is open, by id
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// SetFault makes something wrong with it, or right again.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Kill ends it as a process dies: its listener closes and its connections are reset.
func (s *Server) Kill() {
	_ = s.ln.Close()
	s.mu.Lock()
	s.killed = true
	conns := s.conns
	s.conns = map[*conn]struct{}{}
	s.mu.Unlock()
	for k := range conns {
		_ = k.nc.(*net.TCPConn).SetLinger(0)
		_ = k.nc.Close()
	}
}

// DropCopies drops all copies, as a restart does, and the table with them: an emptied one keeps its size.
func (s *Server) DropCopies() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = map[partKey]*cachedCopy{}
}

func (s *Server) dropCopies(which func(partKey, *cachedCopy) bool) {
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
		k := &conn{s: s, nc: nc, cancels: map[string]func(){}}
		s.mu.Lock()
		if s.killed {
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
	buf := resp.Buffer{MaxFrameSize: resp.MaxResponseSize}
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
	for _, stop := range k.cancels { // closing the connection gives up all that is open on it
		stop()
	}
	k.cancels = map[string]func(){}
}

func (k *conn) send(parts ...string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, _ = k.nc.Write(resp.AppendFrame(nil, parts...))
}

func (k *conn) command(words []string) {
	switch {
	case words[0] == "fetch" && len(words) >= 3:
		k.fetch(words[1], words[2], strings.Join(words[3:], ""))
	case words[0] == "abort" && len(words) == 2:
		k.mu.Lock()
		if stop := k.cancels[words[1]]; stop != nil {
			stop()
			delete(k.cancels, words[1])
		}
		k.mu.Unlock()
	case (words[0] == "stats" || words[0] == "alive") && len(words) == 2:
		k.s.fleet.observe(Observation{At: k.s.fleet.options.Clock.Now(), Server: k.s.ID, Probe: true, Answer: "green"})
		k.s.mu.Lock()
		silent, open := k.s.fault.Unresponsive, k.s.inFlight
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
	fields, ok := resp.ParseFields([]byte(list))
	if !ok {
		k.send(id, "crashed", "why=no_place")
		return
	}
	now := f.options.Clock.Now()
	part, _ := strconv.Atoi(fields["piece"])
	seen := Observation{
		At: now, Server: s.ID, RequestID: id, Class: fields["lane"], Object: fields["name"], Part: part, Source: s.ID, Address: s.Addr(),
		Key: fields["dedupe"],
	}
	if src := fields["fetch"]; src != "" {
		n, _ := strconv.ParseUint(strings.TrimPrefix(src, "s-"), 16, 32)
		seen.Source = policy.CacheID(n)
	}
	seen.RemainingMs, _ = strconv.ParseFloat(fields["ttl"], 64)
	if age, err := strconv.ParseFloat(fields["newer"], 64); err == nil && age > 0 {
		seen.OldestAllowed = now - age
	}
	// What is kept nowhere runs at the origin: it is asked for at no rank and with a body, or has the name of a write.
	seen.Write = len(body) > 0 || fields["retain"] == "" && seen.Source != s.ID && f.role(seen.Source) == Origin
	at := f.observe(seen)
	s.mu.Lock()
	fault := s.fault
	s.inFlight++
	s.mu.Unlock()
	done := func(word, why string, stamp float64) {
		s.mu.Lock()
		s.inFlight--
		s.mu.Unlock()
		f.recordAnswer(at, word, why, stamp)
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
	case fault.Unresponsive:
		done("", "", 0)
		return
	case fault.Overloaded:
		done("overload", "turned_away", 0)
		return
	case fault.Failing:
		done("crashed", "far_fault", 0)
		return
	}
	word, why, stamp, wait := s.answer(seen, fields)
	wait += fault.ExtraLatency
	if wait <= 0 {
		done(word, why, stamp)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cancels[id] = f.options.Clock.After(wait, func() {
		k.mu.Lock()
		delete(k.cancels, id)
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
func (s *Server) answer(q Observation, fields map[string]string) (word, why string, stamp, wait float64) {
	f := s.fleet
	if q.Write {
		f.runWrite(q.RequestID, q.Key)
		return "served", "pulled", f.options.Clock.Now(), f.options.TransferTime + f.options.FillTime
	}
	k := partKey{q.Object, q.Part}
	if stamp, ok := s.lookUp(k, q.OldestAllowed); ok {
		return "served", "local", stamp, f.options.TransferTime
	}
	if s.Role == Origin { // a request that came past all caches
		return "served", "pulled_far", f.stampNow(k), f.options.TransferTime
	}
	if q.Source == s.ID {
		return "not_here", "not_there", 0, 0
	}
	src := f.Server(q.Source)
	if src == nil || src.unreachable() {
		return "not_here", "cut_off", 0, 0
	}
	shallow := strings.Contains(fields["handle"], "shallow")
	stamp, far, ok := src.serveFill(k, q.OldestAllowed, shallow, strings.Contains(fields["handle"], "transit"))
	if !ok {
		return "not_here", "not_there", 0, 0
	}
	rank, _ := strconv.Atoi(fields["retain"])
	s.store(k, stamp, rank)
	why = "pulled"
	if wait = f.options.TransferTime + f.options.FillTime; far {
		why, wait = "pulled_far", wait+f.options.FillTime
	}
	return "served", why, stamp, wait
}

func (s *Server) unreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed || s.fault.Unresponsive
}

// lookUp finds a copy that was made at newest or later.
func (s *Server) lookUp(k partKey, newest float64) (stamp float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copies[k]
	if s.Role == Origin || c == nil || c.stamp < newest {
		return 0, false
	}
	s.useCount++
	c.lastUsed = s.useCount
	return c.stamp, true
}

// serveFill is a source's answer to a fill. far: it came from the origin behind a parent.
func (s *Server) serveFill(k partKey, newest float64, shallow, transit bool) (stamp float64, far, ok bool) {
	if s.Role == Origin {
		return s.fleet.stampNow(k), false, true
	}
	if stamp, ok := s.lookUp(k, newest); ok {
		return stamp, false, true
	}
	if s.Role != Parent || shallow {
		return 0, false, false
	}
	stamp = s.fleet.stampNow(k)
	if !transit {
		s.store(k, stamp, 1)
	}
	return stamp, true, true
}

// stampNow is when the origin gave out the copy that it gives now.
func (f *Fleet) stampNow(partKey) float64 {
	return float64(int64(f.options.Clock.Now()))
}

// store holds a copy, in place of the one used longest ago of the lowest rank that is no higher.
func (s *Server) store(k partKey, stamp float64, rank int) {
	if rank <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.useCount++
	if c := s.copies[k]; c != nil {
		c.stamp, c.retention, c.lastUsed = max(c.stamp, stamp), rank, s.useCount
		return
	}
	if len(s.copies) >= s.fleet.options.MaxCopies {
		var worst partKey
		var w *cachedCopy
		for k, c := range s.copies {
			if w == nil || c.retention < w.retention || c.retention == w.retention && c.lastUsed < w.lastUsed {
				worst, w = k, c
			}
		}
		if w.retention > rank {
			return
		}
		delete(s.copies, worst)
	}
	s.copies[k] = &cachedCopy{stamp: stamp, retention: rank, lastUsed: s.useCount}
}
