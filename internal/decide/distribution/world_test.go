package distribution_test

import (
	"fmt"
	"math"
	"slices"

	"ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/distribution/check"
)

// The processes of the model: the store's distributor, two of the level below, and one that only subscribes.
const (
	atRoot = iota
	atLeft
	atRight
	atLeaf
	processes
)

var names = [processes]string{"root", "left", "right", "leaf"}

var peers = []distribution.Peer{
	{Name: "root", Rank: 0, Region: "r", Zone: "z"},
	{Name: "left", Rank: 1, Region: "r", Zone: "z"},
	{Name: "right", Rank: 1, Region: "r", Zone: "z"},
}

func (w *world) settings(i int) distribution.Settings {
	self := distribution.Peer{Name: names[i], Rank: min(2, i), Region: "r", Zone: "z"}
	if i == atRight {
		self.Rank = 1
	}
	s := distribution.DefaultSettings(w.stream, self)
	s.Seed = uint64(i)
	s.HeartbeatInterval, s.SilenceTimeout, s.ConnectTimeout = 500, 1000, 1000
	s.FailoverSpread, s.MinBackoff, s.MaxBackoff, s.RelaxSpread = 100, 100, 400, 400
	s.MaxFrame, s.Credit = 1, 100 // an entry a frame, two frames under way
	s.MaxBacklogEntries, s.MaxBacklogBytes = 3, 1000
	s.MaxLag, s.MaxClockSkew = 2000, 0
	s.Classes = map[string]distribution.Policy{"strict": distribution.PolicyStrict}
	return s
}

// wire is a link from a subscriber to a distributor. A nil message is its end.
type wire struct {
	from     int
	fromLink distribution.Link
	to       int
	toLink   distribution.Link
	open     bool // at the subscriber's side
	up, down []distribution.Message
	bytes    int // of batches and chunks that were sent and not taken in
	frames   int
	extra    int // of those that came twice
}

// world is one state of the model.
type world struct {
	now      float64
	history  *check.History
	subs     [processes]*distribution.Subscriber // nil: the root
	dists    [processes]*distribution.Distributor
	seen     [processes]*check.Process
	gates    [processes]distribution.Freshness
	subWake  [processes]float64
	distWake [processes]float64
	stopped  [processes]bool
	wires    []wire
	links    distribution.Link

	epoch    uint64
	sequence uint64
	next     int // of the script
	told     float64

	faults   int // left
	breaks   int
	mutation mutation
	broken   error
	without  int // a process that does not run
	stream   distribution.Stream
	script   []distribution.Entry
	initial  int // how many of the script an epoch begins with
}

// script is what is committed after the start, in each epoch from its beginning. It covers: the same object, a group's
// objects, a purge made earlier than one before it, one that ends early, one that covers none.
var script = []distribution.Entry{
	{Kind: distribution.PurgeObject, Name: "x", Group: 1, GroupKnown: true, EffectiveAt: 100, ExpiresAt: 90_000},
	{Kind: distribution.PurgeObject, Name: "y", Group: 1, GroupKnown: true, EffectiveAt: 90, ExpiresAt: 95_000},
	{Kind: distribution.PurgeObject, Name: "x", Group: 1, GroupKnown: true, EffectiveAt: 95, ExpiresAt: 80_000},
	{Kind: distribution.PurgeGroup, Group: 1, EffectiveAt: 99, ExpiresAt: 99_000},
	{Kind: distribution.PurgeObject, Name: "y", Group: 1, GroupKnown: true, EffectiveAt: 140, ExpiresAt: 12_500},
	{Kind: distribution.PurgeObject, Name: "w", EffectiveAt: 150},
}

// newWorld has all processes but one (0: all run), the first entries of the script committed, and everybody connected and told.
func newWorld(without int, m mutation) *world {
	w := &world{mutation: m, without: without, stream: distribution.Purges, script: script, initial: 2}
	w.begin()
	return w
}

// begin starts all processes, and has all of them connected and told.
func (w *world) begin() {
	w.now, w.history = 10_000, &check.History{}
	for i := range processes {
		if w.without == atRoot || i != w.without {
			w.boot(i)
		}
	}
	w.restore()
	for range 400 {
		if w.told >= 1000 && w.quiet() && w.settled() {
			return
		}
		w.settle()
		w.pass()
	}
	panic("the model does not get to its beginning")
}

// boot starts a process with nothing.
func (w *world) boot(i int) {
	w.seen[i] = check.NewProcess(w.history)
	w.gates[i] = distribution.Freshness{Restricted: true, OldestCopy: math.Inf(1), FreshUntil: math.Inf(-1), WatermarkTime: math.Inf(1)}
	w.subWake[i], w.distWake[i] = math.Inf(1), math.Inf(1)
	w.stopped[i] = false
	if i != atLeaf {
		w.dists[i] = distribution.NewDistributor(w.settings(i))
	}
	if i != atRoot {
		w.subs[i] = distribution.NewSubscriber(w.settings(i))
		w.above(i, distribution.Candidates{Peers: w.peers()})
	}
}

