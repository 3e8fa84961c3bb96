package capacity

// Design is how control traffic reaches the processes.
type Design int

// The designs.
const (
	// DesignCurrent: every process is a non-voting raft member of the store, server lists are sent whole, and membership spans all
	// processes.
	DesignCurrent Design = iota
	// DesignDistribution: purges, revisions, lists and drains are sent through distributors (decide/distribution), the rest is as
	// in DesignCurrent.
	DesignDistribution
	// DesignProposed: DesignDistribution with the changes that the page proposes: a frame every 100 ms, purges that do not scan all
	// other purges, lists sent as changes within a region, and members and digests within a region.
	DesignProposed
)

var designNames = [...]string{"as it is", "distribution", "proposed"}

// String is the name of the design on the page.
func (d Design) String() string { return designNames[d] }

// Designs are all designs.
var Designs = []Design{DesignCurrent, DesignDistribution, DesignProposed}

// Load is the rate of changes and of process starts in the whole fleet.
type Load struct {
	PurgesPerS, RevisionsPerS, ListChangesPerS, StartsPerS float64
}

// OrdinaryLoad is the load of an ordinary day. Each machine that fails or is replaced leaves and joins, which changes a server list
// twice if it is a cache. The other changes of the day count as revisions.
func (t Target) OrdinaryLoad() Load {
	changed, machines := t.FailuresPerDay+t.ReplacementsPerDay, t.Proxies+t.Caches+t.ControlMachines
	listChanges := 2 * changed * t.Caches / machines / secondsPerDay
	return Load{
		PurgesPerS:      t.PurgesPerS,
		ListChangesPerS: listChanges,
		RevisionsPerS:   t.ConfigPerDay/secondsPerDay - listChanges,
		StartsPerS:      changed * t.Proxies / machines / secondsPerDay,
	}
}

// CostItem is the cost of one task of a role.
type CostItem struct {
	Name            string
	StateBytes      Figure // size of the encoded state
	MessagesInPerS  Figure
	MessagesOutPerS Figure
	BytesInPerS     Figure
	BytesOutPerS    Figure
	CPUMicrosPerS   Figure
	MemoryBytes     Figure
}

// BytesPerS is the traffic in both directions together.
func (c CostItem) BytesPerS() Figure { return c.BytesInPerS.Plus(c.BytesOutPerS) }

// Cost is the cost of a role, by task.
type Cost []CostItem

// Total is the sum of the items.
func (c Cost) Total() CostItem {
	total := CostItem{Name: "total"}
	for _, item := range c {
		total.StateBytes = total.StateBytes.Plus(item.StateBytes)
		total.MessagesInPerS = total.MessagesInPerS.Plus(item.MessagesInPerS)
		total.MessagesOutPerS = total.MessagesOutPerS.Plus(item.MessagesOutPerS)
		total.BytesInPerS = total.BytesInPerS.Plus(item.BytesInPerS)
		total.BytesOutPerS = total.BytesOutPerS.Plus(item.BytesOutPerS)
		total.CPUMicrosPerS = total.CPUMicrosPerS.Plus(item.CPUMicrosPerS)
		total.MemoryBytes = total.MemoryBytes.Plus(item.MemoryBytes)
	}
	return total
}
