package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The stand-ins for cache servers and the origin. A cache keeps what it fills, heeds "newer", and drops the copies from before a
// purge purgeTakes after it, as the pages allow. A miss with a source is filled from the origin. A write runs at the origin.

const (
	serviceDelay = 5 * time.Millisecond
	purgeTakes   = 5500 * time.Millisecond // the pages: older copies are dropped within 6 s
	writeClass   = "seat-claim"
	keyedClass   = "report" // writes that carry a key, whose repeats the main store drops for keyWindow
	keyWindow    = 6000     // ms
	objectGroup  = 17       // of all objects of the cases
)

// fetchSeen is a request as a server received it.
type fetchSeen struct {
	at     float64 // Unix ms
	server string
	id     string
	class  string
	object string
	source string
	key    string
	newer  float64
	status string
	stamp  float64
	body   string
}

type copyKey struct{ server, object, part string }

type fleet struct {
	rec *record

	mu     sync.Mutex
	copies map[copyKey]float64 // stamps
	seen   []fetchSeen
	writes []fetchSeen        // that ran
	keys   map[string]float64 // when a write with the key ran, Unix ms
	// resets tells whether a server resets the connection under a write that has just run, in place of its answer; nil: never.
	resets  func(fetchSeen) bool
	hung    map[string]bool // servers that take requests and answer none
	conns   map[string][]net.Conn
	sending time.Duration // of an answer; 0: serviceDelay
	addrs   map[string]string
	origin  string
	size    int // of a body in bytes, at least
	closers []net.Listener
}

func newFleet(rec *record) *fleet {
	return &fleet{rec: rec, copies: map[copyKey]float64{}, keys: map[string]float64{}, addrs: map[string]string{}, hung: map[string]bool{}, conns: map[string][]net.Conn{}}
}

// start starts a server at a free loopback port.
func (f *fleet) start(id string, isOrigin bool) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.addrs[id] = ln.Addr().String()
	if isOrigin {
		f.origin = id
	}
	f.closers = append(f.closers, ln)
	f.mu.Unlock()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns[id] = append(f.conns[id], conn)
			f.mu.Unlock()
			go f.serve(id, isOrigin, conn)
		}
	}()
	return nil
}

func (f *fleet) close() {
	for _, ln := range f.closers {
		ln.Close()
	}
}

func (f *fleet) serve(id string, isOrigin bool, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var writeMu sync.Mutex
	send := func(parts ...string) {
		writeMu.Lock()
		defer writeMu.Unlock()
		_, _ = conn.Write(frame(parts...))
	}
	drop := func() {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	aborted := sync.Map{}
	for {
		parts, err := readFrame(reader)
		if err != nil {
			return
		}
		switch {
		case len(parts) >= 3 && parts[0] == "fetch":
			body := ""
			if len(parts) > 3 {
				body = parts[3]
			}
			go func() {
				time.Sleep(max(serviceDelay, f.sending))
				if _, gone := aborted.Load(parts[1]); !gone {
					f.answer(id, isOrigin, parts[1], fieldsOf(parts[2]), body, send, drop)
				}
			}()
		case len(parts) == 2 && parts[0] == "abort":
			aborted.Store(parts[1], true)
		case len(parts) == 2:
			send(parts[1], "green", "rep=inflight:0;util:0.1")
		default:
			return
		}
	}
}

func (f *fleet) answer(server string, isOrigin bool, id string, fields map[string]string, body string, send func(...string), drop func()) {
	newer, _ := strconv.ParseFloat(fields["newer"], 64)
	seen := fetchSeen{
		at: nowMs(), server: server, id: id, class: fields["lane"], object: fields["name"], source: fields["fetch"], newer: newer, key: fields["dedupe"], body: body,
	}
	key := copyKey{server, fields["name"], fields["piece"]}
	why := "local"
	isWrite := seen.class == writeClass || seen.class == keyedClass
	reset := false
	f.mu.Lock()
	if f.hung[server] {
		seen.status = "no answer"
		f.seen = append(f.seen, seen)
		f.mu.Unlock()
		f.rec.printf("server %s got %s class=%s object=%s: hangs", server, id, seen.class, seen.object)
		return
	}
	stamp, found := f.copies[key]
	switch {
	case isWrite && (isOrigin || seen.source != ""):
		seen.status, why, seen.stamp = "served", "pulled_far", seen.at
		if ranAt, ran := f.keys[seen.key]; seen.key == "" || !ran || seen.at-ranAt > keyWindow {
			f.keys[seen.key] = seen.at
			f.writes = append(f.writes, seen)
			reset = f.resets != nil && f.resets(seen)
		}
	case !isWrite && !isOrigin && found && (newer == 0 || seen.at-stamp <= newer):
		seen.status, seen.stamp = "served", stamp
	case isOrigin || seen.source != "" && !isWrite:
		seen.status, why, seen.stamp = "served", "pulled_far", float64(int64(seen.at))
		if retain, _ := strconv.Atoi(fields["retain"]); retain > 0 && !isOrigin {
			f.copies[key] = seen.stamp
		}
	default:
		seen.status, why = "not_here", ""
	}
	f.seen = append(f.seen, seen)
	f.mu.Unlock()
	f.rec.printf("server %s got %s class=%s object=%s fetch=%s dedupe=%s newer=%.0f: %s stamp=%.0f", server, id, seen.class, seen.object, seen.source, seen.key, newer,
		seen.status, seen.stamp)
	if reset {
		f.rec.printf("server %s: %s has run, and the connection is reset under it", server, id)
		drop()
		return
	}
	if seen.status != "served" {
		send(id, seen.status, "-")
		return
	}
	send(id, "served", fmt.Sprintf("why=%s,took=0,version=v%.0f,stamp=%.0f", why, seen.stamp, seen.stamp), f.pad(contentOf(seen.object, seen.stamp)))
}

// pad fills a body up to the size of the fleet's bodies.
func (f *fleet) pad(body string) string {
	return body + strings.Repeat(".", max(0, f.size-len(body)))
}

// contentOf returns the bytes of an object as the origin gave them out at stamp.
func contentOf(object string, stamp float64) string {
	return fmt.Sprintf("object %s stamp %.0f", object, stamp)
}

// stampOf returns the stamp in a body that contentOf made for an object.
func stampOf(object, body string) (stamp float64, ok bool) {
	n, err := fmt.Sscanf(body, "object "+object+" stamp %f", &stamp)
	return stamp, err == nil && n == 1
}

// purge makes the caches drop, purgeTakes from now, the copies that the origin gave out until now.
func (f *fleet) purge() (at float64) {
	at = nowMs()
	time.AfterFunc(purgeTakes, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for key, stamp := range f.copies {
			if stamp <= at {
				delete(f.copies, key)
			}
		}
	})
	return at
}

// restart makes a server lose its connections and its copies, as when its process is started again.
func (f *fleet) restart(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns[server] {
		conn.Close()
	}
	f.conns[server] = nil
	for key := range f.copies {
		if key.server == server {
			delete(f.copies, key)
		}
	}
	f.rec.printf("server %s: restarted, empty", server)
}

// hang makes a server take requests and answer none.
func (f *fleet) hang(server string) {
	f.mu.Lock()
	f.hung[server] = true
	f.mu.Unlock()
	f.rec.printf("server %s: takes requests and answers none from now on", server)
}

func (f *fleet) seenSince(at float64) (list []fetchSeen) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.seen {
		if s.at >= at {
			list = append(list, s)
		}
	}
	return list
}

func (f *fleet) writesOf(object string) (list []fetchSeen) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.writes {
		if s.object == object {
			list = append(list, s)
		}
	}
	return list
}
