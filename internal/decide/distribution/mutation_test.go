package distribution_test

import "ravenwheel/internal/decide/distribution"

// mutation is one way in which the machines, the shells or the wire could be wrong. The zero value changes nothing.
type mutation struct {
	name          string
	onEvent       func(s *distribution.Subscriber, e distribution.Event) distribution.Event
	onAfter       func(s *distribution.Subscriber)
	onAction      func(s *distribution.Subscriber, a distribution.Action) distribution.Action
	onGuard       func(g distribution.GuardState) distribution.GuardState
	onDistributor func(d *distribution.Distributor)
	onSent        func(w *world, m distribution.Message) distribution.Message
}

func (m mutation) event(s *distribution.Subscriber, e distribution.Event) distribution.Event {
	if m.onEvent == nil {
		return e
	}
	return m.onEvent(s, e)
}

func (m mutation) after(s *distribution.Subscriber) {
	if m.onAfter != nil {
		m.onAfter(s)
	}
}

func (m mutation) action(s *distribution.Subscriber, a distribution.Action) distribution.Action {
	if m.onAction == nil {
		return a
	}
	return m.onAction(s, a)
}

func (m mutation) guard(g distribution.GuardState) distribution.GuardState {
	if m.onGuard == nil {
		return g
	}
	return m.onGuard(g)
}

func (m mutation) distributor(d *distribution.Distributor) {
	if m.onDistributor != nil {
		m.onDistributor(d)
	}
}

func (m mutation) sent(w *world, x distribution.Message) distribution.Message {
	if m.onSent == nil {
		return x
	}
	return m.onSent(w, x)
}
