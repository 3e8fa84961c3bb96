// Package core runs the requests of one proxy from their arrival to their final answer. Fronts pass requests to Core.Do, the router
// of package policy decides on each attempt, and an Upstream carries the attempts to cache servers. The package has no wire format.
// It makes two decisions of its own: how long a decision of the router stays valid (decisionLifetime, retryDeadline), and how many
// requests may be open at once (Core.SetMaxRequests). The tests run it over scripted upstreams.
package core

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"ravenwheel/internal/atmostonce"
	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/policy"
)

const (
	// maxAttempts bounds the attempts of a request if the settings have no limit or a higher one: a request's inbox is sized by it.
	maxAttempts = 64
	// defaultMaxRequests bounds the open requests if New is called without a bound.
	defaultMaxRequests = 4096
	// maxRouterLogLines bounds how many of the router's messages are logged in the lifetime of the process.
	maxRouterLogLines = 500
	// maxDecisionLifetime, in ms, bounds the time from a decision until the first byte of its attempt is written.
	maxDecisionLifetime = 500
	// TimestampResolution is the resolution of timestamps in ms. A copy may be older than a purge with the same timestamp.
	TimestampResolution = 1
)

// Member is a cache server with its address.
type Member = membership.Member

// Purge is a purge of an object or, if Object is empty, of a group.
type Purge struct {
	Object string
	Group  int
	At     float64 // ms of the clock; older copies are invalid
}

// Core runs the requests of one proxy. Its exported fields are set before the first event.
type Core struct {
	Counters    Counters
	Log         func(text string) // receives the router's messages; nil: they are dropped
	LoadCounter *LoadCounter      // counts the load for the fleet's view; nil: nothing is counted
	// AtMostOnce remembers the requests that must not run twice; nil: only those that are open are known.
	AtMostOnce *atmostonce.Registry
	// CatchUp waits until the events that discovery has already sent are processed, and reports whether there were any. It may be
	// nil.
	CatchUp func() (behind bool)

	clock            *clock.Clock
	upstream         Upstream
	settings         policy.Settings
	settingsDigest   [sha256.Size]byte
	classes          []string // names of the classes, in the order of the settings
	maxRequests      atomic.Int64
	decisionLifetime float64 // ms

	mu          sync.Mutex // guards what follows
	router      *policy.Router
	actions     []policy.Action // reused for each event
	requests    map[string]*openRequest
	timers      map[uint64]func() // stops each timer of the router, by token
	loggedLines int
}

// New returns a core with a new Router. classes are the names of the settings' classes. maxRequests bounds the requests that are
// open at once; 0 stands for 4096. New fails if the number of names differs from the number of classes, or if policy.New rejects
// the settings.
func New(
	settings policy.Settings, classes []string, maxRequests int, seed uint64, c *clock.Clock, upstream Upstream,
) (*Core, error) {
	if len(classes) != len(settings.Classes) {
		return nil, fmt.Errorf("core: got %d class names, want %d as in the settings", len(classes), len(settings.Classes))
	}
	if settings.MaxAttempts <= 0 || settings.MaxAttempts > maxAttempts {
		settings.MaxAttempts = maxAttempts
	}
	router, err := policy.New(settings, seed)
	if err != nil {
		return nil, err
	}
	digest, err := digestOf(settings)
	if err != nil {
		return nil, err
	}
	if maxRequests <= 0 {
		maxRequests = defaultMaxRequests
	}
	core := &Core{
		clock: c, upstream: upstream, settings: settings, settingsDigest: digest, classes: classes,
		decisionLifetime: decisionLifetime(settings), router: router, requests: map[string]*openRequest{}, timers: map[uint64]func(){},
	}
	core.maxRequests.Store(int64(maxRequests))
	return core, nil
}

