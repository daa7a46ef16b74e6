package entry

import "github.com/tealhall/tealhall/internal/peer"

// PeerTraffic returns the traffic with peers so far: over the links that this entry opened, and
// over the links that peers opened to it.
func (e *Entry) PeerTraffic() (links []peer.LinkStats, server peer.ServerStats) {
	return e.links.Stats(), e.peerServer.Stats()
}
