// Package snmp is a read-only SNMP v2c agent over the counters that the proxy keeps. The codec is gosnmp's.
package snmp

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gosnmp/gosnmp"

	"ravenwheel/internal/core"
	"ravenwheel/internal/invariant"
)

// root is ravenwheelObjects of mibs/RAVENWHEEL-MIB.txt.
const root = ".1.3.6.1.4.1.32473.1.1."

// mostRepeats bounds the answer to a GetBulk.
const mostRepeats = 64

// Scalar is one object: its value is read anew for each request.
type Scalar struct {
	Gauge bool
	Read  func() int64
}

// Scalars are the MIB's objects, in its order.
func Scalars(n *core.Counters, late, conns func() int64) []Scalar {
	return []Scalar{
		{Read: n.Requests.Load}, {Read: n.Served.Load}, {Read: n.Rejected.Load}, {Read: n.Failed.Load},
		{Read: n.Abandoned.Load}, {Read: n.Attempts.Load}, {Read: n.Timeouts.Load}, {Read: n.Skipped.Load},
		{Read: n.Notifications.Load}, {Gauge: true, Read: n.InFlight.Load}, {Read: late}, {Gauge: true, Read: conns},
		{Read: invariant.Violations}, {Read: n.NeverSent.Load}, {Read: n.UnansweredConns.Load}, {Read: n.WrongTags.Load},
	}
}

// Agent answers on one UDP socket.
type Agent struct {
	community string
	scalars   []Scalar
}

// New returns an agent for one community.
func New(community string, scalars []Scalar) *Agent { return &Agent{community, scalars} }

// readPause: after a read that failed the next one waits so long.
const readPause = 10 * time.Millisecond

// Serve answers until the socket is closed. What can't be read, and what names another community, gets no
// answer.
func (a *Agent) Serve(pc net.PacketConn) error {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := pc.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // of one datagram, or for want of memory: the agent goes on
			time.Sleep(readPause)
			continue
		}
		if out := a.answer(buf[:n]); out != nil {
			_, _ = pc.WriteTo(out, from)
		}
	}
}

func (a *Agent) answer(raw []byte) (out []byte) {
	// Guards against a datagram that the codec panics on: it gets no answer, as any that can't be read.
	defer func() {
		if recover() != nil {
			out = nil
		}
	}()
	codec := gosnmp.GoSNMP{Version: gosnmp.Version2c, Logger: gosnmp.Logger{}}
	q, err := codec.SnmpDecodePacket(raw)
	if err != nil || q.Version != gosnmp.Version2c || q.Community != a.community {
		return nil
	}
	r := &gosnmp.SnmpPacket{
		Version: q.Version, Community: q.Community, PDUType: gosnmp.GetResponse, RequestID: q.RequestID,
		Logger: gosnmp.Logger{},
	}
	switch q.PDUType {
	case gosnmp.GetRequest:
		for _, v := range q.Variables {
			r.Variables = append(r.Variables, a.get(v.Name))
		}
	case gosnmp.GetNextRequest:
		for _, v := range q.Variables {
			r.Variables = append(r.Variables, a.next(v.Name))
		}
	case gosnmp.GetBulkRequest:
		for i, v := range q.Variables {
			repeats := 1
			if i >= int(q.NonRepeaters) {
				repeats = min(int(q.MaxRepetitions), mostRepeats)
			}
			for range repeats {
				v = a.next(v.Name)
				r.Variables = append(r.Variables, v)
				if v.Type == gosnmp.EndOfMibView {
					break
				}
			}
		}
	case gosnmp.SetRequest:
		r.Error, r.ErrorIndex, r.Variables = gosnmp.NotWritable, 1, q.Variables
	default:
		return nil
	}
	if out, err = r.MarshalMsg(); err != nil {
		return nil
	}
	return out
}

func (a *Agent) value(i int) gosnmp.SnmpPDU {
	s, v := a.scalars[i], gosnmp.SnmpPDU{Name: fmt.Sprintf("%s%d.0", root, i+1)}
	if s.Gauge {
		v.Type, v.Value = gosnmp.Gauge32, uint32(s.Read())
	} else {
		v.Type, v.Value = gosnmp.Counter64, uint64(s.Read())
	}
	return v
}

func (a *Agent) get(name string) gosnmp.SnmpPDU {
	if rest, ok := strings.CutPrefix(name, root); ok {
		number, ok := strings.CutSuffix(rest, ".0")
		if i, err := strconv.Atoi(number); ok && err == nil && i >= 1 && i <= len(a.scalars) {
			return a.value(i - 1)
		}
	}
	return gosnmp.SnmpPDU{Name: name, Type: gosnmp.NoSuchObject}
}

// next returns the first object behind a name.
func (a *Agent) next(name string) gosnmp.SnmpPDU {
	for i := range a.scalars {
		if v := a.value(i); before(name, v.Name) {
			return v
		}
	}
	return gosnmp.SnmpPDU{Name: name, Type: gosnmp.EndOfMibView}
}

// before tells whether one OID comes before another.
func before(a, b string) bool {
	as, bs := strings.Split(strings.Trim(a, "."), "."), strings.Split(strings.Trim(b, "."), ".")
	for i := range min(len(as), len(bs)) {
		x, _ := strconv.ParseUint(as[i], 10, 32)
		y, _ := strconv.ParseUint(bs[i], 10, 32)
		if x != y {
			return x < y
		}
	}
	return len(as) < len(bs)
}
