package fleetload

// peerTraffic is the number of bytes and of update messages that one entry exchanged with its
// peers. Bytes are those of the TCP streams, without packet headers.
type peerTraffic struct{ out, in, updates uint64 }

func (t peerTraffic) sub(earlier peerTraffic) peerTraffic {
	return peerTraffic{out: t.out - earlier.out, in: t.in - earlier.in, updates: t.updates - earlier.updates}
}

// peerTraffic returns the traffic of each entry so far.
func (f *fleet) peerTraffic() []peerTraffic {
	all := make([]peerTraffic, len(f.entries))
	for i, e := range f.entries {
		links, server := e.PeerTraffic()
		all[i].out, all[i].in = server.BytesOut, server.BytesIn
		for _, l := range links {
			all[i].out += l.BytesOut
			all[i].in += l.BytesIn
			all[i].updates += l.Messages
		}
	}
	return all
}
