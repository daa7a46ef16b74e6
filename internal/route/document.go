package route

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"slices"

	"github.com/tealhall/tealhall/internal/fault"
)

// Document is a route table as it is published and passed between entries.
type Document struct {
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	// Problems are what the reader of the platform left out, and why.
	Problems []string `json:"problems,omitempty"`
}

const remedy = "correct the routes and publish them under a new revision"

// Encode returns the document in the form that Parse reads: the same bytes for
// the same routes, whatever order they were in.
func Encode(d Document) []byte {
	d.Routes = slices.SortedFunc(slices.Values(d.Routes), func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	d.Services = slices.SortedFunc(slices.Values(d.Services), func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	// The types hold strings and numbers only, which always encode.
	data, _ := json.Marshal(d)
	return data
}

// Parse compiles a document. Only one that can't be read is refused, by an error of kind
// fault.BadProfile: the platform has accepted it, and its operators count on it. What is odd in
// it is set right, or left out, one by one (Table.Problems). Unknown fields are ignored, so that
// a later release may add some.
func Parse(data []byte) (*Table, error) {
	var d Document
	decoder := json.NewDecoder(bytes.NewReader(data))
	err := decoder.Decode(&d)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			err = nil
		} else {
			err = errors.New("data after the document")
		}
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.BadProfile, remedy, "the routes are not readable")
	}
	found := problems{count: len(d.Problems), texts: d.Problems}
	t := &Table{services: found.usableServices(d.Services), routes: found.usableRoutes(d.Routes), limits: d.Limits, problems: found.list()}
	t.index()
	return t, nil
}
