package distribution_test

import (
	"fmt"
	"math"
	"slices"

	"ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/distribution/check"
)

// Indexes of the model's processes: the distributor at the store, two relays of the level below, and a process that only subscribes.
const (
	rootIndex = iota
	leftIndex
	rightIndex
	leafIndex
	processCount
)

var processNames = [processCount]string{"root", "left", "right", "leaf"}

// peers are the distributors of the model.
var peers = []distribution.Peer{
	{Name: "root", Rank: 0, Region: "r", Zone: "z"},
	{Name: "left", Rank: 1, Region: "r", Zone: "z"},
	{Name: "right", Rank: 1, Region: "r", Zone: "z"},
}

// settings returns the settings of a process, with short times and small bounds.
func (w *world) settings(i int) distribution.Settings {
	self := distribution.Peer{Name: processNames[i], Rank: min(2, i), Region: "r", Zone: "z"}
	if i == rightIndex {
		self.Rank = 1
	}
	s := distribution.DefaultSettings(w.stream, self)
	s.Seed = uint64(i)
	s.HeartbeatInterval, s.SilenceTimeout, s.ConnectTimeout = 500, 1000, 1000
	s.FailoverSpread, s.MinBackoff, s.MaxBackoff, s.RelaxSpread = 100, 100, 400, 400
	s.MaxFrame, s.Credit = 1, 100 // one entry in each frame, and two frames in flight
	s.MaxBacklogEntries, s.MaxBacklogBytes = 3, 1000
	s.MaxLag, s.MaxClockSkew = 2000, 0
	s.Classes = map[string]distribution.StalePolicy{"strict": distribution.PolicyStrict}
	return s
}

// modelLink is a link from a subscriber to a distributor. toDistributor and toSubscriber are the messages in flight, of which a nil
// message reports the end of the link.
type modelLink struct {
	from                        int
	fromLink                    distribution.Link
	to                          int
	toLink                      distribution.Link
	open                        bool // on the subscriber's side
	toDistributor, toSubscriber []distribution.Message
	bytesInFlight               int // of batches and chunks to the subscriber
	framesInFlight              int // number of those batches and chunks
	duplicatedBytes             int // bytes of batches and chunks that a fault has duplicated
}

// world is one state of the model: the store's history, all processes, and the messages in flight.
type world struct {
	now               float64
	history           *check.History
	subscribers       [processCount]*distribution.Subscriber // nil for the root
	distributors      [processCount]*distribution.Distributor
	observed          [processCount]*check.Process
	freshness         [processCount]distribution.Freshness
	subscriberWakeAt  [processCount]float64
	distributorWakeAt [processCount]float64
	paused            [processCount]bool
	links             []modelLink
	lastLink          distribution.Link

	epoch      uint64  // of the store
	sequence   uint64  // of the store's last entry, or of the epoch's begin
	nextEntry  int     // index of the script's entry that is committed next
	advancedAt float64 // when the root last got a new watermark, Unix ms

	messageFaultsLeft   int // message faults that may still occur
	componentFaultsLeft int // component faults that may still occur
	mutation            mutation
	violation           error
	absentProcess       int // index of a process that does not run; rootIndex: all run
	stream              distribution.Stream
	script              []distribution.Entry
	initialEntries      int // number of entries of the script that an epoch begins with
}

// script holds the entries that the store commits in each epoch. Among them are purges that cover one of the same object, a purge that
// covers a group's objects, one that is effective before the purge that it covers, one that expires early, and one that covers nothing.
var script = []distribution.Entry{
	{Kind: distribution.PurgeObject, Name: "x", Group: 1, GroupKnown: true, EffectiveAt: 100, ExpiresAt: 90_000},
	{Kind: distribution.PurgeObject, Name: "y", Group: 1, GroupKnown: true, EffectiveAt: 90, ExpiresAt: 95_000},
	{Kind: distribution.PurgeObject, Name: "x", Group: 1, GroupKnown: true, EffectiveAt: 95, ExpiresAt: 80_000},
	{Kind: distribution.PurgeGroup, Group: 1, EffectiveAt: 99, ExpiresAt: 99_000},
	{Kind: distribution.PurgeObject, Name: "y", Group: 1, GroupKnown: true, EffectiveAt: 140, ExpiresAt: 12_500},
	{Kind: distribution.PurgeObject, Name: "w", EffectiveAt: 150},
}

// newWorld returns a world in which all processes run except absent (rootIndex: all run), and have the first entries of the script.
func newWorld(absent int, m mutation) *world {
	w := &world{mutation: m, absentProcess: absent, stream: distribution.Purges, script: script, initialEntries: 2}
	w.start()
	return w
}

