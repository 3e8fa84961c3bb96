package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	decide "ravenwheel/internal/decide/handover"
	"ravenwheel/internal/decide/serverlist"
)

// addr is a path as a socket's address takes it. Guards against a directory whose name is too long for one.
func addr(path string) (_ string, done func(), err error) {
	const most = 100
	if len(path) <= most {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { dir.Close() }, nil
}

// publish opens the socket at which a successor finds this process, in place of whoever was met there before.
func (h *Hand) publish() error {
	part, path := fmt.Sprintf("%s.%d", h.base, os.Getpid()), h.base+".sock"
	_ = os.Remove(part)
	name, done, err := addr(part)
	if err != nil {
		return err
	}
	defer done()
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Net: "unixpacket", Name: name})
	if err != nil {
		return err
	}
	ln.SetUnlinkOnClose(false)
	if err = os.Chmod(part, 0o600); err == nil {
		err = os.Rename(part, path)
	}
	if err != nil {
		ln.Close()
		return err
	}
	if h.meet != nil {
		h.meet.Close()
	}
	h.meet = ln
	go h.welcome(ln)
	return nil
}

// acceptPause: after an accept that failed the next one waits so long.
const acceptPause = 10 * time.Millisecond

// welcome takes in those that would follow.
func (h *Hand) welcome(ln *net.UnixListener) {
	for {
		nc, err := ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, say: others are about to be given back
			time.Sleep(acceptPause)
			continue
		}
		h.mu.Lock()
		if len(h.peers) >= mostFollow || !sameUser(nc) {
			h.mu.Unlock()
			nc.Close()
			continue
		}
		h.last++
		n := h.last
		h.peers[n] = nc
		h.mu.Unlock()
		go h.hearFollower(n, nc)
	}
}

func sameUser(nc *net.UnixConn) (same bool) {
	raw, err := nc.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		cred, cerr := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
		same = cerr == nil && int(cred.Uid) == os.Getuid()
	})
	return same && err == nil
}

func (h *Hand) drop(n int) {
	if p := h.peers[n]; p != nil {
		p.Close()
		delete(h.peers, n)
	}
}

func (h *Hand) hearFollower(n int, nc *net.UnixConn) {
	for {
		m, _, err := receive(nc)
		if err != nil {
			break
		}
		switch m.Kind {
		case "hello":
			h.tell(decide.Hello{From: n, Revision: m.Revision})
		case "take":
			h.tell(decide.Take{From: n})
		case "serves":
			h.tell(decide.Serves{From: n})
		case "out":
			h.heard(m)
		}
	}
	h.mu.Lock()
	h.drop(n)
	h.mu.Unlock()
	h.tell(decide.Left{From: n})
}

// heard takes in what an operator told the other process.
func (h *Hand) heard(m message) {
	id, ok := serverlist.ParseID(m.ID)
	if !ok {
		return
	}
	h.orders.Lock()
	defer h.orders.Unlock()
	if err := h.record.put(id, m.On, h.opt.Clock.Now()); errors.Is(err, errFenced) {
		h.record.note(id, m.On)
	}
	if h.out != nil {
		h.out(id, m.On)
	}
}

// seek connects to the owner and says hello.
func (h *Hand) seek() bool {
	name, done, err := addr(h.base + ".sock")
	if err != nil {
		return false
	}
	defer done()
	nc, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Net: "unixpacket", Name: name})
	if err != nil {
		return false
	}
	if !sameUser(nc) || send(nc, message{Kind: "hello", Revision: decide.Revision}, nil) != nil {
		nc.Close()
		return false
	}
	if h.owner != nil {
		h.owner.Close()
	}
	h.owner = nc
	go h.hearOwner(nc)
	return true
}

func (h *Hand) hearOwner(nc *net.UnixConn) {
	for {
		m, fds, err := receive(nc)
		h.mu.Lock()
		current := h.owner == nc
		h.mu.Unlock()
		if err != nil || !current {
			shut(fds)
			nc.Close()
			if current {
				h.tell(decide.OwnerLost{})
			}
			return
		}
		switch m.Kind {
		case "state":
			told := kept{Out: m.Out, Back: m.Back, Epoch: m.Epoch}
			err := told.check()
			if err != nil {
				h.opt.Log.Warn("handover").Err(err).Msg("what the owner tells can't be used")
				m.Revision = -1
			}
			if err == nil {
				h.record.replace(told)
			}
			h.tell(decide.Told{Revision: m.Revision, Generation: m.Generation})
		case "turn":
			h.tell(decide.Turned{Busy: m.Busy})
		case "given":
			if h.given(fds) {
				fds = nil
				h.tell(decide.Given{})
			}
		case "revoked":
			h.tell(decide.Revoked{})
		case "out":
			h.heard(m)
		}
		shut(fds)
	}
}
