package store

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/storestate"
)

// op is a call as its client saw it. An empty key is the configuration, any other a token id to spend.
type op struct {
	key  string
	base uint64
	read bool
}

// outcome is how a call ended. One that is unknown may have taken effect at any time since.
type outcome struct {
	ok, unknown bool
	revision    uint64
}

// model is that of one key: a token id that can be spent once, or a revision that is replaced by the next.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(uint64), input.(op), output.(outcome)
		switch {
		case in.read:
			if out.unknown || out.revision == s {
				return []any{s}
			}
		case in.key != "":
			if out.unknown {
				return []any{uint64(1)} // spent by this call or before it
			}
			if out.ok == (s == 0) {
				return []any{uint64(1)}
			}
		case out.unknown && s == in.base:
			return []any{s, s + 1}
		case out.unknown:
			return []any{s}
		case out.ok && s == in.base && out.revision == s+1:
			return []any{s + 1}
		case !out.ok && s != in.base && out.revision == s:
			return []any{s}
		}
		return nil
	},
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range history {
			by[o.Input.(op).key] = append(by[o.Input.(op).key], o)
		}
		var out [][]porcupine.Operation
		for _, h := range by {
			out = append(out, h)
		}
		return out
	},
	Equal:             func(a, b any) bool { return a == b },
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// recorder records the calls of all clients.
type recorder struct {
	began time.Time

	mu      sync.Mutex
	history []porcupine.Operation
}

// record makes a call and records it, unless the call is known to have had no effect: then there is nothing to order.
func (r *recorder) record(client int, in op, call func() (out outcome, hadEffect bool)) {
	start := time.Since(r.began).Nanoseconds()
	out, hadEffect := call()
	if !hadEffect {
		return
	}
	end := time.Since(r.began).Nanoseconds()
	if out.unknown {
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: start, Output: out, Return: end})
}

// client makes calls to random members, one after another.
type client struct {
	id       int
	cluster  *cluster
	recorder *recorder
	rng      *rand.Rand
	base     uint64 // the configuration revision that it knows
}

func (c *client) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		s := c.cluster.member(memberNames[c.rng.IntN(3)])
		switch c.rng.IntN(4) {
		case 0:
			c.setConfig(s, fmt.Sprint(c.id, n))
		case 1:
			c.readRevision(s)
		default:
			c.spendToken(s, fmt.Sprint("j", time.Since(c.recorder.began).Milliseconds()/40)) // many clients spend the same ids
		}
	}
}

func (c *client) setConfig(s *Store, text string) {
	base := c.base
	c.recorder.record(c.id, op{base: base}, func() (outcome, bool) {
		revision, err := s.SetConfig(base, text, "")
		switch {
		case err == nil || errors.Is(err, ErrConflict):
			c.base = revision
			return outcome{ok: err == nil, revision: revision}, true
		case errors.Is(err, ErrOutcomeUnknown):
			return outcome{unknown: true}, true
		}
		return outcome{}, false
	})
}

func (c *client) readRevision(s *Store) {
	c.recorder.record(c.id, op{read: true}, func() (outcome, bool) {
		var revision uint64
		err := s.ReadLinearizable(func(st *storestate.State) { revision = st.Revision().Number })
		return outcome{revision: revision}, err == nil
	})
}

func (c *client) spendToken(s *Store, jti string) {
	c.recorder.record(c.id, op{key: jti}, func() (outcome, bool) {
		err := s.SpendToken(jti, 9e15)
		switch {
		case err == nil || errors.Is(err, ErrTokenSpent):
			return outcome{ok: err == nil}, true
		case errors.Is(err, ErrOutcomeUnknown):
			return outcome{unknown: true}, true
		}
		return outcome{}, false
	})
}

var memberNames = []string{"a", "b", "c"}

// injectFaults cuts members off, and kills and restarts them, in turn.
func injectFaults(c *cluster, rng *rand.Rand) {
	for round := range 5 {
		time.Sleep(250 * time.Millisecond)
		name := memberNames[rng.IntN(3)]
		if round%2 == 0 {
			c.isolate(name, true)
			time.Sleep(400 * time.Millisecond)
			c.isolate(name, false)
			continue
		}
		c.member(name).Kill()
		time.Sleep(300 * time.Millisecond)
		c.open(name, Options{})
	}
	time.Sleep(300 * time.Millisecond)
}

// Clients spend token ids, change the configuration and read it while members are cut off, killed and restarted. Their history
// is linearizable.
func TestLinearizable(t *testing.T) {
	c := newCluster(t, memberNames...)
	c.leader()
	recorder := &recorder{began: time.Now()}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for id := range 6 {
		client := &client{id: id, cluster: c, recorder: recorder, rng: rand.New(rand.NewPCG(7, uint64(id)))}
		wait.Add(1)
		go func() {
			defer wait.Done()
			client.run(stop)
		}()
	}
	injectFaults(c, rand.New(rand.NewPCG(7, 99)))
	close(stop)
	wait.Wait()
	done, unknown := 0, 0
	for _, o := range recorder.history {
		if done++; o.Output.(outcome).unknown {
			unknown++
		}
	}
	require.Greater(t, done, 100)
	verdict, info := porcupine.CheckOperationsVerbose(model.ToModel(), recorder.history, time.Minute)
	if verdict != porcupine.Ok {
		path := t.TempDir() + "/history.html"
		_ = porcupine.VisualizePath(model.ToModel(), info, path)
	}
	require.Equal(t, porcupine.Ok, verdict)
	t.Logf("%d calls, of %d the outcome is unknown", done, unknown)
}