// start starts the processes, and runs the model until all of them are connected and have caught up.
func (w *world) start() {
	w.now, w.history = 10_000, &check.History{}
	for i := range processCount {
		if w.absentProcess == rootIndex || i != w.absentProcess {
			w.startProcess(i)
		}
	}
	w.beginEpoch()
	for range 400 {
		if w.advancedAt >= 1000 && w.idle() && w.caughtUp() {
			return
		}
		w.deliverAll()
		w.advanceTime()
	}
	panic("the model's processes did not catch up after their start")
}

// startProcess starts a process without state.
func (w *world) startProcess(i int) {
	w.observed[i] = check.NewProcess(w.history)
	w.freshness[i] = distribution.Freshness{Restricted: true, OldestCopy: math.Inf(1), FreshUntil: math.Inf(-1), WatermarkTime: math.Inf(1)}
	w.subscriberWakeAt[i], w.distributorWakeAt[i] = math.Inf(1), math.Inf(1)
	w.paused[i] = false
	if i != leafIndex {
		w.distributors[i] = distribution.NewDistributor(w.settings(i))
	}
	if i != rootIndex {
		w.subscribers[i] = distribution.NewSubscriber(w.settings(i))
		w.handleSubscriber(i, distribution.Candidates{Peers: w.peers()})
	}
}

// peers returns the distributors that run.
func (w *world) peers() []distribution.Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p distribution.Peer) bool {
		return w.absentProcess != rootIndex && p.Name == processNames[w.absentProcess]
	})
}

// beginEpoch begins an epoch of the store with the first entries of the script, none of which covers another.
func (w *world) beginEpoch() {
	w.epoch++
	w.sequence, w.nextEntry = 1, 0
	w.history.Begin(distribution.Position{Epoch: w.epoch, Sequence: w.sequence})
	var all []distribution.Entry
	for range w.initialEntries {
		all = append(all, w.commitNext())
	}
	w.handleDistributor(rootIndex, distribution.InstallSnapshot{Epoch: w.epoch, Through: w.sequence, Watermark: w.watermark(), Entries: all})
}

// restoreRoot has the root read its state from disk: entries joined by their key, with sequences that give only an order of the root's
// own.
func (w *world) restoreRoot() {
	existing := map[string]distribution.Entry{}
	var order []string
	for _, e := range w.script[:w.nextEntry] {
		key := fmt.Sprint(e.Kind, e.Name, e.Group)
		if e.Kind == distribution.DrainEnded {
			delete(existing, fmt.Sprint(distribution.Drain, e.Name, e.Group))
			continue
		}
		e.EffectiveAt += int64(w.epoch) * 1000
		if earlier, exists := existing[key]; exists && w.stream == distribution.Purges {
			e.EffectiveAt = max(e.EffectiveAt, earlier.EffectiveAt)
			if earlier.ExpiresAt == 0 || e.ExpiresAt != 0 && e.ExpiresAt < earlier.ExpiresAt {
				e.ExpiresAt = earlier.ExpiresAt
			}
		} else if exists && e.Kind == distribution.Drain {
			e.EffectiveAt = min(e.EffectiveAt, earlier.EffectiveAt)
		}
		existing[key] = e
		order = append(order, key)
	}
	var entries []distribution.Entry
	for _, key := range slices.Backward(order) {
		if e, exists := existing[key]; exists {
			entries = append(entries, e)
			delete(existing, key)
		}
	}
	for i := range entries {
		entries[i].Sequence = w.sequence - uint64(len(entries)-1-i)
	}
	w.handleDistributor(rootIndex, distribution.InstallSnapshot{Epoch: w.epoch, Through: w.sequence, Watermark: w.watermark(), Entries: entries})
}

// restartRoot restarts the root with the state that it reads from disk.
func (w *world) restartRoot() {
	w.crash(rootIndex)
	w.restoreRoot()
}

// commitNext has the store commit the next entry of the script, and returns it. Some sequences are left out.
func (w *world) commitNext() distribution.Entry {
	e := w.script[w.nextEntry]
	w.nextEntry++
	w.sequence += 1 + uint64(w.nextEntry%2)
	e.Sequence = w.sequence
	e.EffectiveAt += int64(w.epoch) * 1000
	w.history.Commit(w.epoch, e, int64(w.now))
	return e
}

// watermark returns the store's present watermark.
func (w *world) watermark() distribution.Watermark {
	return distribution.Watermark{Sequence: w.sequence, At: int64(w.now)}
}

