package membership

// Phase is a stage of a server's life cycle. Its values are stored: they keep their numbers.
type Phase int

// The phases of a server.
const (
	None     Phase = iota // unknown, or forgotten
	Joining               // listed, but it gets no requests yet: another server holds its address
	Ready                 // in use
	Draining              // gets no new requests
	Gone                  // removed, and remembered for a while
)

var phaseNames = [...]string{"none", "joining", "ready", "draining", "gone"}

// String returns the name of the phase as logs and the command line show it.
func (p Phase) String() string { return phaseNames[p] }

// transitions holds the valid ones. A server becomes ready without joining if no other server holds its address, and
// goes from ready to joining if it moves to an address that another one holds. One that is unlisted before it was used
// goes from joining to gone.
var transitions = [...][len(phaseNames)]bool{
	None:     {Joining: true, Ready: true, Draining: true, Gone: true},
	Joining:  {Ready: true, Draining: true, Gone: true},
	Ready:    {Joining: true, Draining: true, Gone: true},
	Draining: {Joining: true, Ready: true, Gone: true},
	Gone:     {None: true, Joining: true, Ready: true, Draining: true},
}

// ValidTransition reports whether a server may go from one phase to another.
func ValidTransition(from, to Phase) bool { return transitions[from][to] }
