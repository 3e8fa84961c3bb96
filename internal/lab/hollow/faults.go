package hollow

import (
	"math"

	"ravenwheel/internal/decide/distribution"
)

// Phase is a stretch between two changes of the timeline, and what the processes of each role sent and received in it.
type Phase struct {
	From    float64           `json:"from_s"`
	To      float64           `json:"to_s"`
	Names   []string          `json:"faults"` // those under way
	Burst   float64           `json:"burst"`  // of the rate of purges
	Begun   int               `json:"begun"`  // processes that began anew in it
	Traffic [nRoles]PhaseRole `json:"traffic"`
}

// PhaseRole is the traffic of a role in a phase, in KB a second.
type PhaseRole struct {
	Role    string  `json:"role"`
	In      float64 `json:"in_kb_s"` // mean
	Out     float64 `json:"out_kb_s"`
	MostIn  float64 `json:"most_in_kb_s"` // of one process
	MostOut float64 `json:"most_out_kb_s"`
}

// Healed is how long after the end of a fault (after its instant, where it has none) a process that runs still lacked
// something older than hold_healed_ms.
type Healed struct {
	Fault Fault   `json:"fault"`
	At    float64 `json:"counted_from_s"`
	After float64 `json:"after_s"`
	Worst float64 `json:"worst_lag_ms"`
}

// arrange puts the timeline's faults into the queue, and the phases between them.
func (w *world) arrange() {
	edges := map[float64]bool{}
	for _, f := range w.spec.Timeline() {
		from := warmUp + f.At*1000
		to := from + f.For*1000
		edges[from], edges[to] = true, true
		w.after(from, func() { w.strike(f) })
		if f.For > 0 {
			w.after(to, func() { w.mend(f) })
		}
		counted := to
		if f.Kind == "kill" || f.Kind == "stop" || f.Kind == "leader" {
			counted = from
		}
		w.heal(f, counted)
	}
	edges[warmUp+w.spec.Seconds*1000] = true
	w.after(warmUp, func() { w.phase() })
	for at := range edges {
		if at > warmUp && at < w.end() {
			w.after(at, func() { w.phase() })
		}
	}
	w.after(w.end()-1, func() { w.phase() })
}

// heal watches from a time until the next change of the timeline, or for watchHealed.
func (w *world) heal(f Fault, from float64) {
	until := from + watchHealed
	for _, other := range w.spec.Timeline() {
		for _, at := range []float64{warmUp + other.At*1000, warmUp + (other.At+other.For)*1000} {
			if at > from {
				until = min(until, at)
			}
		}
	}
	until = min(until, w.end()-1)
	w.after(from+1, func() { w.lagged, w.worstLag = -1, 0 })
	w.after(until, func() {
		w.healed = append(w.healed, Healed{Fault: f, At: (from - warmUp) / 1000, After: max(0, w.lagged-from) / 1000, Worst: w.worstLag})
	})
}

// watchHealed ms after a fault nothing more is put down to it.
const watchHealed = 30_000

// phase ends the one that is on, and begins another.
func (w *world) phase() {
	if n := len(w.phases); n > 0 {
		x := &w.phases[n-1]
		if x.To = (w.now - warmUp) / 1000; x.To <= x.From {
			return
		}
		for role, ps := range w.byRole {
			x.Traffic[role] = traffic(Role(role), ps, x.To-x.From)
		}
	}
	for _, p := range w.processes {
		p.phaseIn, p.phaseO = 0, 0
	}
	x := Phase{From: (w.now - warmUp) / 1000, Burst: w.burst}
	for _, f := range w.spec.Timeline() {
		if at := warmUp + f.At*1000; at <= w.now+0.5 && w.now < at+f.For*1000-0.5 || at == w.now {
			x.Names = append(x.Names, f.Kind)
			if f.Kind == "burst" {
				x.Burst = f.Size
			}
			if f.Kind == "restart" {
				x.Begun = int(math.Ceil(f.Share * float64(len(w.byRole[Proxy]))))
			}
		}
	}
	w.phases = append(w.phases, x)
}

func traffic(role Role, ps []*process, seconds float64) PhaseRole {
	x := PhaseRole{Role: role.String()}
	for _, p := range ps {
		in, out := float64(p.phaseIn)/1000/seconds, float64(p.phaseO)/1000/seconds
		x.In, x.Out = x.In+in/float64(len(ps)), x.Out+out/float64(len(ps))
		x.MostIn, x.MostOut = max(x.MostIn, in), max(x.MostOut, out)
	}
	return x
}

