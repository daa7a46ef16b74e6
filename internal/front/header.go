package front

import (
	"net/http"

	"github.com/tealhall/tealhall/internal/forward"
)

// RequestHeader returns a copy of a caller's headers without the hop-by-hop headers. The copy
// shares its values with in.
func RequestHeader(in http.Header) http.Header {
	return withoutHopByHop(make(http.Header, len(in)), in)
}

// ResponseHeader returns a copy of an endpoint's headers without the hop-by-hop headers. The copy
// shares its values with in.
func ResponseHeader(in http.Header) http.Header {
	return withoutHopByHop(make(http.Header, len(in)), in)
}

// withoutHopByHop adds the end-to-end headers of in to out.
func withoutHopByHop(out, in http.Header) http.Header {
	connection := in["Connection"]
	for name, values := range in {
		if !forward.HopByHop(name, connection) {
			out[name] = values
		}
	}
	return out
}
