// Package snmp is a read-only SNMP v2c agent for the counters of the proxy. It owns the order of the MIB's objects and the answers
// to requests. It decodes and encodes packets with gosnmp, and never sets a value.
//
// The objects and their answers are tested here, against mibs/RAVENWHEEL-MIB.txt.
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

// objectsOID is the OID of ravenwheelObjects in mibs/RAVENWHEEL-MIB.txt, with a dot. Object i, from 1, has the OID objectsOID +
// "i.0".
const objectsOID = ".1.3.6.1.4.1.32473.1.1."

// maxRepetitions is the maximum number of objects in the answer to a GetBulk, for each of its variables.
const maxRepetitions = 64

// Scalar is one scalar object of the MIB.
type Scalar struct {
	Gauge bool         // a Gauge32; else a Counter64
	Read  func() int64 // returns the current value; called for each request
}

// Scalars returns the objects in the order of the MIB; the comments give their names there. lateAnswers returns the number of
// answers that came after their attempt was over, and openConns the number of connections to servers.
func Scalars(n *core.Counters, lateAnswers, openConns func() int64) []Scalar {
	return []Scalar{
		{Read: n.Requests.Load},              // rwRequests
		{Read: n.Served.Load},                // rwServed
		{Read: n.Rejected.Load},              // rwRefused
		{Read: n.Failed.Load},                // rwFailed
		{Read: n.Abandoned.Load},             // rwGone
		{Read: n.Attempts.Load},              // rwAttempts
		{Read: n.Timeouts.Load},              // rwTimeouts
		{Read: n.Skipped.Load},               // rwStale
		{Read: n.Notifications.Load},         // rwNotices
		{Read: n.InFlight.Load, Gauge: true}, // rwOpen
		{Read: lateAnswers},                  // rwLate
		{Read: openConns, Gauge: true},       // rwConnections
		{Read: invariant.Violations},         // rwInvariants
		{Read: n.NeverSent.Load},             // rwUnsent
		{Read: n.UnansweredConns.Load},       // rwUnanswered
		{Read: n.WrongTags.Load},             // rwMisnamed
	}
}

// Agent answers the requests of one community.
type Agent struct {
	community string
	scalars   []Scalar
}

// New returns an agent that serves the scalars to one community.
func New(community string, scalars []Scalar) *Agent { return &Agent{community, scalars} }

const (
	// maxDatagram is the largest UDP datagram, in bytes.
	maxDatagram = 64 << 10
	// readRetryDelay is the delay before reading again after an error.
	readRetryDelay = 10 * time.Millisecond
)

// Serve answers requests on a UDP socket until the socket is closed, and then returns nil. A datagram that can't be decoded, or
// that has another community, gets no answer.
func (a *Agent) Serve(socket net.PacketConn) error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := socket.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // an error of a single datagram, or out of memory
			time.Sleep(readRetryDelay)
			continue
		}
		if answer := a.answer(buf[:n]); answer != nil {
			_, _ = socket.WriteTo(answer, from)
		}
	}
}

// answer returns the encoded answer to a datagram; nil: no answer. A datagram on which gosnmp panics gets no answer, like one that
// can't be decoded.
func (a *Agent) answer(datagram []byte) (answer []byte) {
	defer func() {
		if recover() != nil {
			answer = nil
		}
	}()
	codec := gosnmp.GoSNMP{Version: gosnmp.Version2c, Logger: gosnmp.Logger{}}
	request, err := codec.SnmpDecodePacket(datagram)
	if err != nil || request.Version != gosnmp.Version2c || request.Community != a.community {
		return nil
	}
	response := a.response(request)
	if response == nil {
		return nil
	}
	if answer, err = response.MarshalMsg(); err != nil {
		return nil
	}
	return answer
}

// response returns the response to a request; nil: requests of its type get no answer.
func (a *Agent) response(request *gosnmp.SnmpPacket) *gosnmp.SnmpPacket {
	response := &gosnmp.SnmpPacket{
		Version:   request.Version,
		Community: request.Community,
		PDUType:   gosnmp.GetResponse,
		RequestID: request.RequestID,
		Logger:    gosnmp.Logger{},
	}
	switch request.PDUType {
	case gosnmp.GetRequest:
		for _, v := range request.Variables {
			response.Variables = append(response.Variables, a.get(v.Name))
		}
	case gosnmp.GetNextRequest:
		for _, v := range request.Variables {
			response.Variables = append(response.Variables, a.next(v.Name))
		}
	case gosnmp.GetBulkRequest:
		response.Variables = a.bulk(request)
	case gosnmp.SetRequest:
		response.Error, response.ErrorIndex, response.Variables = gosnmp.NotWritable, 1, request.Variables
	default:
		return nil
	}
	return response
}

// bulk returns the objects after each variable: one object for each of the first NonRepeaters variables, up to MaxRepetitions
// objects for each of the others.
func (a *Agent) bulk(request *gosnmp.SnmpPacket) (objects []gosnmp.SnmpPDU) {
	for i, v := range request.Variables {
		repetitions := 1
		if i >= int(request.NonRepeaters) {
			repetitions = min(int(request.MaxRepetitions), maxRepetitions)
		}
		for range repetitions {
			v = a.next(v.Name)
			objects = append(objects, v)
			if v.Type == gosnmp.EndOfMibView {
				break
			}
		}
	}
	return objects
}

// value reads the object at an index, which counts from 0.
func (a *Agent) value(index int) gosnmp.SnmpPDU {
	scalar := a.scalars[index]
	object := gosnmp.SnmpPDU{Name: fmt.Sprintf("%s%d.0", objectsOID, index+1)}
	if scalar.Gauge {
		object.Type, object.Value = gosnmp.Gauge32, uint32(scalar.Read())
	} else {
		object.Type, object.Value = gosnmp.Counter64, uint64(scalar.Read())
	}
	return object
}

// get returns the object with an OID, or one of type NoSuchObject.
func (a *Agent) get(oid string) gosnmp.SnmpPDU {
	if rest, ok := strings.CutPrefix(oid, objectsOID); ok {
		number, ok := strings.CutSuffix(rest, ".0")
		if i, err := strconv.Atoi(number); ok && err == nil && i >= 1 && i <= len(a.scalars) {
			return a.value(i - 1)
		}
	}
	return gosnmp.SnmpPDU{Name: oid, Type: gosnmp.NoSuchObject}
}

// next returns the first object after an OID, or one of type EndOfMibView.
func (a *Agent) next(oid string) gosnmp.SnmpPDU {
	for i := range a.scalars {
		if object := a.value(i); oidBefore(oid, object.Name) {
			return object
		}
	}
	return gosnmp.SnmpPDU{Name: oid, Type: gosnmp.EndOfMibView}
}

// oidBefore reports whether OID a comes before OID b. The first number that differs decides, else the shorter OID comes first.
func oidBefore(a, b string) bool {
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
