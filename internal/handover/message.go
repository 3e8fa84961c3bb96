package handover

import (
	"encoding/json"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// messageKind is the kind of a message.
type messageKind string

const (
	kindHello           messageKind = "hello"   // successor to owner: asks to take over, with its protocol version
	kindState           messageKind = "state"   // owner to successor: the generation, drains and restored servers
	kindRejected        messageKind = "turn"    // owner to successor: no successor is accepted
	kindTransferRequest messageKind = "take"    // successor to owner: it is prepared to own the address
	kindGrant           messageKind = "given"   // owner to successor: with the listener and the lock as descriptors
	kindRevoked         messageKind = "revoked" // owner to successor: the listener and the lock are taken back
	kindServing         messageKind = "serves"  // successor to owner: it owns the address and serves
	kindDrain           messageKind = "out"     // either way: an operator's drain of a server, or its end
)

// message is a message between two processes. Its kind determines which of the other fields are used.
type message struct {
	Kind            messageKind        `json:"kind"`
	ProtocolVersion int                `json:"revision,omitempty"`
	Generation      uint64             `json:"generation,omitempty"`
	Drained         []string           `json:"out,omitempty"`   // servers that operators drain
	Restored        map[string]float64 `json:"back,omitempty"`  // as ownerRecord.Restored
	Epoch           float64            `json:"epoch,omitempty"` // of the clock that gave the times in Restored
	ID              string             `json:"id,omitempty"`    // of kindDrain: the server
	Active          bool               `json:"on,omitempty"`    // of kindDrain: the drain has started; false: it has ended
	Busy            bool               `json:"busy,omitempty"`  // of kindRejected: the owner may accept a successor later
}

const (
	maxMessageSize = 64 << 10 // bytes
	maxDescriptors = 4        // in a message
	descriptorSize = 4        // bytes of a descriptor in a message's control data
	writeTimeout   = time.Second
)

// errMalformedMessage means that a message was truncated or is not JSON.
var errMalformedMessage = errors.New("malformed message")

// sendOrClose sends a message, and closes the connection if that fails. The goroutine that reads the connection handles the loss.
func sendOrClose(conn *net.UnixConn, m message, descriptors ...int) {
	if conn != nil && send(conn, m, descriptors) != nil {
		conn.Close()
	}
}

// send sends a message as one packet, with descriptors.
func send(conn *net.UnixConn, m message, descriptors []int) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	var rights []byte
	if len(descriptors) > 0 {
		rights = unix.UnixRights(descriptors...)
	}
	_, _, err = conn.WriteMsgUnix(text, rights, nil)
	return err
}

// receive reads a message. The caller must close the descriptors that came with it, or use them.
func receive(conn *net.UnixConn) (m message, descriptors []int, err error) {
	text, rights := make([]byte, maxMessageSize), make([]byte, unix.CmsgSpace(maxDescriptors*descriptorSize))
	n, rightsSize, flags, _, err := conn.ReadMsgUnix(text, rights)
	if err == nil && n == 0 {
		err = net.ErrClosed
	}
	if err != nil {
		return m, nil, err
	}
	descriptors = parseDescriptors(rights[:rightsSize])
	if flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 || json.Unmarshal(text[:n], &m) != nil {
		closeDescriptors(descriptors)
		return m, nil, errMalformedMessage
	}
	return m, descriptors, nil
}

// parseDescriptors returns the descriptors in a packet's control data, set to be closed on exec.
func parseDescriptors(rights []byte) (descriptors []int) {
	controls, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return nil
	}
	for _, control := range controls {
		if parsed, err := unix.ParseUnixRights(&control); err == nil {
			descriptors = append(descriptors, parsed...)
		}
	}
	for _, descriptor := range descriptors {
		unix.CloseOnExec(descriptor)
	}
	return descriptors
}

func closeDescriptors(descriptors []int) {
	for _, descriptor := range descriptors {
		_ = unix.Close(descriptor)
	}
}
