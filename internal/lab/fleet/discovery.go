package fleet

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// DiscoveryService stands in for the notice board: one log of numbered events, told at any number of doors.
type DiscoveryService struct {
	clk          *clock.Clock
	zones, kinds []string

	mu      sync.Mutex
	frames  [][]byte // the event numbered i+1
	notices []any    // the same as JSON, for those who start
	list    map[policy.CacheID]membership.Member
	order   []policy.CacheID
	wake    chan struct{} // closed and made anew with each event
}

// DiscoveryListener is one address at which a board is told.
type DiscoveryListener struct {
	service *DiscoveryService
	ln      net.Listener
	// Calls counts the connections that came up and said what they know.
	Calls atomic.Int64

	mu          sync.Mutex
	stalled     bool
	callerFault func(caller int64) CallerFault // nil: all are treated well
	conns       map[net.Conn]struct{}
}

// CallerFault is how a door treats one caller. The zero value is a door that is well.
type CallerFault struct {
	Unresponsive bool    // nothing is said to it, for as long as it waits
	Disconnect   bool    // its connection is ended as soon as it has asked
	ByteInterval float64 // ms between two bytes of what it is told; 0: at once
}

// The kinds of event, as their frames name them.
const (
	kindHeartbeat = iota
	kindFullList
	kindChanges
	kindObjectPurge
	kindGroupPurge
)

// heartbeatInterval: an empty frame comes each second.
const heartbeatInterval = 1000

// NewDiscoveryService returns a board whose first event is the whole list.
func NewDiscoveryService(clk *clock.Clock, zones, kinds []string, list []membership.Member) *DiscoveryService {
	b := &DiscoveryService{clk: clk, zones: zones, kinds: kinds, list: map[policy.CacheID]membership.Member{}, wake: make(chan struct{})}
	b.publish(kindFullList, list)
	return b
}

// Change tells what has changed of the list.
func (b *DiscoveryService) Change(list ...membership.Member) { b.publish(kindChanges, list) }

func (b *DiscoveryService) publish(kind byte, list []membership.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var payload []byte
	for _, m := range list {
		payload = append(payload, record(m)...)
		if _, known := b.list[m.ID]; !known {
			b.order = append(b.order, m.ID)
		}
		b.list[m.ID] = m
	}
	b.appendEvent(kind, payload)
}

// Purge tells of a purge: of an object or, with none, of a group.
func (b *DiscoveryService) Purge(object string, group int, at float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if object == "" {
		b.notices = append(b.notices, map[string]any{"rev": len(b.frames) + 1, "flush": map[string]any{"collection": group, "ms": at}})
		b.appendEvent(kindGroupPurge, binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint16(nil, uint16(group)), uint64(at)))
		return
	}
	n, _ := strconv.ParseUint(object, 16, 64)
	b.notices = append(b.notices, map[string]any{"rev": len(b.frames) + 1, "flush": map[string]any{"asset": object, "ms": at}})
	b.appendEvent(kindObjectPurge, binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, n), uint64(at)))
}

func (b *DiscoveryService) appendEvent(kind byte, payload []byte) {
	b.frames = append(b.frames, frame(uint64(len(b.frames)+1), kind, payload))
	close(b.wake)
	b.wake = make(chan struct{})
}

func frame(rev uint64, kind byte, payload []byte) []byte {
	f := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(f, rev), kind), payload...)
}

func record(m membership.Member) []byte {
	a, err := netip.ParseAddrPort(m.Addr)
	if err != nil || !a.Addr().Is4() {
		panic(fmt.Sprintf("a stand-in's address is %q", m.Addr))
	}
	b := append(binary.BigEndian.AppendUint32(nil, uint32(m.ID)), a.Addr().AsSlice()...)
	b = append(binary.BigEndian.AppendUint16(b, a.Port()), byte(m.State), byte(m.Zone), byte(m.Kind))
	b = binary.BigEndian.AppendUint16(b, uint16(m.Cell))
	b = binary.BigEndian.AppendUint32(b, uint32(m.Weight*1000))
	return binary.BigEndian.AppendUint64(b, uint64(clock.Ms(m.Started)))
}

