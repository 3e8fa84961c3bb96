package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// server is an entry of the list.
type server struct {
	id         uint32
	addr       string
	zone, kind int
	weight     float64
}

var (
	zoneNames = []string{"north-hub", "south-hub", "edge-1", "edge-2"}
	kindNames = []string{"small", "large", "parent", "origin"}
)

// The places in zoneNames and kindNames.
const (
	north, edge1, edge2   = 0, 2, 3
	small, parent, origin = 0, 2, 3
)

// board is a notice board.
type board struct {
	p  *play
	ln net.Listener

	mu     sync.Mutex
	frames [][]byte // frame i has the number first+i
	first  uint64
	conns  map[net.Conn]struct{}
	// pause is how long after each frame with an event the board turns to other callers.
	pause time.Duration
	// beat is when the last empty frame was written.
	beat time.Time
}

func newBoard(p *play, last uint64) *board {
	b := &board{p: p, ln: p.listen(), first: last + 1, conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			conn, err := b.ln.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

// tell puts an event on the board.
func (b *board) tell(kind byte, payload []byte) (number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	number = b.first + uint64(len(b.frames))
	b.frames = append(b.frames, boardFrame(number, kind, payload))
	return number
}

func boardFrame(number uint64, kind byte, payload []byte) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	frame = binary.BigEndian.AppendUint64(frame, number)
	return append(append(frame, kind), payload...)
}

// next returns the frame after an event; nil: there is none.
func (b *board) next(after uint64) ([]byte, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := int(after + 1 - b.first); i < len(b.frames) {
		return b.frames[i], b.pause
	}
	return nil, 0
}

// serve tells a caller all events after the one that it names, and an empty frame each second when there is nothing new.
func (b *board) serve(conn net.Conn) {
	b.mu.Lock()
	b.conns[conn] = struct{}{}
	b.mu.Unlock()
	defer conn.Close()
	var asked [8]byte
	if _, err := io.ReadFull(bufio.NewReader(conn), asked[:]); err != nil {
		return
	}
	last := binary.BigEndian.Uint64(asked[:])
	b.p.logf("the notice board is asked for what comes after %d", last)
	var spoke time.Time
	for {
		frame, pause := b.next(last)
		switch {
		case frame != nil:
			if _, err := conn.Write(frame); err != nil {
				return
			}
			last, spoke = last+1, time.Now()
			b.p.logf("the notice board wrote event %d, kind %d", last, frame[12])
			time.Sleep(pause)
		case time.Since(spoke) >= time.Second:
			if _, err := conn.Write(boardFrame(last, 0, nil)); err != nil {
				return
			}
			spoke = time.Now()
			b.mu.Lock()
			b.beat = spoke
			b.mu.Unlock()
		default:
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// awaitBeat waits until an empty frame has just been written.
func (b *board) awaitBeat() {
	b.mu.Lock()
	before := b.beat
	b.mu.Unlock()
	b.p.until("an empty frame", 3*time.Second, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.beat.After(before)
	})
}

// breakOff ends all connections in the middle of a frame. The board listens on.
func (b *board) breakOff() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		_, _ = conn.Write(boardFrame(b.first, 0, nil)[:6])
		conn.Close()
	}
	b.conns = map[net.Conn]struct{}{}
	b.p.logf("the notice board broke off all connections")
}

// record returns a record of the list.
func (s server) record() []byte {
	addr, _ := net.ResolveTCPAddr("tcp", s.addr)
	r := binary.BigEndian.AppendUint32(nil, s.id)
	r = append(r, addr.IP.To4()...)
	r = binary.BigEndian.AppendUint16(r, uint16(addr.Port))
	r = append(r, 0, byte(s.zone), byte(s.kind))
	r = binary.BigEndian.AppendUint16(r, 1)
	r = binary.BigEndian.AppendUint32(r, uint32(s.weight*1000))
	return binary.BigEndian.AppendUint64(r, 0)
}

// purgeOf returns the payload of an object's purge.
func purgeOf(object string, unixMs uint64) []byte {
	number, _ := strconv.ParseUint(object, 16, 64)
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, number), unixMs)
}

