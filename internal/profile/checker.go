package profile

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// namePattern matches the names of services, pools and profiles, which appear in URLs, headers,
// metric names and tables.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameRemedy = "use up to 63 lower-case letters, digits and hyphens"

// section is one table of the document.
type section struct {
	path   string
	values map[string]any
}

func (s section) child(key string) string { return joinPath(s.path, key) }

// keys returns the section's keys in sorted order, so that results do not depend on map iteration
// order.
func (s section) keys() []string {
	keys := make([]string, 0, len(s.values))
	for key := range s.values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// checker collects the problems of one document.
type checker struct {
	lines    *lineIndex
	problems []Problem
	warnings []Problem
}

func (c *checker) report(path, problem, remedy string) {
	c.problems = append(c.problems, c.newProblem(path, problem, remedy))
}

func (c *checker) warn(path, problem, remedy string) {
	c.warnings = append(c.warnings, c.newProblem(path, problem, remedy))
}

func (c *checker) newProblem(path, problem, remedy string) Problem {
	return Problem{Line: c.lines.line(path), Path: path, Problem: problem, Remedy: remedy}
}

// sortProblems sorts by line and removes duplicates: a rule violation that the close settings
// inherit unchanged is found twice.
func sortProblems(problems []Problem) []Problem {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Problem, b.Problem))
	})
	return slices.Compact(problems)
}

// readTable returns the table under key. If the key is missing, or its value is not a table, which
// it reports, readTable returns a section without values and false.
func (c *checker) readTable(parent section, key string) (child section, ok bool) {
	child = section{path: parent.child(key)}
	value, present := parent.values[key]
	if !present {
		return child, false
	}
	child.values, ok = value.(map[string]any)
	if !ok {
		c.report(child.path, "this is not a table", fmt.Sprintf("write it as [%s]", child.path))
	}
	return child, ok
}

// reportUnknownKeys reports the keys of s that are not in known.
func (c *checker) reportUnknownKeys(s section, known []string) {
	for _, key := range s.keys() {
		if slices.Contains(known, key) {
			continue
		}
		remedy := "remove it, or see docs/PROFILES.md for the fields that exist"
		if near, ok := nearestName(key, known); ok {
			remedy = fmt.Sprintf("did you mean %s?", near)
		}
		c.report(s.child(key), "unknown field", remedy)
	}
}

// checkName reports whether name is valid, and adds a problem if it is not.
func (c *checker) checkName(path, name string) bool {
	if namePattern.MatchString(name) {
		return true
	}
	c.report(path, "the name is not usable", nameRemedy)
	return false
}

// readString returns the string under key. If the key is missing or its value is not a string,
// readString reports the problem and returns false.
func (c *checker) readString(s section, key, remedy string) (text string, ok bool) {
	value, present := s.values[key]
	if !present {
		c.report(s.child(key), "the field is missing", remedy)
		return "", false
	}
	text, ok = value.(string)
	if !ok {
		c.report(s.child(key), "the value is not a string", remedy)
	}
	return text, ok
}

// maxNameDistance is the largest edit distance at which a known name is suggested for an unknown
// one.
const maxNameDistance = 2

// nearestName returns the known name closest to name, if one is within maxNameDistance.
func nearestName(name string, known []string) (string, bool) {
	best, found := maxNameDistance+1, ""
	for _, k := range known {
		if len(name) > len(k)+maxNameDistance {
			continue
		}
		if d := editDistance(strings.ToLower(name), k); d < best {
			best, found = d, k
		}
	}
	return found, found != ""
}

// editDistance returns the Levenshtein distance between two short names.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := diagonal
			if a[i] != b[j] {
				change++
			}
			diagonal = row[j+1]
			row[j+1] = min(change, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
