package distribution

// Stream identifies a stream. Each stream has its own epochs and sequences.
type Stream uint8

// The streams. The numbers are on the wire: new ones are appended.
const (
	Purges        Stream = iota + 1 // of objects and groups
	Configuration                   // revisions, lists of sources, drains
)

// Position is a position in a stream. An epoch is one history of the store: its number rises only when the store begins another
// history, as when it is set up again with an empty log, and the sequence then starts again. The sequence is the index in the store's
// log, which is the same at all its members. As both streams come from one log, the sequences of each have gaps.
type Position struct{ Epoch, Sequence uint64 }

// Before reports whether p is earlier than q.
func (p Position) Before(q Position) bool {
	return p.Epoch < q.Epoch || p.Epoch == q.Epoch && p.Sequence < q.Sequence
}

// Watermark states that a process with all entries up to Sequence lacks no entry that was committed before At. At is Unix ms by the
// clock of the store's member that commits, rounded down.
type Watermark struct {
	Sequence uint64
	At       int64
}

// joinWatermarks combines two valid watermarks: a process with all entries up to the later sequence lacks no entry that was committed
// before the later time.
func joinWatermarks(a, b Watermark) Watermark {
	return Watermark{Sequence: max(a.Sequence, b.Sequence), At: max(a.At, b.At)}
}

// Kind is the kind of an entry.
type Kind uint8

// The kinds. The numbers are on the wire: new ones are appended.
const (
	PurgeObject Kind = iota + 1
	PurgeGroup
	Revision // of the configuration
	List     // of a source
	Drain    // of a server
	DrainEnded
)

// Entry is one committed change, as a stream carries it.
type Entry struct {
	Sequence uint64
	Kind     Kind
	// Name is that of the purged object, the scope of a revision (empty: all scopes), the source of a list, or the drained server.
	Name string
	// Group is the group that a group purge names, or the group of a purged object if GroupKnown is set.
	Group      int64
	GroupKnown bool
	// EffectiveAt is the time of a purge, Unix ms rounded up: copies made before it are void. For a drain it is the time when the drain
	// began.
	EffectiveAt int64
	// ExpiresAt is the time, Unix ms rounded up, from which a purge can no longer void any copy; 0: never.
	ExpiresAt int64
	Version   uint64 // number of a revision, or generation of a list
	Body      []byte // content of a revision or a list, as the store has it; never changed
}

// Peer is a process in the tree of distributors. Its rank is higher than that of every distributor that it may subscribe to; the members
// of the store have rank 0.
type Peer struct {
	Name               string
	Rank               int
	Region, Zone, Site string
}