// strike has a fault begin.
func (w *world) strike(f Fault) {
	switch f.Kind {
	case "leader":
		w.kill(w.leader)
		w.after(f.For*1000, w.reviver(w.byRole[Store]))
	case "kill":
		ps := w.draw(w.byRole[Zone], f.Count)
		for _, p := range ps {
			w.kill(p)
		}
		w.after(f.For*1000, w.reviver(ps))
	case "stop":
		ps := w.draw(w.byRole[Zone], f.Count)
		for _, p := range ps {
			p.stopped = true
		}
		w.after(f.For*1000, func() {
			for _, p := range ps {
				w.goOn(p)
			}
		})
	case "cut":
		w.cutOff(f.Region)
		w.elect()
	case "restart":
		for _, p := range w.draw(w.byRole[Proxy], int(math.Ceil(f.Share*float64(len(w.byRole[Proxy]))))) {
			w.kill(p)
			w.begin(p)
		}
	case "slow":
		ps := w.draw(w.byRole[Proxy], f.Count)
		for _, p := range ps {
			p.inRate = f.Size
		}
		w.after(f.For*1000, func() {
			for _, p := range ps {
				p.inRate, p.since = 0, w.now
			}
		})
	case "clocks":
		for _, p := range w.processes {
			p.offset = (w.faults.Float64() - 0.5) * f.Size * 1000
		}
	case "burst":
		w.burst = f.Size
	case "loss":
		w.loss = f.Size
	}
}

// mend has a fault end.
func (w *world) mend(f Fault) {
	switch f.Kind {
	case "cut":
		for _, p := range w.processes {
			if p.cut {
				p.cut, p.since = false, w.now
			}
		}
		w.cutRegion = -1
		for _, v := range w.byRole[Store] {
			w.followAll(v)
		}
	case "clocks":
		for _, p := range w.processes {
			p.offset = 0
		}
	case "burst":
		w.burst = 1
	case "loss":
		w.loss = 0
	}
}

// draw picks n that run.
func (w *world) draw(ps []*process, n int) (out []*process) {
	for _, i := range w.faults.Perm(len(ps)) {
		if len(out) < n && ps[i].running() {
			out = append(out, ps[i])
		}
	}
	return out
}

// kill ends a process: its kernel ends its connections.
func (w *world) kill(p *process) {
	p.up = false
	w.breakAll(p)
	p.life++
	p.inbox, p.unread, p.owed, p.applier = nil, nil, nil, nil
	p.gates = [2]*distribution.FreshnessGate{}
	p.sides, p.timers, p.next, p.follow = [2]side{}, [nSlots]timer{}, [2]int{}, follower{kept: p.follow.kept}
	w.elect()
}

// reviver starts those again that are down then.
func (w *world) reviver(ps []*process) func() {
	return func() {
		for _, p := range ps {
			if !p.up {
				w.begin(p)
			}
		}
	}
}

// begin starts a process anew, with nothing but what is on its disk.
func (w *world) begin(p *process) {
	p.up, p.stopped, p.since = true, false, w.now
	w.meter.begin(w, p)
	if p.role == Store {
		w.followAll(p)
	}
}

// goOn has a process that stood still go on: what came meanwhile is there, and what is due too.
func (w *world) goOn(p *process) {
	p.stopped, p.since = false, w.now
	inbox := p.inbox
	p.inbox = nil
	for _, e := range inbox {
		if e.kind == atTick {
			p.timers[e.slot].out = w.now
		}
		e.at = w.now
		w.push(e)
	}
}

// elect has the store find another leader, if the one it had is gone or cut off from most.
func (w *world) elect() {
	if w.leader != nil && w.leader.up && w.leader.region != w.cutRegion {
		return
	}
	if w.leader == nil {
		return // under way
	}
	w.leader = nil
	w.after(w.spec.ElectionMs, func() {
		for _, v := range w.byRole[Store] {
			if v.up && v.region != w.cutRegion {
				w.leader = v
				w.epochs++
				w.follow(v, len(w.history.all), w.markAt)
				w.flush()
				return
			}
		}
	})
}
