// Package board follows the notice board: numbered events, first as JSON in the configuration, then as
// frames over TCP.
package board

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/logs"
	"ravenwheel/policy"
)

// Notice is one event of the notice board: of the list, whole or in changes, or a purge. Its times are stamps of other
// machines until they are read; see Dated.
type Notice struct {
	Rev     uint64
	Whole   bool
	Members []core.Member
	Purge   *core.Purge
}

// Tell hands an event on: a list to the ledger, as what source at says, a purge to the core.
func (n Notice) Tell(at int, tell func(membership.Event), purged func(core.Purge)) {
	if n.Purge != nil {
		purged(*n.Purge)
		return
	}
	entries := make([]membership.Entry, len(n.Members))
	for i, m := range n.Members {
		entries[i].Member = m
	}
	if n.Whole {
		tell(membership.List{Source: at, Generation: n.Rev, Entries: entries})
	} else {
		tell(membership.Changes{Source: at, Generation: n.Rev, Entries: entries})
	}
}

// Names are the lists that text and numbers on the board point into.
type Names struct{ Zones, Kinds []string }

type jsonMember struct {
	InstanceID, HostPort, Zone, MachineType, Lifecycle string
	Cell                                               int
	Weight                                             float64
	StartedAtMs                                        float64
}

type jsonNotice struct {
	Rev  uint64
	Pool *struct {
		Reset     bool
		Instances []jsonMember
	}
	Flush *struct {
		Asset      string
		Collection *int
		Ms         float64
	}
}

var states = []policy.State{policy.Ready, policy.Draining, policy.Gone}

var stateNames = map[string]policy.State{"up": policy.Ready, "draining": policy.Draining, "removed": policy.Gone}

// Known decodes the events of the start, and the number of the last one.
func Known(raw []byte, names Names) (notices []Notice, last uint64, err error) {
	var known struct {
		Rev     uint64
		Notices []jsonNotice
	}
	if err := json.Unmarshal(raw, &known); err != nil {
		return nil, 0, fmt.Errorf("known: %w", err)
	}
	for i, j := range known.Notices {
		n := Notice{Rev: j.Rev}
		if p := j.Pool; p != nil {
			n.Whole = p.Reset || i == 0
			for _, m := range p.Instances {
				e, err := m.member(names)
				if err != nil {
					return nil, 0, fmt.Errorf("known: notice %d: %w", j.Rev, err)
				}
				n.Members = append(n.Members, e)
			}
		}
		if f := j.Flush; f != nil {
			n.Purge = &core.Purge{Object: f.Asset, Group: -1, At: f.Ms + core.StampUnit}
			if f.Collection != nil {
				n.Purge.Group = *f.Collection
			}
		}
		notices = append(notices, n)
	}
	return notices, known.Rev, nil
}

func (m jsonMember) member(names Names) (e core.Member, err error) {
	id, err := strconv.ParseUint(strings.TrimPrefix(m.InstanceID, "s-"), 16, 32)
	if err != nil {
		return e, fmt.Errorf("instanceId %q can't be read", m.InstanceID)
	}
	state, ok := stateNames[m.Lifecycle]
	zone, kind := index(names.Zones, m.Zone), index(names.Kinds, m.MachineType)
	if !ok || zone < 0 || kind < 0 {
		return e, fmt.Errorf("%s: unknown lifecycle %q, zone %q or machineType %q", m.InstanceID, m.Lifecycle, m.Zone, m.MachineType)
	}
	e = core.Member{Addr: m.HostPort}
	e.ID, e.Zone, e.Kind, e.Cell, e.State = policy.CacheID(id), zone, kind, m.Cell, state
	e.Weight, e.Started = m.Weight, policy.Time(m.StartedAtMs*1e6)
	return e, nil
}

func index(list []string, s string) int {
	for i, x := range list {
		if x == s {
			return i
		}
	}
	return -1
}

// The kinds of frame.
const (
	kindNothing = iota
	kindWhole
	kindChanges
	kindObject
	kindGroup
)

const (
	recordLen = 27
	mostFrame = 1 << 20
)

var errFrame = errors.New("board: a frame can't be read")

// readFrame reads one frame.
func readFrame(r io.Reader) (n Notice, kind byte, err error) {
	var head [13]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return n, 0, err
	}
	size := binary.BigEndian.Uint32(head[:])
	n.Rev, kind = binary.BigEndian.Uint64(head[4:]), head[12]
	if size < 9 || size > mostFrame {
		return n, kind, errFrame
	}
	b := make([]byte, size-9)
	if _, err := io.ReadFull(r, b); err != nil {
		return n, kind, err
	}
	u64 := binary.BigEndian.Uint64
	switch {
	case (kind == kindWhole || kind == kindChanges) && len(b)%recordLen == 0:
		n.Whole = kind == kindWhole
		for ; len(b) > 0; b = b[recordLen:] {
			m, err := record(b)
			if err != nil {
				return n, kind, err
			}
			n.Members = append(n.Members, m)
		}
	case kind == kindObject && len(b) == 16:
		n.Purge = &core.Purge{Object: fmt.Sprintf("%016x", u64(b)), Group: -1, At: float64(u64(b[8:])) + core.StampUnit}
	case kind == kindGroup && len(b) == 10:
		n.Purge = &core.Purge{Group: int(binary.BigEndian.Uint16(b)), At: float64(u64(b[2:])) + core.StampUnit}
	case kind > kindGroup || kind == kindNothing: // of a later version, or nothing new
	default:
		return n, kind, errFrame
	}
	return n, kind, nil
}