// peers are the distributors that run.
func (w *world) peers() []distribution.Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p distribution.Peer) bool { return w.without != atRoot && p.Name == names[w.without] })
}

// restore begins an epoch of the store with the first entries of the script. They cover nothing.
func (w *world) restore() {
	w.epoch++
	w.sequence, w.next = 1, 0
	w.history.Begin(distribution.Position{Epoch: w.epoch, Sequence: w.sequence})
	var all []distribution.Entry
	for range w.initial {
		all = append(all, w.book())
	}
	w.below(atRoot, distribution.InstallSnapshot{Epoch: w.epoch, Through: w.sequence, Watermark: w.top(), Entries: all})
}

// reread has the root read its state back: facts joined by what they are about, with numbers made up, in an order of its own.
func (w *world) reread() {
	held := map[string]distribution.Entry{}
	var order []string
	for _, e := range w.script[:w.next] {
		name := fmt.Sprint(e.Kind, e.Name, e.Group)
		if e.Kind == distribution.DrainEnded {
			delete(held, fmt.Sprint(distribution.Drain, e.Name, e.Group))
			continue
		}
		e.EffectiveAt += int64(w.epoch) * 1000
		if old, again := held[name]; again && w.stream == distribution.Purges {
			e.EffectiveAt = max(e.EffectiveAt, old.EffectiveAt)
			if old.ExpiresAt == 0 || e.ExpiresAt != 0 && e.ExpiresAt < old.ExpiresAt {
				e.ExpiresAt = old.ExpiresAt
			}
		} else if again && e.Kind == distribution.Drain {
			e.EffectiveAt = min(e.EffectiveAt, old.EffectiveAt)
		}
		held[name] = e
		order = append(order, name)
	}
	var entries []distribution.Entry
	for _, name := range slices.Backward(order) {
		if e, still := held[name]; still {
			entries = append(entries, e)
			delete(held, name)
		}
	}
	for i := range entries {
		entries[i].Sequence = w.sequence - uint64(len(entries)-1-i)
	}
	w.below(atRoot, distribution.InstallSnapshot{Epoch: w.epoch, Through: w.sequence, Watermark: w.top(), Entries: entries})
}

// restart has the root come back with what it reads.
func (w *world) restart() {
	w.crash(atRoot)
	w.reread()
}

// book has the store commit the next of the script. Sequences leave some out.
func (w *world) book() distribution.Entry {
	e := w.script[w.next]
	w.next++
	w.sequence += 1 + uint64(w.next%2)
	e.Sequence = w.sequence
	e.EffectiveAt += int64(w.epoch) * 1000
	w.history.Commit(w.epoch, e, int64(w.now))
	return e
}

func (w *world) top() distribution.Watermark {
	return distribution.Watermark{Sequence: w.sequence, At: int64(w.now)}
}

func (w *world) commit() {
	after := w.sequence
	e := w.book()
	w.below(atRoot, distribution.Apply{Epoch: w.epoch, After: after, Through: w.sequence, Watermark: w.top(),
		Entries: []distribution.Entry{e}})
}

func (w *world) clone() *world {
	c := *w
	c.history = w.history.Clone()
	for i := range processes {
		if w.seen[i] != nil {
			c.seen[i] = w.seen[i].Clone(c.history)
		}
		if w.subs[i] != nil {
			c.subs[i] = w.subs[i].Clone()
		}
		if w.dists[i] != nil {
			c.dists[i] = w.dists[i].Clone()
		}
	}
	c.wires = slices.Clone(w.wires)
	for i := range c.wires {
		c.wires[i].up = slices.Clone(w.wires[i].up)
		c.wires[i].down = slices.Clone(w.wires[i].down)
	}
	return &c
}

