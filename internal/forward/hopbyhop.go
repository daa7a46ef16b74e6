package forward

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1),
// with the older ones that some callers still send. The framing is made anew for
// each connection.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// HopByHop reports whether the header with the canonical name concerns one
// connection only, either by its nature or because connection, the values of
// the message's Connection header, names it.
func HopByHop(name string, connection []string) bool {
	if hopByHop[name] {
		return true
	}
	for _, value := range connection {
		if listContains(value, name) {
			return true
		}
	}
	return false
}

// listContains reports whether a comma-separated list holds token, in any case.
func listContains(list, token string) bool {
	for more := list != ""; more; {
		var item string
		item, list, more = strings.Cut(list, ",")
		if strings.EqualFold(strings.TrimSpace(item), token) {
			return true
		}
	}
	return false
}

// expectsContinue reports whether header asks for word before the body is sent.
func expectsContinue(header http.Header) bool {
	for _, value := range header["Expect"] {
		if listContains(value, "100-continue") {
			return true
		}
	}
	return false
}
