package admin

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"ravenwheel/internal/core"
)

// CountersResponse answers GET /v1/counters with the counters of core.Counters. All but InFlight only rise.
type CountersResponse struct {
	Attempts        int64 `json:"attempts"`
	Failed          int64 `json:"failed"`
	Abandoned       int64 `json:"gone"` // requests that their clients abandoned
	WrongTags       int64 `json:"misnamed"`
	Notifications   int64 `json:"notices"` // of purges and of changed members, to the router
	InFlight        int64 `json:"open"`    // requests that have no answer yet
	Rejected        int64 `json:"refused"`
	Requests        int64 `json:"requests"`
	Served          int64 `json:"served"`
	Skipped         int64 `json:"stale"`
	Timeouts        int64 `json:"timeouts"`
	UnansweredConns int64 `json:"unanswered"` // connections that were closed without an answer
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

// PurgeRequest is the body of POST /v1/purge. It names either an object, in 16 hexadecimal digits of either case, or a group.
type PurgeRequest struct {
	Object string `json:"object,omitempty"`
	Group  *int   `json:"group,omitempty"`
}

// PurgeResponse answers POST /v1/purge.
type PurgeResponse struct {
	PurgedMs float64 `json:"purged_ms"` // Unix ms; older copies are invalid
}

// maxGroup is the highest number that a purge group can have.
const maxGroup = 255

var errPurgeRequest = errors.New("request must name either an object of 16 hexadecimal digits or a group from 0 to 255")

// purge converts the request to a purge at the time now, in Unix ms. A copy made in the same millisecond counts as older.
func (p PurgeRequest) purge(now float64) (core.Purge, error) {
	q := core.Purge{Object: strings.ToLower(p.Object), Group: -1, At: now + core.TimestampResolution}
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

// postPurge purges an object or a group. It answers 400 for a request that does not name exactly one of them, 409 in a process
// that is not a member of the store, and 507 if the purge is in force but not stored.
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
	Phase string `json:"phase"` // a text for people, not for programs
}

func (e *Endpoint) getStatus(w http.ResponseWriter, _ *http.Request) {
	text, ready := e.options.Controller.Status()
	reply(w, StatusResponse{Ready: ready, Phase: text})
}

// PauseRequest is the body of POST /v1/pause. It starts or ends a drain of the whole proxy.
type PauseRequest struct {
	On bool `json:"on"`
}

// postPause starts or ends a drain of this proxy. It answers 409 in a phase in which that has no effect, and for a request that
// can't be decoded.
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
