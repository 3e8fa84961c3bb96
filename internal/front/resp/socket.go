package resp

import "ravenwheel/internal/tcpinfo"

// hasUnreadBytes reports whether the socket has received bytes that were not read yet.
func (c *conn) hasUnreadBytes() bool { return tcpinfo.HasUnread(c.Conn) }

// peerClosed reports whether the client has closed the connection, even if bytes that it sent before are not read yet. No attempt
// is started for a client that has closed its connection.
func (c *conn) peerClosed() bool { return tcpinfo.IsPeerClosed(c.Conn) }
