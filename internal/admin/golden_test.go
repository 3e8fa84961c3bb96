package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/fleetview"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/distribution"
	"ravenwheel/internal/golden"
	"ravenwheel/internal/source/discoveryclient"
	"ravenwheel/internal/source/filewatch"
	"ravenwheel/policy"
)

// checkMessage encodes a message as an answer is encoded and compares it with its golden file. It also decodes that file, which
// must give the same value.
func checkMessage[T any](t *testing.T, name string, value T) {
	t.Helper()
	w := httptest.NewRecorder()
	reply(w, value)
	golden.Equal(t, name, w.Body.Bytes())
	var decoded T
	require.NoError(t, json.Unmarshal(golden.Read(t, name), &decoded))
	require.Equal(t, value, decoded, name)
	w = httptest.NewRecorder()
	reply(w, decoded)
	golden.Equal(t, name, w.Body.Bytes())
}

func TestGoldenMessages(t *testing.T) {
	checkMessage(t, "servers.json", ServersResponse{
		Version: 9, NowMs: 1000.5, Servers: []ServerStatus{{
			ID: "s-00c41f7a", Addr: "10.1.0.9:4100", Zone: "east", Kind: "std", Phase: "draining", Weight: 4, TargetWeight: 8,
			SinceMs: 900.25,
			Reason:  "drained by hand", Source: "board",
		}},
		List: &filewatch.Status{Path: "servers.jsonc", Generation: 7, AcceptedMs: 1, Reasons: []string{"torn"}, RejectedMs: 2, Reads: 3, Accepted: 4, Rejected: 5},
	})
	checkMessage(t, "servers-empty.json", ServersResponse{Servers: []ServerStatus{{ID: "s-00000001"}}})
	group, zero := 17, 0
	checkMessage(t, "purge-object.json", PurgeRequest{Object: "7f3a9c21e0b4d655"})
	checkMessage(t, "purge-group.json", PurgeRequest{Group: &group})
	checkMessage(t, "purge-group-0.json", PurgeRequest{Group: &zero})
	checkMessage(t, "status.json", StatusResponse{Ready: true, Phase: "serving"})
	checkMessage(t, "pause.json", PauseRequest{On: true})
	checkMessage(t, "drain.json", DrainRequest{ID: "s-00c41f7a", On: true})
	checkMessage(t, "list.json", PushListRequest{File: "servers.jsonc", Text: "{\"generation\": 1}\n"})
	checkMessage(t, "config.json", ConfigResponse{
		InForce: 2, StaleMs: 3.5,
		Revisions: []storestate.Revision{{Number: 1, CreatedAt: 10.5, Author: "ann", Text: "{}", RollbackOf: 4}, {Number: 2, CreatedAt: 11, Text: "{}"}},
	})
	checkMessage(t, "configure.json", ConfigRequest{Base: 1, Text: "{}", Author: "ann", RollbackTo: 2})
	checkMessage(t, "peer-call.json", PeerRequest{Action: "ping", Name: "proxy-1"})
	value := fleetview.BoundedValue{Value: 1.5, Low: 1, High: 2}
	checkMessage(t, "view.json", ViewResponse{
		Peers: []fleetview.Peer{{Name: "proxy-1", Zone: "east", Incarnation: 5, Age: 100.5, Arrivals: 20, Servers: 3}},
		Servers: []ServerEstimate{
			{
				ID:       "s-00c41f7a",
				Estimate: fleetview.Estimate{Reporters: 2, Load: value, Failing: value, Overdue: value, P50: 3, P90: 9, OwnWeight: 0.5},
				Reports:  []fleetview.Report{{Name: "proxy-1", Zone: "east", Age: 7, Attempts: 8, Failing: 0.25, Latency: fleetview.Latency{1, 2}}},
			},
			{ID: "s-00000001"},
		},
		HeavyHitters: []fleetview.HeavyHitter{{Object: 0x7f3a9c21e0b4d655, Rate: value, Reporters: 2}},
	})
	checkMessage(t, "discovery.json", discoveryclient.Status{
		Address: "127.0.0.1:4200", LastEvent: 1, Calls: 2, Responded: 3, Failed: 4, Disconnected: 5, Closed: 6, AddressChanges: 7,
		Frames: 8, EventsAfterSilence: 9,
		Overdue: 10, SinceLastFrameMs: 11.5, LongestSilenceMs: 12,
	})
}

// PeerResponse and ConfigChangeResponse are encoded as in the golden files.
func TestGoldenResults(t *testing.T) {
	for name, result := range map[string]any{
		"peer-result.json":      PeerResponse{TookMs: 1.5},
		"configure-result.json": ConfigChangeResponse{Revision: 3},
	} {
		w := httptest.NewRecorder()
		reply(w, result)
		golden.Equal(t, name, w.Body.Bytes())
	}
}

// fakeOperations implements Operations and Controller. If err is set, every change fails with it.
type fakeOperations struct{ err error }

func (g fakeOperations) Status() (string, bool)                       { return "draining, 3 connections left", false }
func (g fakeOperations) SetDraining(bool) error                       { return g.err }
func (g fakeOperations) SetServerDrained(policy.ServerID, bool) error { return g.err }
func (g fakeOperations) Purge(core.Purge) error                       { return g.err }
func (g fakeOperations) Drain(policy.ServerID, bool) error            { return g.err }
func (g fakeOperations) PushList(string, []byte) (*serverlist.List, error) {
	return &serverlist.List{Generation: 8, Servers: make([]serverlist.Server, 2)}, g.err
}