// platformConfig writes a configuration as the platform does, and returns its path.
func (p *play) platformConfig(listen string, b *board, list []server) string {
	var instances []map[string]any
	for _, s := range list {
		instances = append(instances, map[string]any{
			"instanceId": fmt.Sprintf("s-%08x", s.id), "hostPort": s.addr, "zone": zoneNames[s.zone], "machineType": kindNames[s.kind],
			"cell": 1, "lifecycle": "up", "weight": s.weight, "startedAtMs": 0,
		})
	}
	class := func(name, effect string, deadlineMs int) map[string]any {
		return map[string]any{
			"Name": name, "Effect": effect, "DeadlineUs": deadlineMs * 1000, "TargetUs": 400000, "AimStretch": 2.0, "Group": "all",
			"LateValue": 0.2, "Stream": false, "WindowUs": 5000000, "Worth": 1.0,
		}
	}
	settings := map[string]any{
		"Bounds": map[string]any{
			"Cancel": true, "ConnIdleUs": 30000000, "ConnectTimeoutUs": 400000, "MaxRetryAfterUs": 500000, "MostHeld": 4096,
			"MostTries": 8, "Peers": false, "Probing": true, "RetryAfter": true, "SecondCopies": true, "StreamsPerConn": 100,
		},
		"Discovery": "push", "Clients": map[string]any{"MarksRetry": true},
		"FamilyInfo": map[string]any{
			"ClassFreshUs": []int{0, 0, 0}, "ClassStaleWorth": []float64{0.7, 0.7, 0.7}, "FlowKbPerS": 7800.0, "HomeHub": []int{0, 1, 0, 1},
			"InParts": []bool{true, false, false}, "MayPassBy": false, "NoteLevel": "all", "NoticeTimeUs": 1000000, "OriginBearsUs": 3000000,
			"OriginFallMultiple": 0.0, "ParentBreaksAt": 2.0, "ParentColdFrom": 0.061, "ParentWarmsInUs": 22000000, "PeersFill": "location",
			"PriceOfLink": 0.02, "PurgeTakesUs": 6000000, "RootKind": origin, "SecondTierKind": parent, "SharesFills": false,
			"StaleForUs": []int{0, 0, 0}, "Uncached": []bool{false, false, true}, "ZoneBalancers": []int{0, 0, 1, 1},
			"ZoneLinkKbPerS": []float64{0, 0, 0, 0},
		},
		"Grades":     []any{class("replay", "idempotent", 5000), class("asset", "idempotent", 2500), class("seat-claim", "at_most_once", 3000)},
		"Kinds":      kindNames,
		"NInstances": 2, "Rank": 0, "Tier": 0, "Zone": edge1, "Zones": zoneNames, "TickUs": 2000, "Weights": "rough", "Workload": "edge",
		"Report": map[string]any{"Fields": []string{"cpu_share", "busy_reqs", "x1"}, "Via": "pull"},
		"Rules": map[string]any{
			"AnswerSlackUs": 8000, "AskWithinUs": 10000000, "ColdFrom": 0.15, "DrainGraceUs": 2000000, "FallMultiple": 3.0, "FallUs": 3000000,
			"WarmWithinUs": 18000000,
		},
		"Tenants": []any{}, "WorthBy": "request",
	}
	config := map[string]any{
		"name": "n1", "listen": listen, "seed": "8c1f30d27a5be964", "board": b.ln.Addr().String(),
		"limits":           map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
		"known": map[string]any{"rev": 1, "notices": []any{
			map[string]any{"rev": 1, "pool": map[string]any{"generation": 1, "reset": false, "instances": instances}},
		}},
		"settings": settings,
	}
	text, err := json.Marshal(config)
	p.check(err, "configuration")
	path := filepath.Join(p.dir, "config.json")
	p.check(os.WriteFile(path, text, 0o600), "configuration")
	return path
}

// startPlatform starts a proxy as the platform does, with a cache, a parent and the origin of a site.
func (p *play) startPlatform(s *site, b *board) (addr string, list []server) {
	list = []server{
		{1, s.serve("cache"), edge1, small, 8},
		{10, s.serve("parent"), north, parent, 30},
		{20, s.serve("origin"), north, origin, 40},
	}
	addr = p.freeAddr()
	tmp := filepath.Join(p.dir, "tmp")
	p.check(os.MkdirAll(tmp, 0o700), "folder")
	p.start("proxy", []string{
		"LB_CONFIG=" + p.platformConfig(addr, b, list), "LB_NAME=n1", "LB_LISTEN=" + addr, "LB_CONSOLE=" + p.freeAddr(), "TMPDIR=" + tmp,
	}, "")
	p.awaitReady(addr)
	return addr, list
}
