package admin

import (
	"fmt"
	"net/http"

	"ravenwheel/internal/decide/fleetview"
	"ravenwheel/internal/decide/serverlist"
)

// getPeers answers with the state of the peers. With members=no in the query, the answer has no list of members: a caller that
// asks hundreds of processes would otherwise get hundreds of members from each, which is a load of its own.
func (e *Endpoint) getPeers(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("members") == "no" {
		reply(w, e.options.Peers.Summary())
		return
	}
	reply(w, e.options.Peers.Status())
}

// The actions of a PeerRequest.
const (
	peerPing   = "ping"
	peerForget = "forget"
)

// PeerRequest is the body of POST /v1/peers: it pings or forgets a member.
type PeerRequest struct {
	Action string `json:"do"` // ping or forget
	Name   string `json:"name"`
}

// PeerResponse answers POST /v1/peers.
type PeerResponse struct {
	TookMs float64 `json:"took_ms"` // round-trip time of a ping; 0 for other actions
}

func (e *Endpoint) postPeers(w http.ResponseWriter, r *http.Request) {
	var request PeerRequest
	err := decode(r, maxRequestBytes, &request)
	var took float64
	if err == nil {
		took, err = e.peerAction(request)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, PeerResponse{TookMs: took})
}

func (e *Endpoint) peerAction(request PeerRequest) (tookMs float64, err error) {
	switch request.Action {
	case peerPing:
		return e.options.Peers.Ping(request.Name)
	case peerForget:
		return 0, e.options.Peers.Forget(request.Name)
	}
	return 0, fmt.Errorf("action %q is neither ping nor forget", request.Action)
}

// ViewResponse answers GET /v1/view with the load and health of cache servers as the peers report them.
type ViewResponse struct {
	Peers        []fleetview.Peer        `json:"peers"`
	Servers      []ServerEstimate        `json:"servers"`
	HeavyHitters []fleetview.HeavyHitter `json:"heavy"` // at most maxHeavyHitters
}

// ServerEstimate is the estimate for one cache server in a ViewResponse.
type ServerEstimate struct {
	ID string `json:"id"`
	fleetview.Estimate
	Reports []fleetview.Report `json:"said,omitempty"` // one of each peer; only if the request names a server
}

// maxHeavyHitters is the maximum number of heavy hitters in a ViewResponse.
const maxHeavyHitters = 20

// getView answers with the estimates for all servers, or for the one that the query parameter server names.
func (e *Endpoint) getView(w http.ResponseWriter, r *http.Request) {
	only := r.URL.Query().Get("server")
	out := ViewResponse{Servers: []ServerEstimate{}}
	e.options.Peers.View(func(now float64, v *fleetview.View) {
		out.Peers, out.HeavyHitters = v.Peers(now), v.HeavyHitters(now, maxHeavyHitters)
		for _, id := range v.Servers() {
			name := serverlist.FormatID(id)
			if only != "" && only != name {
				continue
			}
			s := ServerEstimate{ID: name, Estimate: v.Estimate(now, id)}
			if only != "" {
				s.Reports = v.Reports(now, id)
			}
			out.Servers = append(out.Servers, s)
		}
	})
	reply(w, out)
}
