package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	decider "ravenwheel/internal/decide/handover"
	"ravenwheel/internal/decide/serverlist"
)

const (
	// network is a kind of Unix socket that keeps message boundaries: each message is one packet.
	network = "unixpacket"
	// maxSuccessors is how many processes can be connected to the owner at once.
	maxSuccessors = 4
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 10 * time.Millisecond
	// maxSocketPath is the length of a path, in bytes, that certainly fits into a socket's address.
	maxSocketPath = 100
)

// socketAddr returns the socket address of a path. For a path that is too long, the address goes through a descriptor of the path's
// directory in /proc, which done closes.
func socketAddr(path string) (addr *net.UnixAddr, done func(), err error) {
	if len(path) <= maxSocketPath {
		return &net.UnixAddr{Net: network, Name: path}, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil, nil, err
	}
	name := fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	return &net.UnixAddr{Net: network, Name: name}, func() { dir.Close() }, nil
}

// openSocket opens the socket at which a successor reaches this process. It replaces the previous owner's socket. The caller holds
// mu.
func (c *Coordinator) openSocket() error {
	partial := fmt.Sprintf("%s.%d", c.basePath, os.Getpid())
	_ = os.Remove(partial)
	addr, done, err := socketAddr(partial)
	if err != nil {
		return err
	}
	defer done()
	socket, err := net.ListenUnix(network, addr)
	if err != nil {
		return err
	}
	socket.SetUnlinkOnClose(false)
	if err = os.Chmod(partial, 0o600); err == nil {
		err = os.Rename(partial, c.basePath+socketExtension)
	}
	if err != nil {
		socket.Close()
		return err
	}
	if c.socket != nil {
		c.socket.Close()
	}
	c.socket = socket
	go c.acceptSuccessors(socket)
	return nil
}

// acceptSuccessors accepts connections until the socket is closed.
func (c *Coordinator) acceptSuccessors(socket *net.UnixListener) {
	for {
		conn, err := socket.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // may be temporary, for example no free descriptors
			time.Sleep(acceptRetryDelay)
			continue
		}
		c.mu.Lock()
		if len(c.successors) >= maxSuccessors || !isSameUser(conn) {
			c.mu.Unlock()
			conn.Close()
			continue
		}
		c.lastSuccessor++
		number := c.lastSuccessor
		c.successors[number] = conn
		c.mu.Unlock()
		go c.readSuccessor(number, conn)
	}
}

// isSameUser reports whether the process at the other end of a connection runs as the same user as this one.
func isSameUser(conn *net.UnixConn) (same bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		cred, credErr := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
		same = credErr == nil && int(cred.Uid) == os.Getuid()
	})
	return same && err == nil
}

// dropSuccessor closes a successor's connection and removes it from successors. The caller holds mu.
func (c *Coordinator) dropSuccessor(number int) {
	if conn := c.successors[number]; conn != nil {
		conn.Close()
		delete(c.successors, number)
	}
}

// readSuccessor handles a successor's messages until its connection ends.
func (c *Coordinator) readSuccessor(number int, conn *net.UnixConn) {
	for {
		m, _, err := receive(conn)
		if err != nil {
			break
		}
		switch m.Kind {
		case kindHello:
			c.handle(decider.SuccessorHello{From: number, ProtocolVersion: m.ProtocolVersion})
		case kindTransferRequest:
			c.handle(decider.TransferRequested{From: number})
		case kindServing:
			c.handle(decider.SuccessorServing{From: number})
		case kindDrain:
			c.receiveDrain(m)
		}
	}
	c.mu.Lock()
	c.dropSuccessor(number)
	c.mu.Unlock()
	c.handle(decider.SuccessorLost{From: number})
}

// receiveDrain applies a manual drain that was set through the other process.
func (c *Coordinator) receiveDrain(m message) {
	id, ok := serverlist.ParseID(m.ID)
	if !ok {
		return
	}
	c.drainMu.Lock()
	defer c.drainMu.Unlock()
	if err := c.record.setDrained(id, m.Active, c.opt.Clock.Now()); errors.Is(err, errFenced) {
		c.record.setDrainedInMemory(id, m.Active)
	}
	if c.onDrain != nil {
		c.onDrain(id, m.Active)
	}
}

// connectToOwner connects to the owner and sends a hello. It reports whether an owner was reached. The caller holds mu.
func (c *Coordinator) connectToOwner() bool {
	addr, done, err := socketAddr(c.basePath + socketExtension)
	if err != nil {
		return false
	}
	defer done()
	conn, err := net.DialUnix(network, nil, addr)
	if err != nil {
		return false
	}
	if !isSameUser(conn) || send(conn, message{Kind: kindHello, ProtocolVersion: decider.ProtocolVersion}, nil) != nil {
		conn.Close()
		return false
	}
	if c.owner != nil {
		c.owner.Close()
	}
	c.owner = conn
	go c.readOwner(conn)
	return true
}

// readOwner handles the owner's messages until the connection ends or is replaced by another one.
func (c *Coordinator) readOwner(conn *net.UnixConn) {
	for {
		m, descriptors, err := receive(conn)
		c.mu.Lock()
		current := c.owner == conn
		c.mu.Unlock()
		if err != nil || !current {
			closeDescriptors(descriptors)
			conn.Close()
			if current {
				c.handle(decider.OwnerLost{})
			}
			return
		}
		c.handleOwnerMessage(m, descriptors)
	}
}

// handleOwnerMessage handles a message of the owner, and closes the message's descriptors unless they are used.
func (c *Coordinator) handleOwnerMessage(m message, descriptors []int) {
	switch m.Kind {
	case kindState:
		descriptors = c.adoptShared(descriptors)
		c.receiveState(m)
	case kindRejected:
		c.handle(decider.Rejected{Busy: m.Busy})
	case kindGrant:
		if c.acceptGrant(descriptors) {
			descriptors = nil
			c.handle(decider.GrantReceived{})
		}
	case kindRevoked:
		c.handle(decider.GrantRevoked{})
	case kindDrain:
		c.receiveDrain(m)
	}
	closeDescriptors(descriptors)
}

// malformedStateVersion replaces the protocol version of a malformed state. No process has this version, so that the machine treats
// the owner like one that does not respond.
const malformedStateVersion = -1

// receiveState handles the state that the owner has sent.
func (c *Coordinator) receiveState(m message) {
	received := ownerRecord{Drained: m.Drained, Restored: m.Restored, Epoch: m.Epoch}
	if err := received.validate(); err != nil {
		c.opt.Log.Warn("handover").Err(err).Msg("owner sent a malformed state; treating the owner as one that does not respond")
		m.ProtocolVersion = malformedStateVersion
	} else {
		c.record.replaceInMemory(received)
	}
	c.handle(decider.StateReceived{ProtocolVersion: m.ProtocolVersion, Generation: m.Generation})
}
