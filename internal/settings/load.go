package settings

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Load parses a settings document on top of the defaults and checks every setting. It returns a
// fault.BadSettings error that wraps an *Error with all problems. A syntax error is reported alone.
func Load(data []byte) (*Settings, error) {
	var document map[string]any
	if err := toml.Unmarshal(data, &document); err != nil {
		return nil, refuse([]Problem{syntaxProblem(err)})
	}
	s := Default()
	lines := keyLines(data)
	problems := decodeLeaves(s, document, lines)
	refused := make(map[string]bool, len(problems))
	for _, p := range problems {
		refused[p.Field] = true
	}
	for _, p := range check(s) {
		if refused[p.Field] {
			continue // s has the default in place of the invalid value
		}
		p.Line = lines[p.Field]
		problems = append(problems, p)
	}
	if err := refuse(problems); err != nil {
		return nil, err
	}
	s.fillAdvertised()
	return s, nil
}

func (s *Settings) fillAdvertised() {
	if s.Addresses.CallerAdvertised == "" {
		s.Addresses.CallerAdvertised = s.Addresses.Caller
	}
	if s.Addresses.PeerAdvertised == "" {
		s.Addresses.PeerAdvertised = s.Addresses.Peer
	}
}

func syntaxProblem(err error) Problem {
	p := Problem{Message: strings.TrimPrefix(err.Error(), "toml: "), Remedy: "write valid TOML"}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		p.Line, _ = decode.Position()
	}
	return p
}

// decodeLeaves decodes each setting separately, because the decoder stops at the first value of a
// wrong type and operators want to see all errors at once.
func decodeLeaves(s *Settings, document map[string]any, lines map[string]int) []Problem {
	var problems []Problem
	known := Reference()
	for _, leaf := range leavesOf(nil, document) {
		field := strings.Join(leaf.path, ".")
		p := Problem{Line: lines[field], Field: field}
		index := slices.IndexFunc(known, func(e ReferenceRow) bool { return e.Field == field })
		switch {
		case index >= 0:
			if leaf.decodeInto(s) == nil {
				continue
			}
			p.Message, p.Remedy = fmt.Sprintf("%#v is not a valid value", leaf.value), "write "+valueForm(known[index])
		case isTable(known, field):
			p.Message, p.Remedy = "it is a table", fmt.Sprintf("write [%s] and the settings below it", field)
		default:
			p.Message, p.Remedy = "there is no such setting", "remove it or correct its name"
		}
		problems = append(problems, p)
	}
	return problems
}

func isTable(known []ReferenceRow, field string) bool {
	return slices.ContainsFunc(known, func(e ReferenceRow) bool { return strings.HasPrefix(e.Field, field+".") })
}

// valueForm describes the form of a setting's value.
func valueForm(e ReferenceRow) string {
	switch {
	case e.Unit == "duration":
		return `a duration such as "250ms", "90s" or "1m30s"`
	case e.Unit == unitText:
		return "a string in quotes"
	case e.Unit == unitList:
		return "a list of strings in quotes"
	case e.Unit == unitBool:
		return "true or false"
	case e.Unit == "calls/s":
		return "a number"
	}
	return "a whole number"
}

// leaf is one setting of a parsed document.
type leaf struct {
	path  []string
	value any
}

// asDocument returns a document that contains only this setting.
func (l leaf) asDocument() map[string]any {
	value := l.value
	for _, key := range slices.Backward(l.path) {
		value = map[string]any{key: value}
	}
	return value.(map[string]any)
}

// decodeInto decodes this setting into s.
func (l leaf) decodeInto(s *Settings) error {
	single, err := toml.Marshal(l.asDocument())
	if err != nil {
		return err
	}
	return toml.NewDecoder(bytes.NewReader(single)).DisallowUnknownFields().Decode(s)
}

// leavesOf returns the settings of a table in the order of their names. An empty table counts as a
// setting, so that a table with an unknown name is reported.
func leavesOf(path []string, table map[string]any) []leaf {
	var out []leaf
	for _, key := range slices.Sorted(maps.Keys(table)) {
		keyPath := append(slices.Clone(path), key)
		if inner, ok := table[key].(map[string]any); ok && len(inner) > 0 {
			out = append(out, leavesOf(keyPath, inner)...)
			continue
		}
		out = append(out, leaf{path: keyPath, value: table[key]})
	}
	return out
}

// keyLines maps the dotted name of each table and key to its line.
func keyLines(data []byte) map[string]int {
	lines := make(map[string]int)
	var parser unstable.Parser
	parser.Reset(data)
	var table []string
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = recordKey(&parser, lines, nil, node)
		case unstable.KeyValue:
			recordKeyValue(&parser, lines, table, node)
		}
	}
	return lines
}

func recordKeyValue(parser *unstable.Parser, lines map[string]int, table []string, node *unstable.Node) {
	path := recordKey(parser, lines, table, node)
	if node.Value().Kind != unstable.InlineTable {
		return
	}
	children := node.Value().Children()
	for children.Next() {
		recordKeyValue(parser, lines, path, children.Node())
	}
}

// recordKey records the line of a key in the given table and returns the key's path.
func recordKey(parser *unstable.Parser, lines map[string]int, table []string, node *unstable.Node) []string {
	path := slices.Clone(table)
	line := 0
	for keys := node.Key(); keys.Next(); {
		path = append(path, string(keys.Node().Data))
		line = parser.Shape(keys.Node().Raw).Start.Line
	}
	lines[strings.Join(path, ".")] = line
	return path
}
