package profile

import (
	"fmt"
	"strings"
)

// maxProblemsInMessage bounds the text of a DocumentError; its Problems are always complete.
const maxProblemsInMessage = 100

// Problem is one error or warning in a document.
type Problem struct {
	// Line counts from 1.
	Line int
	// Path is the dotted key, for example "profile.live-counts.deadline". Array elements are
	// counted from 1. Path is empty for a problem of the whole document.
	Path string
	// Problem says what is wrong, Remedy what to do about it.
	Problem string
	Remedy  string
}

// String formats the problem as one line.
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("line %d: %s; %s", p.Line, p.Problem, p.Remedy)
	}
	return fmt.Sprintf("line %d: %s: %s; %s", p.Line, p.Path, p.Problem, p.Remedy)
}

// DocumentError lists all problems for which a document was refused. Parse returns it wrapped in
// an error of kind fault.BadProfile; use errors.As to retrieve it.
type DocumentError struct {
	// Problems are sorted by line.
	Problems []Problem
}

// Error formats the problems, one per line.
func (e *DocumentError) Error() string {
	var b strings.Builder
	for i, p := range e.Problems {
		if i == maxProblemsInMessage {
			fmt.Fprintf(&b, "\nand %d more", len(e.Problems)-i)
			break
		}
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(p.String())
	}
	return b.String()
}