// InitialEvents is what a proxy that starts now is told: the list as it stands, and every purge.
func (b *DiscoveryService) InitialEvents() json.RawMessage {
	b.mu.Lock()
	defer b.mu.Unlock()
	instances := []any{}
	for _, id := range b.order {
		m := b.list[id]
		if m.State == policy.Gone {
			continue
		}
		instances = append(instances, map[string]any{
			"instanceId": serverlist.FormatID(id), "hostPort": m.Addr, "zone": b.zones[m.Zone], "machineType": b.kinds[m.Kind], "cell": m.Cell,
			"lifecycle": []string{"up", "draining", "removed"}[m.State], "weight": m.Weight, "startedAtMs": clock.Ms(m.Started),
		})
	}
	list := map[string]any{"rev": len(b.frames), "pool": map[string]any{"generation": len(b.frames), "reset": true, "instances": instances}}
	raw, err := json.Marshal(map[string]any{"rev": len(b.frames), "notices": append([]any{list}, b.notices...)})
	if err != nil {
		panic(err) // of plain values
	}
	return raw
}

// Open tells the board at another address; port 0 is one from the kernel.
func (b *DiscoveryService) Open(addr string) (*DiscoveryListener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("notice board: %w", err)
	}
	d := &DiscoveryListener{service: b, ln: ln, conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns[nc] = struct{}{}
			d.mu.Unlock()
			go d.serve(nc)
		}
	}()
	return d, nil
}

// Addr is where it listens.
func (d *DiscoveryListener) Addr() string { return d.ln.Addr().String() }

// Stall has the door accept connections and say nothing, or speak again.
func (d *DiscoveryListener) Stall(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stalled = on
}

// SetCallerFault sets how each caller is treated, by its number at this door from 1 on. It is asked before every word.
func (d *DiscoveryListener) SetCallerFault(treat func(caller int64) CallerFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callerFault = treat
}

// fault is how a caller is treated now.
func (d *DiscoveryListener) fault(caller int64) (f CallerFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.callerFault != nil {
		f = d.callerFault(caller)
	}
	f.Unresponsive = f.Unresponsive || d.stalled
	return f
}

// Close ends the door and what came through it.
func (d *DiscoveryListener) Close() {
	_ = d.ln.Close()
	d.ResetConnections()
}

// ResetConnections ends all connections that came through the door.
func (d *DiscoveryListener) ResetConnections() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for nc := range d.conns {
		_ = nc.Close()
	}
}

func (d *DiscoveryListener) serve(nc net.Conn) {
	gone := make(chan struct{})
	defer func() {
		_ = nc.Close()
		d.mu.Lock()
		delete(d.conns, nc)
		d.mu.Unlock()
	}()
	var last [8]byte
	if _, err := io.ReadFull(nc, last[:]); err != nil {
		return
	}
	caller := d.Calls.Add(1)
	go func() { // it says nothing more: a read that ends is its end
		_, _ = io.Copy(io.Discard, nc)
		close(gone)
	}()
	next := int(binary.BigEndian.Uint64(last[:]))
	for {
		b := d.service
		b.mu.Lock()
		wake, frames := b.wake, b.frames[min(next, len(b.frames)):]
		b.mu.Unlock()
		fault := d.fault(caller)
		if fault.Disconnect {
			return
		}
		if !fault.Unresponsive {
			if len(frames) == 0 {
				frames = [][]byte{frame(uint64(next), kindHeartbeat, nil)}
			} else {
				next += len(frames)
			}
			for _, f := range frames {
				if err := d.write(nc, caller, f); err != nil {
					return
				}
			}
		}
		tick := make(chan struct{})
		stop := b.clk.After(heartbeatInterval, func() { close(tick) })
		select {
		case <-tick:
		case <-wake:
		case <-gone:
			stop()
			return
		}
		stop()
	}
}

// write writes a frame as its caller is treated, at once or a byte at a time.
func (d *DiscoveryListener) write(nc net.Conn, caller int64, frame []byte) error {
	for len(frame) > 0 {
		size := len(frame)
		every := d.fault(caller).ByteInterval
		if every > 0 {
			size = 1
		}
		if _, err := nc.Write(frame[:size]); err != nil {
			return err
		}
		frame = frame[size:]
		if every > 0 {
			over := make(chan struct{})
			d.service.clk.After(every, func() { close(over) })
			<-over
		}
	}
	return nil
}