// commit has the store commit the next entry of the script, and the root apply it.
func (w *world) commit() {
	after := w.sequence
	e := w.commitNext()
	w.handleDistributor(rootIndex, distribution.Apply{Epoch: w.epoch, After: after, Through: w.sequence, Watermark: w.watermark(),
		Entries: []distribution.Entry{e}})
}

// clone copies the state for another branch of the model.
func (w *world) clone() *world {
	c := *w
	c.history = w.history.Clone()
	for i := range processCount {
		if w.observed[i] != nil {
			c.observed[i] = w.observed[i].Clone(c.history)
		}
		if w.subscribers[i] != nil {
			c.subscribers[i] = w.subscribers[i].Clone()
		}
		if w.distributors[i] != nil {
			c.distributors[i] = w.distributors[i].Clone()
		}
	}
	c.links = slices.Clone(w.links)
	for i := range c.links {
		c.links[i].toDistributor = slices.Clone(w.links[i].toDistributor)
		c.links[i].toSubscriber = slices.Clone(w.links[i].toSubscriber)
	}
	return &c
}

// appendFingerprint appends the bytes by which states of the model are told apart.
func (w *world) appendFingerprint(b []byte) []byte {
	number := func(n int) { b = append(b, byte(n), byte(n>>8)) }
	number(int(w.now))
	number(int(w.now) >> 16)
	number(int(w.advancedAt))
	number(w.nextEntry)
	number(int(w.epoch))
	number(w.messageFaultsLeft<<8 | w.componentFaultsLeft)
	for i := range processCount {
		number(int(w.subscriberWakeAt[i]))
		number(int(w.distributorWakeAt[i]))
		if w.paused[i] {
			b = append(b, 1)
		}
		if w.subscribers[i] != nil {
			b = w.subscribers[i].AppendFingerprint(b)
		}
		if w.distributors[i] != nil {
			b = w.distributors[i].AppendFingerprint(b)
		}
	}
	for _, l := range w.links {
		number(l.from<<4 | l.to)
		for _, queue := range [][]distribution.Message{l.toDistributor, l.toSubscriber} {
			for _, m := range queue {
				if m == nil {
					b = append(b, 0xff)
					continue
				}
				b = append(b, distribution.Encode(m).Bytes...)
			}
			b = append(b, 0xfe)
		}
	}
	return b
}

// record records a violation of a rule, unless there was one before.
func (w *world) record(err error) {
	if w.violation == nil {
		w.violation = err
	}
}

// handleSubscriber passes an event to a Subscriber, and carries out its actions.
func (w *world) handleSubscriber(i int, e distribution.Event) {
	s := w.subscribers[i]
	e = w.mutation.mutateEvent(s, e)
	if e == nil {
		return
	}
	actions := s.Handle(w.now, e)
	w.mutation.mutateAfterEvent(s)
	for _, a := range actions {
		w.carryOut(i, w.mutation.mutateAction(s, a))
	}
	w.record(w.observed[i].CheckWatermark(s.Watermark()))
	w.checkServing(i)
}

// carryOut carries out an action of a Subscriber.
func (w *world) carryOut(i int, a distribution.Action) {
	switch a := a.(type) {
	case distribution.Apply, distribution.InstallSnapshot, distribution.AdvanceWatermark:
		w.record(w.observed[i].Observe(a))
		if w.distributors[i] != nil {
			w.handleDistributor(i, a.(distribution.Event))
		}
	case distribution.SetFreshness:
		w.freshness[i] = w.mutation.mutateFreshness(a.State)
	case distribution.Connect:
		w.lastLink++
		w.links = append(w.links, modelLink{from: i, fromLink: a.Link, to: slices.Index(processNames[:], a.To.Name), toLink: w.lastLink, open: true})
		w.handleSubscriber(i, distribution.Connected{Link: a.Link})
	case distribution.Disconnect:
		if linkIndex := w.subscriberLinkIndex(i, a.Link); linkIndex >= 0 {
			w.links[linkIndex].open = false
			w.links[linkIndex].toDistributor, w.links[linkIndex].toSubscriber = append(w.links[linkIndex].toDistributor, nil), nil
		}
	case distribution.SendMessage:
		if linkIndex := w.subscriberLinkIndex(i, a.Link); linkIndex >= 0 {
			w.links[linkIndex].toDistributor = append(w.links[linkIndex].toDistributor, w.encodeAndDecode(a.Message))
		}
	case distribution.Wake:
		w.subscriberWakeAt[i] = w.now + a.After
	}
}

// encodeAndDecode returns a message as the other end decodes it.
func (w *world) encodeAndDecode(m distribution.Message) distribution.Message {
	out, err := distribution.Decode(distribution.Encode(m).Bytes)
	if err != nil {
		panic(err)
	}
	return out
}

