package profile

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pelletier/go-toml/v2"

	"github.com/tealhall/tealhall/internal/fault"
)

const (
	// DocumentFormat is the supported value of the document's format field.
	DocumentFormat = 1
	// ProgramFormat is the largest value of the document's requires field that this program
	// supports. It increases when a field is added.
	ProgramFormat = 1
	// MaxDocumentBytes is the size limit of a document. It equals the size limit of a value in the
	// platform's configuration service.
	MaxDocumentBytes = 1 << 20
	// maxKeys bounds the number of keys and table headers in a document. The TOML library compares
	// each key with all others of its table, so a document full of short keys could otherwise
	// occupy an entry for half a minute. A document with a thousand services needs a few thousand
	// keys.
	maxKeys = 20000
)

// Parse validates a document and compiles it. If the document has any problem, Parse refuses all of
// it with an error of kind fault.BadProfile that wraps a *DocumentError. Parse keeps no reference
// to data.
func Parse(data []byte, revision uint64) (*Snapshot, error) {
	s := &Snapshot{revision: revision, digest: xxhash.Sum64(data), data: bytes.Clone(data)}
	root, lines, problem := decode(s.data)
	if problem != nil {
		return nil, refuse([]Problem{*problem})
	}
	c := &checker{lines: lines}
	if !c.checkFormat(root) {
		return nil, refuse(c.problems)
	}
	profiles := c.readProfiles(root)
	s.modes = profiles
	c.readTraffic(root, profiles, s)
	c.readServices(root, profiles, s)
	c.readCalendar(root, s)
	if len(c.problems) > 0 {
		return nil, refuse(sortProblems(c.problems))
	}
	s.warnings = sortProblems(c.warnings)
	return s, nil
}

func refuse(problems []Problem) error {
	return fault.Wrap(&DocumentError{Problems: problems}, fault.BadProfile,
		"correct the document and publish it again", "profile document refused, %d problem(s)", len(problems))
}

// checkSize returns a problem if the document exceeds the size limits, or nil.
func checkSize(data []byte) *Problem {
	p := &Problem{Line: 1, Remedy: "make it smaller"}
	if len(data) > MaxDocumentBytes {
		p.Problem = fmt.Sprintf("the document has %d bytes, more than %d", len(data), MaxDocumentBytes)
		return p
	}
	// This overestimates slightly, since the characters may also appear in strings and comments.
	if n := bytes.Count(data, []byte("=")) + bytes.Count(data, []byte("[")); n > maxKeys {
		p.Problem = fmt.Sprintf("the document has %d keys and tables, more than %d", n, maxKeys)
		return p
	}
	return nil
}

// decode parses the document into generic values and indexes the lines of its keys.
func decode(data []byte) (root section, lines *lineIndex, problem *Problem) {
	if problem := checkSize(data); problem != nil {
		return section{}, nil, problem
	}
	// Recover from panics in the TOML library. Otherwise a document that triggers one would crash
	// every entry at once, and again at each restart, for as long as it stays published. Refusing
	// the document leaves the previous one in force.
	defer func() {
		if r := recover(); r != nil {
			problem = &Problem{Line: 1, Problem: fmt.Sprintf("the TOML library failed: %v", r), Remedy: "simplify the document"}
		}
	}()
	if err := toml.Unmarshal(data, &root.values); err != nil {
		return section{}, nil, syntaxProblem(err)
	}
	return root, indexLines(data), nil
}

func syntaxProblem(err error) *Problem {
	p := &Problem{Line: 1, Problem: err.Error(), Remedy: "correct the TOML syntax"}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		p.Line, _ = decodeError.Position()
	}
	return p
}

// checkFormat checks the version fields. It returns false if the document needs a newer program.
// Such a document may have unknown fields, and reporting those would hide the actual remedy.
func (c *checker) checkFormat(root section) bool {
	format, given := c.readVersion(root, "format")
	if !given {
		c.report("format", "the field is missing", fmt.Sprintf("write format = %d at the top", DocumentFormat))
	}
	requires, _ := c.readVersion(root, "requires")
	if format > DocumentFormat || requires > ProgramFormat {
		c.problems = nil
		path, wanted, have := "format", format, int64(DocumentFormat)
		if requires > ProgramFormat {
			path, wanted, have = "requires", requires, ProgramFormat
		}
		c.report(path, fmt.Sprintf("the document needs a program of format %d, this one has %d", wanted, have),
			"upgrade every entry first, then publish again")
		return false
	}
	c.reportUnknownKeys(root, []string{"format", "requires", "profile", "service", "traffic", "calendar"})
	return true
}

// readVersion reads an optional version number, which must be at least 1.
func (c *checker) readVersion(root section, key string) (n int64, given bool) {
	value, given := root.values[key]
	if !given {
		return 0, false
	}
	n, ok := value.(int64)
	if !ok || n < 1 {
		c.report(key, "the value is not a version", "write a whole number from 1")
		return 0, true
	}
	return n, true
}
