package forward

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that apply to a single connection only (RFC 9110, 7.6.1), and older
// ones that some callers still send. The framing headers are among them, because the entry frames
// the body anew for each connection.
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

// HopByHop reports whether the header with the canonical name applies to a single connection only,
// either by definition or because it is listed in connection, the values of the message's
// Connection header.
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

// listContains reports whether a comma-separated list contains token, ignoring case.
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

// expectsContinue reports whether header contains "Expect: 100-continue".
func expectsContinue(header http.Header) bool {
	for _, value := range header["Expect"] {
		if listContains(value, "100-continue") {
			return true
		}
	}
	return false
}