func record(b []byte) (m core.Member, err error) {
	if int(b[10]) >= len(states) {
		return m, errFrame
	}
	m.ID = policy.CacheID(binary.BigEndian.Uint32(b))
	m.Addr = net.JoinHostPort(net.IP(b[4:8]).String(), strconv.Itoa(int(binary.BigEndian.Uint16(b[8:]))))
	m.State, m.Zone, m.Kind = states[b[10]], int(b[11]), int(b[12])
	m.Cell = int(binary.BigEndian.Uint16(b[13:]))
	m.Weight = float64(binary.BigEndian.Uint32(b[15:])) / 1000
	m.Started = policy.Time(binary.BigEndian.Uint64(b[19:])) * policy.Time(time.Millisecond)
	return m, nil
}

// Client follows the notice board, wherever it moves.
type Client struct {
	Addr    string        // at the start; see Move
	Last    uint64        // number of the last event known
	Silence time.Duration // frames come every second: after about so much silence the connection is broken; see patience
	Redial  time.Duration // mean pause before the first new connection; see pause
	Seed    uint64        // of the chance in pauses
	Notice  func(Notice)
	Heard   func() // a frame came that tells nothing new; may be nil
	// Dial connects to a board; nil: package net's.
	Dial func(ctx context.Context, addr string, within time.Duration) (net.Conn, error)

	Clock    *clock.Clock // of what is reported; nil: the machine's
	Log      *logs.Log    // nil: off
	Counters Counters

	heard atomic.Uint64 // Last, for Status

	mu    sync.Mutex
	leave context.CancelFunc // ends the connection of now
}

// Move names another address. The numbers go on there: the last one known is asked from.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.Addr {
		return
	}
	c.Addr = addr
	c.Counters.Moves.Add(1)
	if c.leave != nil {
		c.leave() // what the old one still holds open would tell nothing more
	}
}

// Run follows the board until ctx ends. Whatever breaks, it dials again with the last number it has.
func (c *Client) Run(ctx context.Context) {
	again, heard := c.redials(), true
	why, before := ReasonStart, c.Addr
	for ctx.Err() == nil {
		c.mu.Lock()
		at, leave := context.WithCancel(ctx)
		addr := c.Addr
		c.leave = leave
		c.mu.Unlock()
		if addr != before {
			why, before = ReasonMoved, addr
		}
		heard = c.follow(at, addr, heard, why)
		why = ReasonAgain
		pause := again(heard)
		select {
		case <-at.Done(): // ended, or moved
		case <-time.After(pause):
		}
		leave()
	}
}

// mostDoubled bounds a pause at sixteen times Redial: news binds some seconds later, heard or not.
const mostDoubled = 4

// redials returns what tells the pause after each connection, by whether a frame came over it. It doubles with each in a
// row that told nothing, and is spread by chance over half to one and a half of that. Guards against a fleet that asks a
// board which broke off again and again, all in step.
func (c *Client) redials() func(heard bool) time.Duration {
	chance, tries := rand.New(rand.NewPCG(c.Seed, 0)), 0
	return func(heard bool) time.Duration {
		if tries++; heard {
			tries = 0
		}
		return time.Duration(float64(c.Redial<<min(tries, mostDoubled)) * (0.5 + chance.Float64()))
	}
}

// patience is this client's own silence, four to six fifths of the one that is set. Guards against a fleet whose watches fall
// silent in one instant, and whose calls then come in another.
func (c *Client) patience() time.Duration {
	chance := rand.New(rand.NewPCG(c.Seed, 1))
	return time.Duration(float64(c.Silence) * (0.8 + 0.4*chance.Float64()))
}

func dialTCP(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within}
	return d.DialContext(ctx, "tcp", addr)
}

// patient reads a connection for as long as something comes in time. Guards against a board that was cut off, whose connection
// stays open and says nothing. One that is slow, with a list of thousands of servers say, is not silent: asked anew, it would
// begin from the start.
type patient struct {
	net.Conn
	silence time.Duration
}

// Read implements io.Reader.
func (p *patient) Read(b []byte) (int, error) {
	_ = p.SetReadDeadline(time.Now().Add(p.silence))
	return p.Conn.Read(b)
}

// crowded: the first word of a board that told nothing over the connection before is waited for so many times as long. Guards
// against one that is crowded and takes that long for each who asks: none of them would ever be told. Longer finds one later
// that hangs.
const crowded = 2

// follow reads one connection to its end, and tells whether a frame came over it. before is the same of the one before.
func (c *Client) follow(ctx context.Context, addr string, before bool, why Reason) (heard bool) {
	silence, began, frames := c.patience(), c.now(), 0
	c.called(c.Counters.Calls.Load()+1, addr, why)
	number := c.Counters.Calls.Load()
	end := func(why Reason, err error) {
		if ctx.Err() != nil {
			why = ReasonMoved
		} else if errors.Is(err, os.ErrDeadlineExceeded) {
			why = ReasonSilent
		}
		c.hungUp(number, why, began, frames, err)
	}
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	nc, err := dial(ctx, addr, silence)
	if err != nil {
		end(ReasonDial, err)
		return false
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	var last [8]byte
	binary.BigEndian.PutUint64(last[:], c.Last)
	if _, err := nc.Write(last[:]); err != nil {
		end(ReasonBroken, err)
		return false
	}
	in := &patient{nc, silence}
	if !before {
		in.silence *= crowded
	}
	for {
		n, kind, err := readFrame(in)
		if err != nil {
			end(ReasonBroken, err)
			return heard
		}
		c.spoke(number, !heard, began, n)
		frames++
		heard, in.silence = true, silence
		if kind == kindNothing && c.Heard != nil {
			c.Heard()
		}
		if kind == kindNothing || n.Rev <= c.Last {
			continue
		}
		c.Last = n.Rev
		c.heard.Store(n.Rev)
		if n.Purge != nil || n.Whole || n.Members != nil {
			c.Notice(n)
		}
	}
}
