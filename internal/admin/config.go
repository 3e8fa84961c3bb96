package admin

import (
	"net/http"
	"slices"

	"ravenwheel/internal/config"
	"ravenwheel/internal/decide/storestate"
)

// ConfigResponse answers GET /v1/config.
type ConfigResponse struct {
	InForce   uint64                `json:"in_force"`  // number of the revision in force
	Revisions []storestate.Revision `json:"revisions"` // the stored revisions, oldest first
	StaleMs   float64               `json:"stale_ms"`  // time since this member last had contact with a leader
}

func (e *Endpoint) getConfig(w http.ResponseWriter, _ *http.Request) {
	out := ConfigResponse{StaleMs: e.options.Store.Status().StaleMs}
	e.options.Store.ReadLocal(func(s *storestate.State) {
		out.InForce, out.Revisions = s.Revision().Number, slices.Clone(s.Revisions)
	})
	reply(w, out)
}

// ConfigRequest is the body of POST /v1/config. It replaces revision Base with Text, or rolls back to revision RollbackTo.
type ConfigRequest struct {
	Base       uint64 `json:"base"`
	Text       string `json:"text"`
	Author     string `json:"by"`
	RollbackTo uint64 `json:"back"` // 0: no rollback, Text is the new revision
}

// ConfigChangeResponse answers POST /v1/config.
type ConfigChangeResponse struct {
	Revision uint64 `json:"revision"`
}

// postConfig changes the shared configuration. It answers 409 with the reason if the change is not accepted, or if the request
// can't be decoded.
func (e *Endpoint) postConfig(w http.ResponseWriter, r *http.Request) {
	var request ConfigRequest
	err := decode(r, maxRequestBytes, &request)
	var revision uint64
	if err == nil {
		revision, err = e.changeConfig(request)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	reply(w, ConfigChangeResponse{Revision: revision})
}

func (e *Endpoint) changeConfig(c ConfigRequest) (revision uint64, err error) {
	if c.RollbackTo > 0 {
		return e.options.Store.Rollback(c.RollbackTo, c.Author)
	}
	if _, err := config.ParseLive("revision", c.Text); err != nil {
		return 0, err
	}
	return e.options.Store.SetConfig(c.Base, c.Text, c.Author)
}
