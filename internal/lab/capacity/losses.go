package capacity

// Loss describes which control machines and functions remain after a loss.
type Loss struct {
	Name                  string
	VotersLeft            int
	VotersNeeded          int // for a quorum
	DistributorsLeft      float64
	ProxiesPerDistributor Figure // mean over the remaining distributors
	Unserved              string // processes without a distributor in their region
	Commits               string // whether the store commits
	Delivers              string // where changes are delivered
	MayBeLostNext         string
}

// votersNeeded is the size of a quorum of the store.
const votersNeeded = voters/2 + 1

// Texts that several losses share.
const (
	deliversEverywhere    = "everywhere"
	deliversAfterFailover = "everywhere, after the failover"
	mayBeLostOneVoter     = "one more voter"
	unservedNone          = "none"
	unservedRegion        = "one region's 531, in 27 of 32 regions"
	mayBeLostAsBefore     = "the same"
	commitsAsBefore       = "yes"
)

// Losses are losses of machines, zones, regions and connections. The voters are in five different regions, and no two control
// machines are in the same zone. Each region has a distributor; the other five distributors are in a second zone of the five
// largest regions.
func (f Fleet) Losses() []Loss {
	return []Loss{
		f.loss("none", 0, 0, unservedNone, commitsAsBefore, deliversEverywhere, "two voters; any distributor"),
		f.loss("a distributor's machine", 0, 1, unservedRegion, commitsAsBefore, deliversAfterFailover, mayBeLostAsBefore),
		f.loss("a voter's machine", 1, 0, unservedNone, commitsAsBefore, deliversEverywhere, mayBeLostOneVoter),
		f.loss("the leader's machine", 1, 0, unservedNone, "after an election", deliversEverywhere, mayBeLostOneVoter),
		f.loss("a rack or a zone with a distributor", 0, 1, unservedRegion, commitsAsBefore, deliversAfterFailover, mayBeLostAsBefore),
		f.loss("a zone with a voter", 1, 0, unservedNone, "yes, after an election where it led", deliversEverywhere, mayBeLostOneVoter),
		f.loss("a region with a voter and a distributor", 1, 1, "none: they are gone too", commitsAsBefore, "everywhere else", mayBeLostOneVoter),
		f.loss("the connection of two regions", 0, 0, unservedNone, "yes: each voter reaches three others",
			"everywhere, over a root of a third region", mayBeLostAsBefore),
		f.loss("a region cut off from all others", 1, 1, unservedNone, "yes, outside it",
			"everywhere else; inside it the bound is exceeded", mayBeLostOneVoter),
		f.loss("three voters", 3, 0, unservedNone, "no: no quorum", "nothing new; all exceed the bound", "nothing until one is back"),
	}
}

// loss is the loss of that many voters and distributors.
func (f Fleet) loss(name string, lostVoters, lostDistributors int, unserved, commits, delivers, mayBeLostNext string) Loss {
	left := f.Distributors() - float64(lostDistributors)
	return Loss{
		Name:                  name,
		VotersLeft:            voters - lostVoters,
		VotersNeeded:          votersNeeded,
		DistributorsLeft:      left,
		ProxiesPerDistributor: f.subscribersPerDistributor(left),
		Unserved:              unserved,
		Commits:               commits,
		Delivers:              delivers,
		MayBeLostNext:         mayBeLostNext,
	}
}
