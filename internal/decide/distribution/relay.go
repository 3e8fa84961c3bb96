package distribution

// Relay is a Subscriber and a Distributor of one stream in one process: what the one puts in force the other passes on.
type Relay struct {
	Subscriber  *Subscriber
	Distributor *Distributor
}

// NewRelay returns both with the same settings.
func NewRelay(s Settings) *Relay {
	return &Relay{Subscriber: NewSubscriber(s), Distributor: NewDistributor(s)}
}

// Above handles an event from the level above, or a wake of the Subscriber: above are the Subscriber's actions, below
// those of the Distributor that follow from them. Events from the level below go to the Distributor as they are.
func (r *Relay) Above(now float64, e Event) (above, below []Action) {
	above = r.Subscriber.Handle(now, e)
	for _, a := range above {
		if passed, isEvent := a.(Event); isEvent {
			below = append(below, r.Distributor.Handle(now, passed)...)
		}
	}
	return above, below
}
