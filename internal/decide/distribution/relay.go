package distribution

// Relay is the Subscriber and the Distributor of one stream in one process: the Distributor sends on what the Subscriber receives and
// has applied.
type Relay struct {
	Subscriber  *Subscriber
	Distributor *Distributor
}

// NewRelay returns a Relay whose machines have the same settings.
func NewRelay(s Settings) *Relay {
	return &Relay{Subscriber: NewSubscriber(s), Distributor: NewDistributor(s)}
}

// HandleParentEvent processes an event of the level above, or a Tick of the Subscriber. It returns the Subscriber's actions, and the
// Distributor's actions that follow from them. Events of the level below are passed to the Distributor's own Handle.
func (r *Relay) HandleParentEvent(now float64, e Event) (subscriber, distributor []Action) {
	subscriber = r.Subscriber.Handle(now, e)
	for _, a := range subscriber {
		if passed, isEvent := a.(Event); isEvent {
			distributor = append(distributor, r.Distributor.Handle(now, passed)...)
		}
	}
	return subscriber, distributor
}
