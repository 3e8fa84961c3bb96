package admin

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/source/filewatch"
	"ravenwheel/internal/strictjson"
	"ravenwheel/policy"
)

// ServerStatus is one cache server in a ServersResponse.
type ServerStatus struct {
	ID           string  `json:"id"`
	Addr         string  `json:"addr"`
	Zone         string  `json:"zone"`
	Kind         string  `json:"kind"`
	Phase        string  `json:"phase"` // name of the membership.Phase
	Weight       float64 `json:"weight"`
	TargetWeight float64 `json:"wanted_weight"`
	SinceMs      float64 `json:"since_ms"` // time at which the phase started, Unix ms
	Reason       string  `json:"why"`      // why the server is in this phase
	Source       string  `json:"source,omitempty"`
}

// ServersResponse answers GET /v1/servers.
type ServersResponse struct {
	Version uint64            `json:"version"` // of the set of servers in use
	NowMs   float64           `json:"now_ms"`  // Unix ms
	Servers []ServerStatus    `json:"servers"`
	List    *filewatch.Status `json:"list,omitempty"` // nil: no server list is watched
}

func (e *Endpoint) getServers(w http.ResponseWriter, _ *http.Request) {
	servers, version := e.options.Servers()
	out := ServersResponse{Version: version, NowMs: e.options.Clock.Now(), Servers: make([]ServerStatus, len(servers))}
	for i, s := range servers {
		out.Servers[i] = e.serverStatus(s)
	}
	if e.options.ListStatus != nil {
		status := e.options.ListStatus()
		out.List = &status
	}
	reply(w, out)
}

func (e *Endpoint) serverStatus(s membership.ServerStatus) ServerStatus {
	m := s.Member
	return ServerStatus{
		ID: serverlist.FormatID(m.ID), Addr: m.Addr, Zone: nameAt(e.options.Names.Zones, m.Zone), Kind: nameAt(e.options.Names.Kinds, m.Kind),
		Phase: s.Phase.String(), Weight: m.Weight, TargetWeight: s.TargetWeight, SinceMs: s.Since, Reason: s.Reason, Source: s.Source,
	}
}

// nameAt returns the name at an index, or the index as text if it is out of range.
func nameAt(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return strconv.Itoa(i)
	}
	return names[i]
}

// DrainRequest is the body of POST /v1/drain, and also its answer. It starts or ends a drain of one cache server.
type DrainRequest struct {
	ID string `json:"id"`
	On bool   `json:"on"`
}

// postDrain starts a drain of a server that is listed or still remembered, or ends the drain of any server. It answers 400 for
// a drain of any other server, 409 in a process that is not a member of the store, and 507 with the reason for other failures.
func (e *Endpoint) postDrain(w http.ResponseWriter, r *http.Request) {
	var request DrainRequest
	id, ok := policy.ServerID(0), false
	if decode(r, maxRequestBytes, &request) == nil {
		id, ok = serverlist.ParseID(request.ID)
	}
	if !ok || request.On && !e.hasServer(id) {
		http.Error(w, fmt.Sprintf("no server %q", request.ID), http.StatusBadRequest)
		return
	}
	drain := e.options.Operations.Drain
	if e.options.Controller != nil {
		drain = e.options.Controller.SetServerDrained // also tells a process that takes over
	}
	if err := drain(id, request.On); err != nil {
		replyFailure(w, "drain change not completed: ", err)
		return
	}
	e.options.Log.Info("drain").Str("id", request.ID).Bool("on", request.On).Msg("manual drain of a server changed")
	reply(w, request)
}

// hasServer reports whether a server is listed or still remembered.
func (e *Endpoint) hasServer(id policy.ServerID) bool {
	servers, _ := e.options.Servers()
	return slices.ContainsFunc(servers, func(s membership.ServerStatus) bool { return s.Member.ID == id })
}

// PushListRequest is the body of POST /v1/list. It puts a server list in use at all members of the store.
type PushListRequest struct {
	File string `json:"file"` // name of the list in errors
	Text string `json:"text"`
}

// PushListResponse answers POST /v1/list.
type PushListResponse struct {
	Generation uint64 `json:"generation"`
	Servers    int    `json:"servers"`
}

// maxListRequestBytes is the maximum size of a PushListRequest. JSON escapes may double the length of a list.
const maxListRequestBytes = 2 * strictjson.MaxBytes

// postList puts a list in use. It answers 400, with the defects, for a list that is not accepted.
func (e *Endpoint) postList(w http.ResponseWriter, r *http.Request) {
	var request PushListRequest
	err := decode(r, maxListRequestBytes, &request)
	var list *serverlist.List
	if err == nil {
		list, err = e.options.Operations.PushList(request.File, []byte(request.Text))
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, PushListResponse{Generation: list.Generation, Servers: len(list.Servers)})
}