// print tells states apart.
func (w *world) print(b []byte) []byte {
	number := func(n int) { b = append(b, byte(n), byte(n>>8)) }
	number(int(w.now))
	number(int(w.now) >> 16)
	number(int(w.told))
	number(w.next)
	number(int(w.epoch))
	number(w.faults<<8 | w.breaks)
	for i := range processes {
		number(int(w.subWake[i]))
		number(int(w.distWake[i]))
		if w.stopped[i] {
			b = append(b, 1)
		}
		if w.subs[i] != nil {
			b = w.subs[i].AppendFingerprint(b)
		}
		if w.dists[i] != nil {
			b = w.dists[i].AppendFingerprint(b)
		}
	}
	for _, l := range w.wires {
		number(l.from<<4 | l.to)
		for _, queue := range [][]distribution.Message{l.up, l.down} {
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

// check keeps the first rule that was broken.
func (w *world) check(err error) {
	if w.broken == nil {
		w.broken = err
	}
}

// above tells a Subscriber an event and carries out what follows.
func (w *world) above(i int, e distribution.Event) {
	s := w.subs[i]
	e = w.mutation.event(s, e)
	if e == nil {
		return
	}
	actions := s.Handle(w.now, e)
	w.mutation.after(s)
	for _, a := range actions {
		w.act(i, w.mutation.action(s, a))
	}
	w.check(w.seen[i].CheckWatermark(s.Watermark()))
	w.serve(i)
}

// act is what a shell does for a Subscriber.
func (w *world) act(i int, a distribution.Action) {
	switch a := a.(type) {
	case distribution.Apply, distribution.InstallSnapshot, distribution.AdvanceWatermark:
		w.check(w.seen[i].Observe(a))
		if w.dists[i] != nil {
			w.below(i, a.(distribution.Event))
		}
	case distribution.SetFreshness:
		w.gates[i] = w.mutation.guard(a.State)
	case distribution.Connect:
		w.links++
		w.wires = append(w.wires, wire{from: i, fromLink: a.Link, to: slices.Index(names[:], a.To.Name), toLink: w.links, open: true})
		w.above(i, distribution.Connected{Link: a.Link})
	case distribution.Disconnect:
		if at := w.wireOf(i, a.Link); at >= 0 {
			w.wires[at].open = false
			w.wires[at].up, w.wires[at].down = append(w.wires[at].up, nil), nil
		}
	case distribution.SendMessage:
		if at := w.wireOf(i, a.Link); at >= 0 {
			w.wires[at].up = append(w.wires[at].up, w.wired(a.Message))
		}
	case distribution.Wake:
		w.subWake[i] = w.now + a.After
	}
}

// wired is a message as it comes out at the other end.
func (w *world) wired(m distribution.Message) distribution.Message {
	out, err := distribution.Decode(distribution.Encode(m).Bytes)
	if err != nil {
		panic(err)
	}
	return out
}

func (w *world) wireOf(from int, link distribution.Link) int {
	return slices.IndexFunc(w.wires, func(l wire) bool { return l.from == from && l.fromLink == link && l.open })
}

// below tells a Distributor an event and carries out what follows.
func (w *world) below(i int, e distribution.Event) {
	d := w.dists[i]
	w.mutation.distributor(d)
	for _, a := range d.Handle(w.now, e) {
		switch a := a.(type) {
		case distribution.SendFrame:
			for _, to := range a.Links {
				w.send(i, to, a.Frame)
			}
		case distribution.CloseLink:
			if at := w.wireTo(i, a.Link); at >= 0 {
				w.wires[at].down = append(w.wires[at].down, nil)
			}
		case distribution.Wake:
			w.distWake[i] = w.now + a.After
		}
	}
	w.check(check.CheckBacklog(w.settings(i), d))
}

func (w *world) wireTo(to int, link distribution.Link) int {
	return slices.IndexFunc(w.wires, func(l wire) bool { return l.to == to && l.toLink == link && l.open })
}

func (w *world) send(i int, to distribution.Link, f *distribution.Frame) {
	at := w.wireTo(i, to)
	if at < 0 {
		return
	}
	m, err := distribution.Decode(f.Bytes)
	if err != nil {
		panic(err)
	}
	l := &w.wires[at]
	if counts(m) {
		l.bytes += len(f.Bytes)
		l.frames++
		w.check(check.CheckCredit(w.settings(l.from).Credit+l.extra, l.frames, l.bytes))
	}
	l.down = append(l.down, w.mutation.sent(w, m))
}

// counts tells whether a message goes against the credit.
func counts(m distribution.Message) bool {
	switch m.(type) {
	case distribution.Batch, distribution.SnapshotChunk:
		return true
	}
	return false
}

// serve asks for a strict class with copies of all ages, by the state that the process published last.
func (w *world) serve(i int) {
	if w.stopped[i] {
		return
	}
	mark := w.subs[i].Watermark()
	for _, made := range []float64{w.now - 5000, float64(mark.At) - 1, float64(mark.At), w.now} {
		g := distribution.NewFreshnessGate(w.settings(i))
		g.Update(w.gates[i])
		w.check(check.CheckServed(w.settings(i), mark, w.now, "strict", made, g.Decide(w.now, "strict", made)))
	}
}

// deliverDown takes the first message of a wire to the subscriber.
func (w *world) deliverDown(at int) {
	l := &w.wires[at]
	m := l.down[0]
	l.down = l.down[1:]
	if m == nil {
		l.open, l.down = false, nil
		w.above(l.from, distribution.Disconnected{Link: l.fromLink})
		return
	}
	size := len(distribution.Encode(m).Bytes)
	if counts(m) {
		l.bytes -= size
		l.frames--
	}
	w.above(l.from, distribution.Received{Link: l.fromLink, Message: m, Bytes: size})
}

// deliverUp takes the first message of a wire to the distributor.
func (w *world) deliverUp(at int) {
	l := &w.wires[at]
	m := l.up[0]
	l.up = l.up[1:]
	if m == nil {
		to, link := l.to, l.toLink
		l.up, l.down = nil, nil
		if l.open { // it ended at both sides
			l.down = append(l.down, nil)
		}
		if w.dists[to] != nil {
			w.below(to, distribution.Disconnected{Link: link})
		}
		return
	}
	w.below(l.to, distribution.Received{Link: l.toLink, Message: m})
}
