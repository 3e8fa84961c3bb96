package fleet

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"sync"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// DiscoveryService stands in for the discovery service. It holds one log of numbered events, which any number of listeners serve.
type DiscoveryService struct {
	clk          *clock.Clock
	zones, kinds []string

	mu      sync.Mutex
	frames  [][]byte // the encoded events: frames[i] has the event with number i+1
	notices []any    // the purges, to be encoded as JSON for the configuration of a proxy that starts
	list    map[policy.ServerID]membership.Member
	order   []policy.ServerID // the ids in list, in the order in which they were first published
	changed chan struct{}     // closed, and replaced by a new channel, with each event
}

// The kinds of frame, numbered as on the wire.
const (
	kindHeartbeat = iota
	kindFullList
	kindChanges
	kindObjectPurge
	kindGroupPurge
)

// NewDiscoveryService returns a service whose first event is the full list. zones and kinds are the names to which the members'
// indices refer.
func NewDiscoveryService(clk *clock.Clock, zones, kinds []string, list []membership.Member) *DiscoveryService {
	s := &DiscoveryService{clk: clk, zones: zones, kinds: kinds, list: map[policy.ServerID]membership.Member{}, changed: make(chan struct{})}
	s.publish(kindFullList, list)
	return s
}

// Change publishes an event with the list entries that changed.
func (s *DiscoveryService) Change(list ...membership.Member) { s.publish(kindChanges, list) }

// publish adds an event of the given kind with some list entries, and updates the list.
func (s *DiscoveryService) publish(kind byte, list []membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var payload []byte
	for _, member := range list {
		payload = append(payload, record(member)...)
		if _, known := s.list[member.ID]; !known {
			s.order = append(s.order, member.ID)
		}
		s.list[member.ID] = member
	}
	s.appendEvent(kind, payload)
}

// Purge publishes a purge of an object (its id in hexadecimal), or of a group if object is empty. at is the time of the purge in
// Unix ms.
func (s *DiscoveryService) Purge(object string, group int, at float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := len(s.frames) + 1
	if object == "" {
		s.notices = append(s.notices, map[string]any{"rev": number, "flush": map[string]any{"collection": group, "ms": at}})
		payload := binary.BigEndian.AppendUint16(nil, uint16(group))
		s.appendEvent(kindGroupPurge, binary.BigEndian.AppendUint64(payload, uint64(at)))
		return
	}
	id, _ := strconv.ParseUint(object, 16, 64)
	s.notices = append(s.notices, map[string]any{"rev": number, "flush": map[string]any{"asset": object, "ms": at}})
	payload := binary.BigEndian.AppendUint64(nil, id)
	s.appendEvent(kindObjectPurge, binary.BigEndian.AppendUint64(payload, uint64(at)))
}

// appendEvent adds an event to the log and wakes the listeners. The caller holds s.mu.
func (s *DiscoveryService) appendEvent(kind byte, payload []byte) {
	s.frames = append(s.frames, frame(uint64(len(s.frames)+1), kind, payload))
	close(s.changed)
	s.changed = make(chan struct{})
}

// eventsAfter returns the frames after the first count events, and a channel that is closed with the next event.
func (s *DiscoveryService) eventsAfter(count int) (frames [][]byte, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.frames[min(count, len(s.frames)):], s.changed
}

// frame encodes an event: the length of what follows it (4 bytes), the event's number (8), its kind (1) and its payload.
func frame(number uint64, kind byte, payload []byte) []byte {
	encoded := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	encoded = binary.BigEndian.AppendUint64(encoded, number)
	encoded = append(encoded, kind)
	return append(encoded, payload...)
}

// record encodes a list entry. It panics on an address that the encoding cannot represent, since only a wrong test passes one.
func record(m membership.Member) []byte {
	addr, err := netip.ParseAddrPort(m.Addr)
	if err != nil || !addr.Addr().Is4() {
		panic(fmt.Sprintf("address %q of a stand-in server is not IPv4:PORT", m.Addr))
	}
	encoded := binary.BigEndian.AppendUint32(nil, uint32(m.ID))
	encoded = append(encoded, addr.Addr().AsSlice()...)
	encoded = binary.BigEndian.AppendUint16(encoded, addr.Port())
	encoded = append(encoded, byte(m.State), byte(m.Zone), byte(m.Kind))
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(m.Cell))
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(m.Weight*1000))
	return binary.BigEndian.AppendUint64(encoded, uint64(clock.Ms(m.Started)))
}

// InitialEvents returns the "known" section of the configuration of a proxy that starts now: the current list without removed
// servers, and every purge so far.
func (s *DiscoveryService) InitialEvents() json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	instances := []any{}
	for _, id := range s.order {
		m := s.list[id]
		if m.State == policy.Gone {
			continue
		}
		instances = append(instances, map[string]any{
			"instanceId": serverlist.FormatID(id), "hostPort": m.Addr, "zone": s.zones[m.Zone], "machineType": s.kinds[m.Kind], "cell": m.Cell,
			"lifecycle": []string{"up", "draining", "removed"}[m.State], "weight": m.Weight, "startedAtMs": clock.Ms(m.Started),
		})
	}
	last := len(s.frames)
	list := map[string]any{"rev": last, "pool": map[string]any{"generation": last, "reset": true, "instances": instances}}
	raw, err := json.Marshal(map[string]any{"rev": last, "notices": append([]any{list}, s.notices...)})
	if err != nil {
		panic(err) // plain values always encode
	}
	return raw
}
