package resp

// The limits of one connection, in requests and bytes.
const (
	// maxOpenPerConn is the number of requests that may be open on one connection, as the platform's protocol sets it.
	maxOpenPerConn = 32
	// startTurn is how many requests of one connection are started before other connections take their turn.
	startTurn = 4
	// maxObjectBytes is the size of the largest object.
	maxObjectBytes = 240_000
	// maxAnswerOverhead bounds the bytes of an answer other than its object.
	maxAnswerOverhead = 1024
	// maxOutBytes bounds the answers that wait for a slow reader: one of the largest size for each request that may be open.
	maxOutBytes = maxOpenPerConn * (maxObjectBytes + maxAnswerOverhead)
)

// socketBufferBytes is how much of what a client sends a socket holds at least: the close behind less than that arrives with it.
const socketBufferBytes = 64 << 10

// The times of one connection, in ms.
const (
	// firstFrameTimeout is how long a new connection may take to send its first byte.
	firstFrameTimeout = 1500
	// partialFrameTimeout is how long a client may pause between two bytes of a frame. Some clients write one request over 2 s, and
	// a connection with half a frame must be closed within 3 s.
	partialFrameTimeout = 2400
	// writeTimeout is how long a client may leave what was written unread before it is disconnected. The sweep checks it, so the
	// client may stay up to sweepInterval longer.
	writeTimeout = 10_000
	// lingerTimeout is how long a client may take to close its side of a connection after ours is closed.
	lingerTimeout = 1000
	// newConnGrace is how long a silent new connection is not closed, because its first request may be on the way.
	newConnGrace = 100
	// maxStartDelay bounds how long requests that were read wait to be started while more input arrives. A client that keeps to the
	// protocol pauses once maxOpenPerConn requests are open.
	maxStartDelay = 250
	// restTimeout is how long requests wait for the rest of the frame behind them, counted from the last bytes that arrived.
	restTimeout = 50
	// stalledWriteTime is how long the client with the most unread answers may read nothing when there is no memory left.
	stalledWriteTime = 500
)

// The times of the front, in ms.
const (
	// sweepInterval is how often connections are checked for timeouts.
	sweepInterval = 250
	// drainInterval is how often connections are checked for being idle while the proxy drains.
	drainInterval = 10
	// acceptRetryDelay is the delay before accepting again after an error, and between two attempts to admit a connection.
	acceptRetryDelay = 10
	// admitTimeout is how long an accepted connection waits for a free slot. Later connections wait in the listener's queue
	// meanwhile. During a burst of connections a longer timeout therefore lets more clients be answered, but all of them later.
	admitTimeout = 500
)

// lingeringDivisor sets the number of slots that lingering connections have beyond the front's limit of connections: that limit
// divided by lingeringDivisor.
const lingeringDivisor = 8

// maxBulkReaders is how many connections that send more than a chunk at a time are read at once; the others wait for their turn.
const maxBulkReaders = 2
