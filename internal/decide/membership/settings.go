package membership

// Source is one who tells of servers.
type Source struct {
	Name string
	// Immediate: its word is passed on as it comes. What it drops is gone at once, weights change at once, a new
	// server is as warm as it says. The notice board is told of what runs; a list by hand says what is wanted.
	Immediate bool
	// SilentAfter: with nothing heard for so many ms the source counts as silent; 0: never.
	SilentAfter float64
}

// Settings are the ledger's figures. Times are in ms.
type Settings struct {
	// Sources in the order of their precedence: the first that lists a server says what it is.
	Sources []Source
	// DrainTimeout: a server that a list no longer names drains for so long before it is gone. Longer spares what
	// still runs there, shorter frees its address sooner.
	DrainTimeout float64
	// GoneRetention: how long one that is gone is remembered.
	GoneRetention float64
	// WeightStep is the largest factor by which a weight changes at once, every WeightInterval; 1 or less: at once.
	// A weight that jumps moves as many objects to caches that do not hold them.
	WeightStep, WeightInterval float64
}
