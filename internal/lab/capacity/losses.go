package capacity

// Loss is what remains of the control machines after some are lost.
type Loss struct {
	Name                  string
	VotersLeft            int
	VotersNeeded          int // for a quorum
	DistributorsLeft      float64
	ProxiesPerDistributor Figure // mean of those that are left
	Unserved              string // processes without a distributor in their region
	Commits               string // whether the store commits
	Delivers              string // where changes are delivered
	MayBeLostNext         string
}

// Losses are those of machines, zones and regions. Voters stand in five regions and no two control machines in one zone. Each region
// has a distributor; the other five stand in a second zone of the five largest regions.
func (f Fleet) Losses() []Loss {
	all := f.Distributors()
	const (
		oneRegion = "one region's 531, in 27 of 32 regions"
		oneVoter  = "one voter more"
	)
	losses := []Loss{
		{"none", voters, 0, all, Figure{}, "none", "yes", "everywhere", "two voters may go; any distributor"},
		{"a distributor's machine", voters, 0, all - 1, Figure{}, oneRegion, "yes", "everywhere, after the move", "the same"},
		{"a voter's machine", voters - 1, 0, all, Figure{}, "none", "yes", "everywhere", oneVoter},
		{"the leader's machine", voters - 1, 0, all, Figure{}, "none", "after an election", "everywhere", oneVoter},
		{"a rack or a zone with a distributor", voters, 0, all - 1, Figure{}, oneRegion, "yes", "everywhere, after the move", "the same"},
		{"a zone with a voter", voters - 1, 0, all, Figure{}, "none", "yes, after an election where it led", "everywhere", oneVoter},
		{"a region with a voter and a distributor", voters - 1, 0, all - 1, Figure{}, "none: they are gone too", "yes", "everywhere else", oneVoter},
		{"two regions apart, of any other path", voters, 0, all, Figure{}, "none", "yes: each voter reaches three others",
			"everywhere, over a root of a third region", "the same"},
		{"a region cut off from all others", voters - 1, 0, all - 1, Figure{}, "none", "yes, outside it",
			"everywhere else; inside it the bound is passed", oneVoter},
		{"three voters", voters - 3, 0, all, Figure{}, "none", "no: no quorum", "nothing new; all pass the bound", "nothing until one is back"},
	}
	for i := range losses {
		losses[i].VotersNeeded = voters/2 + 1
		losses[i].ProxiesPerDistributor = f.subscribersPerDistributor(losses[i].DistributorsLeft)
	}
	return losses
}
