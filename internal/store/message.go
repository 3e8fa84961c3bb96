package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// A connection between members begins with one byte, its kind.
const (
	connRaft  = 'R' // a stream of raft
	connCalls = 'C' // calls: a request and its reply as frames, one call after the other
	connLink  = 'D' // a Link: frames in both directions; a LinkListener accepts only these
)

// Operation is the operation that a call requests from a member.
type Operation string

// The operations for operators. Only the leader carries out those other than OpStatus.
const (
	OpStatus   Operation = "status"   // return the status of the called member
	OpJoin     Operation = "join"     // add the calling member, whose certificate must have the name
	OpRemove   Operation = "remove"   // remove a member
	OpTransfer Operation = "transfer" // transfer leadership, to a named member or to any
)

// The operations that members request from the leader.
const (
	opApply Operation = "apply" // commit a change
	opIndex Operation = "index" // return the index up to which a member must have applied the log for a linearizable read
)

// request is a call.
type request struct {
	Operation Operation `cbor:"1,keyasint"`
	Change    []byte    `cbor:"2,keyasint,omitempty"` // of opApply: an encoded storestate.Change
	Name      string    `cbor:"3,keyasint,omitempty"` // of the member that the operation is about
	Addr      string    `cbor:"4,keyasint,omitempty"` // of that member
}

// reply is the answer to a call.
type reply struct {
	Result     []byte  `cbor:"1,keyasint,omitempty"` // of a change: a storestate.Result in CBOR, without format version
	Index      uint64  `cbor:"2,keyasint,omitempty"` // of opIndex
	Err        string  `cbor:"3,keyasint,omitempty"` // empty: the operation succeeded
	MayHaveRun bool    `cbor:"4,keyasint,omitempty"` // with Err: the operation may have had an effect
	Leader     string  `cbor:"5,keyasint,omitempty"` // with Err: address of the leader, to which the call may be sent instead
	Status     *Status `cbor:"6,keyasint,omitempty"` // of OpStatus
}

// errTextNotLeader is reply.Err of a member that is not the leader, for an operation of the leader. The operation had no effect.
const errTextNotLeader = "not the leader"

// maxCallSize is the largest request or reply, in bytes.
const maxCallSize = 32 << 20

// A frame is a length of 4 bytes, big-endian, and that many bytes of content.
const frameHeaderSize = 4

// ErrFrameTooLarge means that a frame's header declares more bytes than the receiver accepts.
var ErrFrameTooLarge = errors.New("store: frame too large")

// messageDecodeMode limits the array sizes and the nesting that a message may declare.
var messageDecodeMode, _ = cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 8}.DecMode()

func writeMessage(w io.Writer, message any) error {
	b, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	return writeFrame(w, b)
}

func readMessage(r io.Reader, message any) error {
	size, err := readFrameSize(r, maxCallSize)
	if err != nil {
		return err
	}
	return readMessageOf(r, size, message)
}

// readMessageOf reads a message whose size is read already.
func readMessageOf(r io.Reader, size int, message any) error {
	b, err := readContent(r, size)
	if err != nil {
		return err
	}
	return messageDecodeMode.Unmarshal(b, message)
}

func writeFrame(w io.Writer, b []byte) error {
	_, err := w.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, frameHeaderSize+len(b)), uint32(len(b))), b...))
	return err
}

func readFrame(r io.Reader, maxSize int) ([]byte, error) {
	size, err := readFrameSize(r, maxSize)
	if err != nil {
		return nil, err
	}
	return readContent(r, size)
}

// readFrameSize reads the header of a frame, and returns the size of its content.
func readFrameSize(r io.Reader, maxSize int) (size int, err error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	declared := binary.BigEndian.Uint32(header[:])
	if int64(declared) > int64(maxSize) {
		return 0, fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, declared)
	}
	return int(declared), nil
}

// readContent reads the content of a frame. The buffer grows as bytes arrive, so that a declared size alone allocates nothing.
func readContent(r io.Reader, size int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil || len(b) < size {
		return nil, errors.Join(err, io.ErrUnexpectedEOF)
	}
	return b, nil
}