// subscriberLinkIndex returns the index of a subscriber's open link, by the subscriber's number of the link; -1: there is none.
func (w *world) subscriberLinkIndex(from int, link distribution.Link) int {
	return slices.IndexFunc(w.links, func(l modelLink) bool { return l.from == from && l.fromLink == link && l.open })
}

// handleDistributor passes an event to a Distributor, and carries out its actions.
func (w *world) handleDistributor(i int, e distribution.Event) {
	d := w.distributors[i]
	w.mutation.mutateDistributor(d)
	for _, a := range d.Handle(w.now, e) {
		switch a := a.(type) {
		case distribution.SendFrame:
			for _, to := range a.Links {
				w.send(i, to, a.Frame)
			}
		case distribution.CloseLink:
			if linkIndex := w.distributorLinkIndex(i, a.Link); linkIndex >= 0 {
				w.links[linkIndex].toSubscriber = append(w.links[linkIndex].toSubscriber, nil)
			}
		case distribution.Wake:
			w.distributorWakeAt[i] = w.now + a.After
		}
	}
	w.record(check.CheckBacklog(w.settings(i), d))
}

// distributorLinkIndex returns the index of an open link to a distributor, by the distributor's number of the link; -1: there is none.
func (w *world) distributorLinkIndex(to int, link distribution.Link) int {
	return slices.IndexFunc(w.links, func(l modelLink) bool { return l.to == to && l.toLink == link && l.open })
}

// send has a distributor send a frame on one of its links.
func (w *world) send(i int, to distribution.Link, f *distribution.Frame) {
	linkIndex := w.distributorLinkIndex(i, to)
	if linkIndex < 0 {
		return
	}
	m, err := distribution.Decode(f.Bytes)
	if err != nil {
		panic(err)
	}
	l := &w.links[linkIndex]
	if countsAgainstCredit(m) {
		l.bytesInFlight += len(f.Bytes)
		l.framesInFlight++
		w.record(check.CheckCredit(w.settings(l.from).Credit+l.duplicatedBytes, l.framesInFlight, l.bytesInFlight))
	}
	l.toSubscriber = append(l.toSubscriber, w.mutation.mutateMessage(w, m))
}

// countsAgainstCredit reports whether a message counts against the credit.
func countsAgainstCredit(m distribution.Message) bool {
	switch m.(type) {
	case distribution.Batch, distribution.SnapshotChunk:
		return true
	}
	return false
}

// checkServing checks the decisions on requests of a strict class with copies of several ages, by the Freshness that a process has
// published last.
func (w *world) checkServing(i int) {
	if w.paused[i] {
		return
	}
	watermark := w.subscribers[i].Watermark()
	for _, madeAt := range []float64{w.now - 5000, float64(watermark.At) - 1, float64(watermark.At), w.now} {
		g := distribution.NewFreshnessGate(w.settings(i))
		g.Update(w.freshness[i])
		w.record(check.CheckServed(w.settings(i), watermark, w.now, "strict", madeAt, g.Decide(w.now, "strict", madeAt)))
	}
}

// deliverToSubscriber delivers the first message in flight to a link's subscriber.
func (w *world) deliverToSubscriber(linkIndex int) {
	l := &w.links[linkIndex]
	m := l.toSubscriber[0]
	l.toSubscriber = l.toSubscriber[1:]
	if m == nil {
		l.open, l.toSubscriber = false, nil
		w.handleSubscriber(l.from, distribution.Disconnected{Link: l.fromLink})
		return
	}
	size := len(distribution.Encode(m).Bytes)
	if countsAgainstCredit(m) {
		l.bytesInFlight -= size
		l.framesInFlight--
	}
	w.handleSubscriber(l.from, distribution.Received{Link: l.fromLink, Message: m, Bytes: size})
}

// deliverToDistributor delivers the first message in flight to a link's distributor.
func (w *world) deliverToDistributor(linkIndex int) {
	l := &w.links[linkIndex]
	m := l.toDistributor[0]
	l.toDistributor = l.toDistributor[1:]
	if m == nil {
		to, link := l.to, l.toLink
		l.toDistributor, l.toSubscriber = nil, nil
		if l.open { // the link ends at both sides
			l.toSubscriber = append(l.toSubscriber, nil)
		}
		if w.distributors[to] != nil {
			w.handleDistributor(to, distribution.Disconnected{Link: link})
		}
		return
	}
	w.handleDistributor(l.to, distribution.Received{Link: l.toLink, Message: m})
}
