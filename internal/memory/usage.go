package memory

// Usage is what one owner has reserved, in bytes, and how often there was no room for it.
type Usage struct {
	Owner               Owner
	Used, Highest, Most int64
	Refused             int64
}

// Usage returns what each owner has reserved.
func (a *Account) Usage() (usage []Usage) {
	if a == nil {
		return nil
	}
	for owner := range ownerCount {
		counts := &a.owners[owner]
		usage = append(usage, Usage{
			Owner: owner, Used: counts.used.Load(), Highest: counts.highest.Load(), Most: a.Share(owner), Refused: counts.refused.Load(),
		})
	}
	return usage
}

// Total returns how many bytes are reserved, and the most that ever were.
func (a *Account) Total() (used, highest int64) { return a.total.Load(), a.highest.Load() }
