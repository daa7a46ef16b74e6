package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/tealhall/tealhall/internal/fault"
)

// Problem is one error in a settings document.
type Problem struct {
	// Line is the line of the setting, or 0 if the document does not set it.
	Line int
	// Field is the dotted name of the setting, or "" for a syntax error.
	Field string
	// Message says what is wrong.
	Message string
	// Remedy says how to correct it.
	Remedy string
}

// String formats the problem as one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Field != "" {
		fmt.Fprintf(&b, "%s: ", p.Field)
	}
	fmt.Fprintf(&b, "%s; %s", p.Message, p.Remedy)
	return b.String()
}

// Error lists all problems of a settings document in line order; problems of missing settings come
// last.
type Error struct {
	Problems []Problem
}

// Error formats the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// refuse returns a fault.BadSettings error that wraps an *Error, or nil if there are no problems.
func refuse(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	slices.SortStableFunc(problems, func(a, b Problem) int {
		if (a.Line == 0) != (b.Line == 0) {
			return cmp.Compare(b.Line, a.Line)
		}
		return cmp.Compare(a.Line, b.Line)
	})
	return fault.Wrap(&Error{Problems: problems}, fault.BadSettings,
		"correct each line below and start again (docs/SETTINGS.md lists every setting)",
		"the settings have %d problem(s)", len(problems))
}