// decisionLifetime is how long, in ms, a decision of the router stays valid: the first byte of its attempt must be written within
// this time. A drain or purge that is reported meanwhile must be respected by every attempt whose first byte is written after the
// grace period, so half of the shorter grace period is safe.
func decisionLifetime(settings policy.Settings) float64 {
	lifetime := float64(maxDecisionLifetime)
	for _, grace := range []float64{clock.Ms(settings.DrainGrace), clock.Ms(settings.PurgeGrace)} {
		if grace > 0 {
			lifetime = min(lifetime, grace/2)
		}
	}
	return lifetime
}

// SetMaxRequests changes how many requests may be open at once. Requests that are already open are not affected.
func (c *Core) SetMaxRequests(n int) { c.maxRequests.Store(int64(n)) }

// Settings returns the settings with which the core was started.
func (c *Core) Settings() policy.Settings { return c.settings }

// CountUnansweredConn counts a connection that a front closed before its first answer.
func (c *Core) CountUnansweredConn() { c.Counters.UnansweredConns.Add(1) }

// ClassIndex returns the index of the class with this name, or -1 if there is none.
func (c *Core) ClassIndex(name string) int { return slices.Index(c.classes, name) }

// canonicalObject returns the form of an object's name by which the router knows the object. The name is a number in hexadecimal, and
// a purge of it binds whatever the case in which either is written.
func canonicalObject(name string) string { return strings.ToLower(name) }

// ApplyPurge applies a purge. Its time is limited to TimestampResolution ms after the present.
func (c *Core) ApplyPurge(p Purge) {
	c.Counters.Notifications.Add(1)
	now := c.clock.Now()
	c.notify(policy.Purged{Object: canonicalObject(p.Object), Group: p.Group, Age: clock.Duration(now - min(now+TimestampResolution, p.At))})
}

// SetDiscoveryOverdue tells the router whether discovery has sent nothing for too long. If overdue is true, purges issued up to the
// time until, in ms of the clock, may not have been reported; if false, all have been reported.
func (c *Core) SetDiscoveryOverdue(overdue bool, until float64) {
	now := c.clock.Now()
	c.notify(policy.DiscoveryOverdue{Overdue: overdue, Age: clock.Duration(max(0, now-until))})
}

// UpdateMembers applies an update of the list of servers. The upstream gets the update before the router does, since the router
// must not choose a server that the upstream does not know.
func (c *Core) UpdateMembers(update membership.Publish) {
	c.Counters.Notifications.Add(1)
	event := policy.Members{Version: int64(update.Version)}
	if update.Complete {
		event.Kind = policy.ListFull
	}
	for _, member := range update.Members {
		event.Entries = append(event.Entries, member.Member)
	}
	if c.LoadCounter != nil {
		c.LoadCounter.updateServers(update.Members, update.Complete)
	}
	c.upstream.UpdateMembers(update.Members, update.Complete)
	c.notify(event)
}

// notify passes an event to the router and carries out the resulting actions in order. Actions that concern a request are delivered
// to the goroutine of that request.
func (c *Core) notify(event policy.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.actions = c.router.Handle(clock.Duration(c.clock.Now()), event, c.actions[:0])
	for _, action := range c.actions {
		switch a := action.(type) {
		case policy.Lookup:
			c.deliver(a.ID, action)
		case policy.Fetch:
			c.deliver(a.ID, action)
		case policy.Cancel:
			c.deliver(a.ID, action)
		case policy.Reject:
			c.deliver(a.ID, action)
		case policy.Fail:
			c.deliver(a.ID, action)
		case policy.SetTimer:
			c.setTimer(a)
		case policy.StopTimer:
			if stop := c.timers[a.Token]; stop != nil {
				stop()
				delete(c.timers, a.Token)
			}
		case policy.Log:
			if c.loggedLines++; c.loggedLines <= maxRouterLogLines && c.Log != nil {
				c.Log(a.Text)
			}
		}
	}
}

// setTimer sets a timer of the router. The caller must hold mu.
func (c *Core) setTimer(timer policy.SetTimer) {
	c.timers[timer.Token] = c.clock.After(clock.Ms(timer.After), func() {
		c.mu.Lock()
		delete(c.timers, timer.Token)
		c.mu.Unlock()
		c.notify(policy.Timer{Token: timer.Token})
	})
}
