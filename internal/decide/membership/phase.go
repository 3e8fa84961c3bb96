package membership

// Phase is where a server stands in its life.
type Phase int

// The phases. A server that is joining is listed and gets nothing yet; one that drains gets nothing new; one that
// is gone is remembered for a while and then forgotten (None).
const (
	None Phase = iota
	Joining
	Ready
	Draining
	Gone
)

var phaseNames = [...]string{"none", "joining", "ready", "draining", "gone"}

// String names the phase as logs and the command line show it.
func (p Phase) String() string { return phaseNames[p] }

// legal are the steps that a life may take. None or Gone to Ready is a server that nothing holds back; Ready to Joining is a server that moves to an address which another one
// still holds; Joining to Gone one that was taken off the list before it was ever used.
var legal = [...][len(phaseNames)]bool{
	None:     {Joining: true, Ready: true, Draining: true, Gone: true},
	Joining:  {Ready: true, Draining: true, Gone: true},
	Ready:    {Joining: true, Draining: true, Gone: true},
	Draining: {Joining: true, Ready: true, Gone: true},
	Gone:     {None: true, Joining: true, Ready: true, Draining: true},
}

// ValidTransition tells whether a life may step from one phase to another.
func ValidTransition(from, to Phase) bool { return legal[from][to] }
