package front

import (
	"net/http"

	"github.com/tealhall/tealhall/internal/forward"
)

// RequestHeader returns a copy of a caller's headers without those that concern
// its connection only. The values are shared with in.
func RequestHeader(in http.Header) http.Header {
	return withoutHopByHop(make(http.Header, len(in)), in)
}

// ResponseHeader returns a copy of an endpoint's headers without those that
// concern its connection only. The values are shared with in.
func ResponseHeader(in http.Header) http.Header {
	return withoutHopByHop(make(http.Header, len(in)), in)
}

// withoutHopByHop adds to out what may be passed on of in.
func withoutHopByHop(out, in http.Header) http.Header {
	connection := in["Connection"]
	for name, values := range in {
		if !forward.HopByHop(name, connection) {
			out[name] = values
		}
	}
	return out
}
