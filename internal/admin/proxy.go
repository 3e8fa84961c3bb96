package admin

import (
	"errors"
	"net/http"
	"strconv"

	"ravenwheel/internal/core"
)

// CountersResponse answers GET /v1/counters: the counters of core.Counters, which only rise, except InFlight.
type CountersResponse struct {
	Attempts        int64 `json:"attempts"`
	Failed          int64 `json:"failed"`
	Abandoned       int64 `json:"gone"` // abandoned by their clients
	WrongTags       int64 `json:"misnamed"`
	Notifications   int64 `json:"notices"` // of purges and of members, to the router
	InFlight        int64 `json:"open"`    // in flight
	Rejected        int64 `json:"refused"` // rejected
	Requests        int64 `json:"requests"`
	Served          int64 `json:"served"`
	Skipped         int64 `json:"stale"` // skipped
	Timeouts        int64 `json:"timeouts"`
	UnansweredConns int64 `json:"unanswered"` // connections closed without an answer
	NeverSent       int64 `json:"unsent"`
}

func (e *Endpoint) getCounters(w http.ResponseWriter, _ *http.Request) {
	n := &e.options.Core.Counters
	reply(w, CountersResponse{
		Attempts: n.Attempts.Load(), Failed: n.Failed.Load(), Abandoned: n.Abandoned.Load(), WrongTags: n.WrongTags.Load(),
		Notifications: n.Notifications.Load(), InFlight: n.InFlight.Load(), Rejected: n.Rejected.Load(), Requests: n.Requests.Load(),
		Served: n.Served.Load(), Skipped: n.Skipped.Load(), Timeouts: n.Timeouts.Load(), UnansweredConns: n.UnansweredConns.Load(),
		NeverSent: n.NeverSent.Load(),
	})
}

func (e *Endpoint) getState(w http.ResponseWriter, _ *http.Request) {
	if e.options.State == nil {
		http.Error(w, "no state is stored", http.StatusNotFound)
		return
	}
	reply(w, e.options.State.Status())
}

// PurgeRequest is the body of POST /v1/purge: it names an object, in 16 hexadecimal digits, or a group.
type PurgeRequest struct {
	Object string `json:"object,omitempty"`
	Group  *int   `json:"group,omitempty"`
}

// PurgeResponse answers POST /v1/purge.
type PurgeResponse struct {
	PurgedMs float64 `json:"purged_ms"` // Unix ms; copies of before are invalid
}

// maxGroup is the highest number of a purge group.
const maxGroup = 255

var errPurgeRequest = errors.New("request must name either an object of 16 hexadecimal digits or a group from 0 to 255")

// purge returns the purge of an object, or of a group. A copy made in the same millisecond counts as older.
func (p PurgeRequest) purge(now float64) (core.Purge, error) {
	q := core.Purge{Object: p.Object, Group: -1, At: now + core.TimestampResolution}
	if p.Group == nil {
		if _, err := strconv.ParseUint(p.Object, 16, 64); err != nil || len(p.Object) != 16 {
			return q, errPurgeRequest
		}
		return q, nil
	}
	q.Group = *p.Group
	if p.Object != "" || q.Group < 0 || q.Group > maxGroup {
		return q, errPurgeRequest
	}
	return q, nil
}

// postPurge purges an object or a group. It answers 400 for a request that names neither, 409 in a process that is no
// member of the store, and 507 if the purge is in force but not stored.
func (e *Endpoint) postPurge(w http.ResponseWriter, r *http.Request) {
	var request PurgeRequest
	if err := decode(r, maxRequestBytes, &request); err != nil {
		http.Error(w, errPurgeRequest.Error(), http.StatusBadRequest)
		return
	}
	purge, err := request.purge(e.options.Clock.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.options.Operations.Purge(purge); err != nil {
		replyFailure(w, "in force here, but not stored: ", err)
		return
	}
	e.options.Log.Info("purge").Str("object", purge.Object).Int("group", purge.Group).Msg("purged by an operator")
	reply(w, PurgeResponse{PurgedMs: purge.At})
}

// StatusResponse answers GET /v1/status and POST /v1/pause.
type StatusResponse struct {
	Ready bool   `json:"ready"` // for clients
	Phase string `json:"phase"` // as text, for people
}

func (e *Endpoint) getStatus(w http.ResponseWriter, _ *http.Request) {
	text, ready := e.options.Controller.Status()
	reply(w, StatusResponse{Ready: ready, Phase: text})
}

// PauseRequest is the body of POST /v1/pause: it starts or ends a drain of the whole proxy.
type PauseRequest struct {
	On bool `json:"on"`
}

// postPause drains this proxy, or ends its drain. It answers 409 in a phase in which that has no
// effect, and for a request that cannot be read.
func (e *Endpoint) postPause(w http.ResponseWriter, r *http.Request) {
	var request PauseRequest
	err := decode(r, maxRequestBytes, &request)
	if err == nil {
		err = e.options.Controller.SetDraining(request.On)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	e.options.Log.Info("pause").Bool("on", request.On).Msg("manual drain of the proxy changed")
	e.getStatus(w, r)
}
