package signed

import (
	"net/http"
	"sync"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/reasons"
)

const (
	// maxPieceBytes bounds a single write: a client that reads slowly shows that it reads once a piece is written.
	maxPieceBytes = 64 << 10
	// writeTimeout is how long a client may leave a piece of an answer unread before its connection is closed.
	writeTimeout = 10 * time.Second
	// stalledWriteMs is how long a client may read nothing, in ms, before its connection may be closed for lack of memory.
	stalledWriteMs = 500
)

// objectWrites are the answers with an object that are being written.
type objectWrites struct {
	clock  *clock.Clock
	closes *reasons.Counters[CloseReason]

	mu     sync.Mutex
	writes map[*objectWrite]struct{}
}

// objectWrite is one answer. Its fields but conn and bytes are guarded by the lock of objectWrites.
type objectWrite struct {
	conn  *clientConn
	bytes int64
	since float64 // when the write of the present piece began, in ms of the clock
}

// write writes an object in pieces. An error of writing ends the connection, which the HTTP server finds by itself.
func (o *objectWrites) write(w http.ResponseWriter, conn *clientConn, object []byte) {
	current := &objectWrite{conn: conn, bytes: int64(len(object))}
	defer o.remove(current)
	for len(object) > 0 {
		piece := object[:min(len(object), maxPieceBytes)]
		o.begin(current)
		extendWriteDeadline(w)
		if _, err := w.Write(piece); err != nil {
			return
		}
		object = object[len(piece):]
	}
}

func (o *objectWrites) begin(current *objectWrite) {
	o.mu.Lock()
	defer o.mu.Unlock()
	current.since = o.clock.Now()
	o.writes[current] = struct{}{}
}

func (o *objectWrites) remove(current *objectWrite) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.writes, current)
}

// costliest returns the size of the largest object whose client reads nothing, and a function that closes its connection; 0: there
// is none.
func (o *objectWrites) costliest() (bytes int64, closeConn func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	for write := range o.writes {
		if write.conn != nil && now-write.since >= stalledWriteMs && write.bytes > bytes {
			bytes, closeConn = write.bytes, func() { o.closeStalled(write) }
		}
	}
	return bytes, closeConn
}

// closeStalled closes the connection of an answer that is still being written.
func (o *objectWrites) closeStalled(write *objectWrite) {
	o.mu.Lock()
	_, writing := o.writes[write]
	o.mu.Unlock()
	if writing {
		o.closes.Add(ClosedForMemory)
		_ = write.conn.conn.Close()
		o.remove(write)
	}
}

// extendWriteDeadline gives the client writeTimeout from now on to read what is written. A response that has no deadlines, as in
// tests, is left as it is.
func extendWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// CostliestStalledClient is a memory.StalledClient.
func (f *Front) CostliestStalledClient() (bytes int64, closeConn func()) { return f.writes.costliest() }

// writeObject writes an answer with an object.
func (f *Front) writeObject(w http.ResponseWriter, conn *clientConn, a core.Answer) {
	setObjectHeader(w.Header(), a)
	f.writes.write(w, conn, a.Body)
}
