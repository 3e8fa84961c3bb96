package admin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"ravenwheel/internal/decide/fleetview"
	"ravenwheel/internal/decide/serverlist"
)

// PeerRequest asks for something to be done about a member: "ping" or "forget".
type PeerRequest struct {
	Action string `json:"do"`
	Name   string `json:"name"`
}

func (a *Endpoint) peer(w http.ResponseWriter, r *http.Request) {
	var c PeerRequest
	err := json.NewDecoder(io.LimitReader(r.Body, mostSent)).Decode(&c)
	var took float64
	switch {
	case err != nil:
	case c.Action == "ping":
		took, err = a.opt.Peers.Ping(c.Name)
	case c.Action == "forget":
		err = a.opt.Peers.Forget(c.Name)
	default:
		err = fmt.Errorf("%q is neither ping nor forget", c.Action)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, map[string]float64{"took_ms": took})
}

// ViewResponse is what "view show" shows.
type ViewResponse struct {
	Peers        []fleetview.Peer        `json:"peers"`
	Servers      []ServerEstimate        `json:"servers"`
	HeavyHitters []fleetview.HeavyHitter `json:"heavy"`
}

// ServerEstimate is one server as the view has it; Said is who says what, where one server is asked for.
type ServerEstimate struct {
	ID string `json:"id"`
	fleetview.Estimate
	Reports []fleetview.Report `json:"said,omitempty"`
}

// heavyShown objects are shown.
const heavyShown = 20

func (a *Endpoint) view(w http.ResponseWriter, r *http.Request) {
	only := r.URL.Query().Get("server")
	out := ViewResponse{Servers: []ServerEstimate{}}
	a.opt.Peers.View(func(now float64, v *fleetview.View) {
		out.Peers, out.HeavyHitters = v.Peers(now), v.HeavyHitters(now, heavyShown)
		for _, id := range v.Servers() {
			if name := serverlist.FormatID(id); only == "" || only == name {
				s := ServerEstimate{ID: name, Estimate: v.Estimate(now, id)}
				if only != "" {
					s.Reports = v.Reports(now, id)
				}
				out.Servers = append(out.Servers, s)
			}
		}
	})
	reply(w, out)
}
