package route

import (
	"cmp"
	"crypto/sha256"
	stdjson "encoding/json"
	"slices"
	"sync"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/tealhall/tealhall/internal/fault"
)

// Document is a route table in the form in which it is published and passed between entries.
type Document struct {
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	// Problems describe what the entry that reads the platform left out, and why.
	Problems []string `json:"problems,omitempty"`
}

const remedy = "correct the routes and publish them under a new revision"

// Encode returns the document in the form that Parse reads. The result does not depend on the order
// of routes and services.
func Encode(d Document) []byte {
	d.Routes = slices.SortedFunc(slices.Values(d.Routes), func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	d.Services = slices.SortedFunc(slices.Values(d.Services), func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	// The types contain only strings and numbers, so encoding cannot fail. Releases must encode a
	// document alike, since its digest distinguishes it from another text of the same revision.
	data, _ := stdjson.Marshal(d)
	return data
}

// Parse compiles a document into a Table, as Decoder.Parse does.
func Parse(data []byte) (*Table, error) { return new(Decoder).Parse(data) }

// Decoder parses the revisions of a document. It remembers the routes of the latest one: of thousands
// of routes a revision changes few, and decoding all of them takes most of the time until it is in
// force. It is safe for concurrent use.
type Decoder struct {
	mu    sync.Mutex
	known decodedRoutes
}

// decodedRoutes maps the hashes of encoded routes to the routes. It is not modified once built.
type decodedRoutes map[[sha256.Size]byte]Route

// skipNameCheck leaves out the check for repeated names, which a document from Encode does not need.
var skipNameCheck = jsontext.AllowDuplicateNames(true)

// encodedDocument is a Document whose routes are decoded one by one.
type encodedDocument struct {
	Routes   []jsontext.Value `json:"routes"`
	Services []Service        `json:"services"`
	Limits   Limits           `json:"limits"`
	Problems []string         `json:"problems"`
}

// Parse compiles a document into a Table. It refuses only a document that cannot be decoded, with
// an error of kind fault.BadProfile, because the platform has accepted the document and operators
// rely on it. Invalid routes and services are corrected or left out one by one; see Table.Problems.
// Unknown fields are ignored, so that a later release may add fields.
func (d *Decoder) Parse(data []byte) (*Table, error) {
	var encoded encodedDocument
	if err := json.Unmarshal(data, &encoded, skipNameCheck); err != nil {
		return nil, undecodable(err)
	}
	routes, err := d.decodeRoutes(encoded.Routes)
	if err != nil {
		return nil, undecodable(err)
	}
	found := problems{count: len(encoded.Problems), texts: encoded.Problems}
	t := &Table{services: found.usableServices(encoded.Services), routes: found.usableRoutes(routes), limits: encoded.Limits, problems: found.list()}
	t.index()
	return t, nil
}

func undecodable(err error) error {
	return fault.Wrap(err, fault.BadProfile, remedy, "the routes document cannot be decoded")
}

// decodeRoutes decodes routes, or finds them among those of the latest document.
func (d *Decoder) decodeRoutes(encoded []jsontext.Value) ([]Route, error) {
	d.mu.Lock()
	known := d.known
	d.mu.Unlock()
	routes, next := make([]Route, len(encoded)), make(decodedRoutes, len(encoded))
	for i, value := range encoded {
		key := sha256.Sum256(value)
		r, found := known[key]
		if !found {
			if err := json.Unmarshal(value, &r, skipNameCheck); err != nil {
				return nil, err
			}
		}
		routes[i], next[key] = r, r
	}
	d.mu.Lock()
	d.known = next
	d.mu.Unlock()
	return routes, nil
}