func startEndpoint(t *testing.T, err error) *Endpoint {
	readyServer := membership.ServerStatus{
		Phase: membership.Ready, Since: 900.25, Reason: "board 7", Source: "board", TargetWeight: 8,
		Member: membership.Member{Addr: "10.1.0.9:4100", Member: policy.Member{ID: 0x00c41f7a, Zone: 1, Kind: 0, Weight: 4}},
	}
	unknownKindServer := membership.ServerStatus{Phase: membership.Gone, Member: membership.Member{Member: policy.Member{ID: 1, Zone: 7, Kind: -1}}}
	proxy := &core.Core{}
	for i, counter := range []interface{ Add(int64) int64 }{
		&proxy.Counters.Requests, &proxy.Counters.Served, &proxy.Counters.Rejected, &proxy.Counters.Failed, &proxy.Counters.Abandoned,
		&proxy.Counters.Attempts, &proxy.Counters.Timeouts, &proxy.Counters.Skipped, &proxy.Counters.Notifications,
		&proxy.Counters.InFlight,
		&proxy.Counters.NeverSent, &proxy.Counters.UnansweredConns, &proxy.Counters.WrongTags,
	} {
		counter.Add(int64(i + 1))
	}
	endpoint, listenErr := Listen(Options{
		Listen: "127.0.0.1:0", Clock: clock.Manual(1_764_576_000_000),
		Names: discoveryclient.Names{Zones: []string{"hub", "east"}, Kinds: []string{"std"}},
		Core:  proxy, Servers: func() ([]membership.ServerStatus, uint64) {
			return []membership.ServerStatus{readyServer, unknownKindServer}, 9
		},
		ListStatus:   func() filewatch.Status { return filewatch.Status{Path: "servers.jsonc", Generation: 7} },
		Discovery:    func() discoveryclient.Status { return discoveryclient.Status{Address: "127.0.0.1:4200", LastEvent: 1} },
		Distribution: func() []distribution.Status { return nil },
		Operations:   fakeOperations{err}, Controller: fakeOperations{err},
	})
	require.NoError(t, listenErr)
	go endpoint.Serve()
	t.Cleanup(endpoint.Close)
	return endpoint
}

// recordCall makes one call and appends the request and the answer to the transcript. Of a failure, it appends no text: that is
// for people, and may change.
func recordCall(t *testing.T, endpoint *Endpoint, transcript *bytes.Buffer, method, path, body string) {
	request, err := http.NewRequest(method, "http://"+endpoint.Addr()+path, strings.NewReader(body))
	require.NoError(t, err)
	answer, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	if answer.StatusCode != http.StatusOK {
		text = []byte("(a reason, for people)\n")
	}
	fmt.Fprintf(transcript, "> %s %s %s\n< %d %s\n%s\n", method, path, body, answer.StatusCode, answer.Header.Get("Content-Type"), text)
}

// Every call of the admin interface, with valid and invalid requests, and with failing operations, has the status and answer in
// the golden file.
func TestGoldenCalls(t *testing.T) {
	var transcript bytes.Buffer
	a := startEndpoint(t, nil)
	for _, path := range []string{"servers", "counters", "state", "status", "discovery", "distribution", "config", "peers", "view", "none"} {
		recordCall(t, a, &transcript, http.MethodGet, "/v1/"+path, "")
	}
	for _, call := range [][2]string{
		{"purge", `{"object":"7f3a9c21e0b4d655"}`}, {"purge", `{"group":17}`}, {"purge", `{"group":0}`}, {"purge", `{"group":256}`},
		{"purge", `{"group":-1}`}, {"purge", `{"object":"7f3a9c21e0b4d655","group":17}`}, {"purge", `{"object":"7f3a"}`},
		{"purge", `{}`}, {"purge", `{`},
		{"drain", `{"id":"s-00c41f7a","on":true}`}, {"drain", `{"id":"s-00c41f7a","on":false}`},
		{"drain", `{"id":"s-00000009","on":true}`},
		{"drain", `{"id":"s-00000009","on":false}`}, {"drain", `{"id":"x","on":true}`}, {"drain", `{`},
		{"pause", `{"on":true}`}, {"pause", `{"on":false}`}, {"pause", `{`},
		{"list", `{"file":"servers.jsonc","text":"{}"}`}, {"list", `{`}, {"config", `{}`}, {"peers", `{}`}, {"servers", `{}`},
	} {
		recordCall(t, a, &transcript, http.MethodPost, "/v1/"+call[0], call[1])
	}
	failures := []error{errors.New("disk full"), ErrNotMember}
	for _, failure := range failures {
		a := startEndpoint(t, failure)
		for _, call := range [][2]string{
			{"purge", `{"group":17}`}, {"drain", `{"id":"s-00c41f7a","on":true}`}, {"pause", `{"on":true}`},
			{"list", `{"file":"servers.jsonc","text":"{}"}`},
		} {
			recordCall(t, a, &transcript, http.MethodPost, "/v1/"+call[0], call[1])
		}
	}
	golden.Equal(t, "calls.txt", transcript.Bytes())
}
