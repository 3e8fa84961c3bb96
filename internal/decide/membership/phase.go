package membership

// Phase is a stage of a server's life cycle. Its values are stored: they keep their numbers.
type Phase int

// The phases of a server.
const (
	None     Phase = iota // not in the table
	Joining               // listed, but gets no requests yet: its address is reserved for another server
	Ready                 // in use
	Draining              // gets no new requests
	Gone                  // removed; deleted from the table after Settings.GoneRetention
)

var phaseNames = [...]string{"none", "joining", "ready", "draining", "gone"}

// String returns the name of the phase as logs and the command line show it.
func (p Phase) String() string { return phaseNames[p] }

// transitions holds the valid transitions, by the phases before and after. A server becomes ready without joining if its
// address is not reserved for another server, and goes from ready to joining if it moves to an address that is. A server
// that is unlisted before it was used goes from joining to gone.
var transitions = [...][len(phaseNames)]bool{
	None:     {Joining: true, Ready: true, Draining: true, Gone: true},
	Joining:  {Ready: true, Draining: true, Gone: true},
	Ready:    {Joining: true, Draining: true, Gone: true},
	Draining: {Joining: true, Ready: true, Gone: true},
	Gone:     {None: true, Joining: true, Ready: true, Draining: true},
}

// ValidTransition reports whether a server may go from one phase to another.
func ValidTransition(from, to Phase) bool { return transitions[from][to] }
