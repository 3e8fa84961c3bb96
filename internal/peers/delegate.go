package peers

import (
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"ravenwheel/internal/logs"
)

// delegate tells memberlist of this process.
type delegate struct{ p *Peers }

func (d delegate) NodeMeta(limit int) []byte {
	raw, err := cbor.Marshal(memberMeta{Zone: d.p.options.Zone, Region: d.p.options.Region})
	if err != nil || len(raw) > limit {
		return nil
	}
	return raw
}

func (delegate) NotifyMsg([]byte)                {}
func (delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (delegate) LocalState(bool) []byte          { return nil }
func (delegate) MergeRemoteState([]byte, bool)   {}

// events takes what memberlist finds.
type events struct{ p *Peers }

func (e events) NotifyJoin(n *memberlist.Node) {
	e.p.sealer.resendCertificate(n.Name) // it may have started anew, and know nobody
	e.p.memberChanged(n, StateAlive)
}

func (e events) NotifyUpdate(n *memberlist.Node) { e.p.memberChanged(n, StateAlive) }

func (e events) NotifyLeave(n *memberlist.Node) {
	s := StateGone
	if n.State == memberlist.StateLeft {
		s = StateLeft
	}
	e.p.memberChanged(n, s)
}

// lines passes what memberlist logs on, as debug: what matters is said here.
type logWriter struct{ log *logs.Log }

func (l logWriter) Write(b []byte) (int, error) {
	l.log.Debug("peers").Msg(strings.TrimSpace(string(b)))
	return len(b), nil
}
