package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// board is the stand-in for the notice board: the whole list is event 1, and an empty frame follows each second.
type board struct {
	rec *record
	ln  net.Listener

	mu      sync.Mutex
	frames  [][]byte // events 2, 3, ...
	changed chan struct{}
}

func startBoard(rec *record) (*board, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &board{rec: rec, ln: ln, changed: make(chan struct{})}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b, nil
}

func boardFrame(number uint64, kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	b = binary.BigEndian.AppendUint64(b, number)
	return append(append(b, kind), payload...)
}

func (b *board) serve(conn net.Conn) {
	defer conn.Close()
	var last [8]byte
	if _, err := io.ReadFull(conn, last[:]); err != nil {
		return
	}
	sent := int(binary.BigEndian.Uint64(last[:]))
	b.rec.printf("board: called with last event %d", sent)
	for {
		b.mu.Lock()
		events, changed := b.frames[min(max(0, sent-1), len(b.frames)):], b.changed
		b.mu.Unlock()
		for _, event := range events {
			if _, err := conn.Write(event); err != nil {
				return
			}
			sent++
		}
		if len(events) == 0 {
			if _, err := conn.Write(boardFrame(uint64(sent), 0, nil)); err != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
		}
	}
}

// changeServer tells a change of a cache box of the branch. Times are Unix ms; started 0: long ago.
func (b *board) changeServer(id, addr string, state byte, weight int, started float64) {
	var number uint32
	_, _ = fmt.Sscanf(id, "s-%08x", &number)
	host, port, _ := net.SplitHostPort(addr)
	portNumber, _ := strconv.Atoi(port)
	payload := binary.BigEndian.AppendUint32(nil, number)
	payload = append(payload, net.ParseIP(host).To4()...)
	payload = binary.BigEndian.AppendUint16(payload, uint16(portNumber))
	payload = append(payload, state, 1, 0) // of the zone and the kind: their places in the settings
	payload = binary.BigEndian.AppendUint16(payload, 0)
	payload = binary.BigEndian.AppendUint32(payload, uint32(weight)*1000)
	payload = binary.BigEndian.AppendUint64(payload, uint64(started))
	b.tell(2, payload)
	b.rec.printf("board: told %s state %d started %.0f", id, state, started)
}

func (b *board) tell(kind byte, payload []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.frames = append(b.frames, boardFrame(uint64(len(b.frames)+2), kind, payload))
	close(b.changed)
	b.changed = make(chan struct{})
}

// purgeGroup tells the purge of a group that was made at a Unix time in ms.
func (b *board) purgeGroup(group int, at float64) {
	payload := binary.BigEndian.AppendUint16(nil, uint16(group))
	payload = binary.BigEndian.AppendUint64(payload, uint64(at))
	b.tell(4, payload)
	b.rec.printf("board: told the purge of group %d at %.0f", group, at)
}

// known returns the events of the start: the list of servers.
func known(f *fleet, zone string) json.RawMessage {
	instances := []map[string]any{}
	for id, addr := range f.addrs {
		kind, in := "box", zone
		if id == f.origin {
			kind, in = "store", "hub"
		}
		instances = append(instances, map[string]any{
			"instanceId": id, "hostPort": addr, "zone": in, "machineType": kind, "cell": 0, "lifecycle": "up", "weight": boxWeight, "startedAtMs": 0,
		})
	}
	raw, _ := json.Marshal(map[string]any{
		"rev": 1,
		"notices": []any{map[string]any{
			"rev": 1, "pool": map[string]any{"generation": 1, "reset": true, "instances": instances},
		}},
	})
	return raw
}
