package resp

// The bounds of one connection, in requests and bytes.
const (
	// maxOpenPerConn is the number of requests that may be open on one connection (the platform's protocol).
	maxOpenPerConn = 32
	// maxObjectBytes is the size of the largest object.
	maxObjectBytes = 240_000
	// maxAnswerOverhead bounds what an answer has beside its object.
	maxAnswerOverhead = 1024
	// maxOutBytes bounds the answers that wait for a slow reader: one of the largest objects for each open request.
	maxOutBytes = maxOpenPerConn * (maxObjectBytes + maxAnswerOverhead)
	// maxIdleOutBytes and maxIdleInBytes are the capacities of empty buffers that are kept: larger ones are freed.
	maxIdleOutBytes = 256 << 10
	maxIdleInBytes  = 8 << 10
)

// The times of one connection, in ms.
const (
	// firstFrameTimeout is how long a new connection may take to send its first byte.
	firstFrameTimeout = 1500
	// partialFrameTimeout is how long a frame may rest between two of its bytes. Some clients write one request over 2 s, and a
	// connection with half a frame must be closed within 3 s.
	partialFrameTimeout = 2400
	// writeTimeout: a client that has not read what was written so long ago is disconnected. The sweep finds it, so at most
	// sweepInterval later.
	writeTimeout = 10_000
	// lingerTimeout is how long a client has to close a connection of which our side is closed.
	lingerTimeout = 1000
	// newConnGrace: a connection that has been silent for less may be about to send its first request, and is not closed.
	newConnGrace = 100
	// maxStartDelay bounds how long requests that were read wait to be started while more arrive.
	maxStartDelay = 5
)

// The times of the front, in ms.
const (
	// sweepInterval is how often connections are checked for timeouts.
	sweepInterval = 250
	// drainInterval is how often connections are checked for rest while the proxy drains.
	drainInterval = 10
	// acceptRetryDelay is the delay before accepting again after an error, and between two attempts to admit a connection.
	acceptRetryDelay = 10
	// admitTimeout is how long an accepted connection waits for a free slot. Those behind it wait in the listener's queue, so a
	// longer one answers more clients in a crowd, and all of them later.
	admitTimeout = 500
)

// lingeringDivisor: beyond the front's limit of connections, one in so many of that number may be held by lingering ones.
const lingeringDivisor = 8
