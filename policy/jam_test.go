package policy

import (
	"fmt"
	"testing"
	"time"
)

// sized is a request whose own bytes take so long at a transfer's best pace.
func sized(id string, own time.Duration) Request {
	q := req(id, "o"+id)
	q.SizeKB = own.Seconds() * sizedFlow
	return q
}

// sizedFlow is the pace of a transfer in KB a second where sizes are told.
const sizedFlow = 1000

func sizedSettings() Settings {
	set := settings()
	set.FlowKBPerS = sizedFlow
	return set
}

// What can't come within the time left, its own bytes at the best pace being longer, took places and links from others
// until that time was up: it is answered at once, and what just fits is sent.
func TestTooLargeForItsTime(t *testing.T) {
	s := start(t, sizedSettings(), fleet())
	acts := s.on(sized("a", 3100*ms))
	if a, ok := find[Refuse](acts); !ok || a.RetryAfter <= 0 {
		t.Errorf("got %v, want a refusal with advice at once", acts)
	}
	if len(s.r.reqs) != 0 {
		t.Error("the request is still held")
	}
	g := s.get(s.on(sized("b", 2900*ms)))
	// A second attempt has less time left, and the same bytes to come.
	s.now += 200 * ms
	if _, ok := find[Refuse](s.on(Outcome{ID: "b", Cache: g.Cache, Result: ConnectFailed})); !ok {
		t.Error("what no longer fits was sent again")
	}
}

// admitted is how many of a hundred routers take a request where places of its limit are taken: of caches, the location's link,
// or the sources. The places are set so that a whole limit has room for it and lowStanding of it has none.
func admitted(t *testing.T, set Settings, q Request, at func(r *Router) []*target) (count int) {
	t.Helper()
	for seed := range 100 {
		r, err := New(set, uint64(seed))
		if err != nil {
			t.Fatal(err)
		}
		r.Handle(time.Minute, fleet(), nil)
		for _, target := range at(r) {
			target.fills, target.Limit, r.fillShare = 10, 12, 1
			r.scale = 1
			if target.role == edge && target != r.link {
				target.out = make([]*attempt, 10)
				target.fills = 0
			}
		}
		if g, ok := find[Get](r.Handle(time.Minute, q, nil)); ok && g.Source != g.Cache {
			count++
		}
	}
	return count
}

// In a jam of caches, of the link, or of all sources, a place goes to what earns most for its sending time: what is small
// goes in where what is large, by its own size and not by its class, and a client's repeat are turned away.
func TestJamTakesWhatEarnsMost(t *testing.T) {
	places := map[string]func(r *Router) []*target{
		"caches": func(r *Router) []*target { return r.caches },
		"link":   func(r *Router) []*target { return []*target{r.link} },
		"sources": func(r *Router) []*target {
			return append([]*target{r.origin}, r.parents...)
		},
	}
	repeat := sized("r", 50*ms)
	repeat.Repeat = true
	for name, at := range places {
		set := sizedSettings()
		for what, c := range map[string]struct {
			q           Request
			least, most int
		}{
			"small": {sized("s", 50*ms), 100, 100}, "large": {sized("l", 1200*ms), 0, 0}, "repeat": {repeat, 0, 0},
		} {
			if got := admitted(t, set, c.q, at); got < c.least || got > c.most {
				t.Errorf("%s jammed: %d of 100 took the %s one, want %d to %d", name, got, what, c.least, c.most)
			}
		}
	}
}

// Writes run at the origin past all limits: that they earn most by far left all other classes the same low standing, and
// tells nothing of who should have a place.
func TestWritesSetNoStanding(t *testing.T) {
	for _, worth := range []float64{0.001, 1000} {
		set := sizedSettings()
		set.Classes[1].Worth = worth
		s := start(t, set, fleet())
		s.on(sized("a", 50*ms))
		if got := s.r.standing(s.r.reqs["a"]); got != 1 {
			t.Errorf("writes worth %v leave a small object %v of a limit, want all", worth, got)
		}
	}
}

// What earns far less has a lower standing, step by step, and never none.
func TestStandingFallsInSteps(t *testing.T) {
	s := start(t, sizedSettings(), fleet())
	before := 1.0
	for i, own := range []time.Duration{50 * ms, 700 * ms, 2500 * ms} {
		id := fmt.Sprint(i)
		s.on(sized(id, own))
		got := s.r.standing(s.r.reqs[id])
		if i > 0 && got >= before || got <= 0.4 {
			t.Errorf("an object of %v has standing %v, after %v", own, got, before)
		}
		before = got
	}
}

// Sent straight to a parent that is down, as no cache of the location is up, a request is a trial: one at a time, with a
// trial's time, and its answer marks the parent up. The platform's first site never passes its caches by.
func TestPassByIsATrial(t *testing.T) {
	set := settings()
	set.MayPassBy = true
	s := start(t, set, fleet())
	for _, c := range s.r.caches {
		c.Down, c.TrialAt = true, s.now+time.Minute
	}
	for _, p := range s.r.parents {
		p.Down, p.TrialAt = true, s.now
	}
	g := s.get(s.on(req("a", "o")))
	parent := s.r.known[g.Cache]
	if parent.role != 1 || !parent.trialOut || g.Timeout > 1500*ms {
		t.Fatalf("got %+v, want a parent on trial for half of the time at most", g)
	}
	if again := s.get(s.on(req("b", "o"))); again.Cache == g.Cache {
		t.Errorf("parent %d has a second trial beside the first", again.Cache)
	}
	s.answer("a", g, NoteFilledOrigin, 10*ms)
	if parent.Down {
		t.Error("the trial's answer did not mark the parent up")
	}
}

// Only caches know the rank at which a copy is kept: a parent or the origin that is asked directly is told none.
func TestKeepsOnlyAtCaches(t *testing.T) {
	set := settings()
	set.MayPassBy = true
	s := start(t, set, fleet())
	if g := s.get(s.on(req("a", "o"))); g.Keep == 0 {
		t.Errorf("got %+v, want a copy kept at the cache", g)
	}
	for _, c := range s.r.caches {
		c.Down, c.TrialAt = true, s.now+time.Minute
	}
	if g := s.get(s.on(req("b", "p"))); s.r.known[g.Cache].role != parent || g.Keep != 0 {
		t.Errorf("got %+v, want a parent asked with no rank", g)
	}
}

// A write that the origin's connection failed tries again after a pause, not eight times in an instant: the origin restarts.
func TestWriteWaitsForTheOrigin(t *testing.T) {
	set := settings()
	set.MayPassBy, set.MaxTries = true, 8
	s := start(t, set, fleet())
	q := req("a", "o")
	q.Class = 1
	acts := s.on(q)
	if a, ok := find[Ask](acts); !ok || a.Cache != 20 {
		t.Fatalf("got %v, want the origin asked", acts)
	}
	acts = s.on(Outcome{ID: "a", Cache: 20, Result: ConnectFailed})
	for _, a := range acts {
		switch a := a.(type) {
		case Ask:
			t.Errorf("asked %d again at once", a.Cache)
		case Get:
			if a.Source == 20 {
				t.Errorf("asked the origin again at once, by cache %d", a.Cache)
			}
		}
	}
}
