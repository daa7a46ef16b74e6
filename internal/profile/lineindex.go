package profile

import (
	"bytes"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxPathDepth bounds the depth of keys whose lines are recorded. Valid keys have at most four
// parts. Without this bound, the paths of one dotted key with hundreds of thousands of parts would
// exhaust memory.
const maxPathDepth = 6

// maxKeyInPath bounds the length that one key adds to a path. Valid keys are shorter. A longer key
// would be repeated in the path of every problem within its table.
const maxKeyInPath = 80

var bareKey = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// joinPath appends a key to a path, quoted where TOML requires it.
func joinPath(path, key string) string {
	if len(key) > maxKeyInPath {
		key = key[:maxKeyInPath] + "..."
	}
	if !bareKey.MatchString(key) {
		key = strconv.Quote(key)
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

// elementPath appends the index of an array element, counted from 1, to a path.
func elementPath(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}

// lineIndex maps each key of a document to the line on which it first appears.
type lineIndex struct {
	lines map[string]int
	// newlines holds the byte offsets of the line ends.
	newlines []int
	// elements counts the tables seen so far in each array of tables.
	elements map[string]int
}

// indexLines indexes a document, which must be valid TOML.
func indexLines(data []byte) *lineIndex {
	x := &lineIndex{lines: map[string]int{}, elements: map[string]int{}}
	for at := 0; ; at++ {
		next := bytes.IndexByte(data[at:], '\n')
		if next < 0 {
			break
		}
		at += next
		x.newlines = append(x.newlines, at)
	}
	var parser unstable.Parser
	parser.Reset(data)
	table, depth := "", 0
	for parser.NextExpression() {
		switch node := parser.Expression(); node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table, depth = x.recordKeys("", 0, node.Key(), node.Kind == unstable.ArrayTable)
		case unstable.KeyValue:
			x.recordKeyValue(table, depth, node)
		}
	}
	return x
}

// line returns the line of the path or, if it has none, that of the nearest enclosing table.
func (x *lineIndex) line(path string) int {
	for path != "" {
		if line, ok := x.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

// recordKeys records the lines of the parts of a dotted key and returns the key's path and depth.
func (x *lineIndex) recordKeys(path string, depth int, parts unstable.Iterator, newElement bool) (string, int) {
	for parts.Next() {
		depth++
		if depth > maxPathDepth {
			continue
		}
		node := parts.Node()
		path = joinPath(path, string(node.Data))
		x.record(path, node)
		if newElement && parts.IsLast() {
			x.elements[path]++
		}
		if n := x.elements[path]; n > 0 {
			path = elementPath(path, n)
			x.record(path, node)
		}
	}
	return path, depth
}

func (x *lineIndex) record(path string, node *unstable.Node) {
	if _, ok := x.lines[path]; ok {
		return
	}
	x.lines[path] = 1 + sort.SearchInts(x.newlines, int(node.Raw.Offset))
}

func (x *lineIndex) recordKeyValue(table string, depth int, node *unstable.Node) {
	path, depth := x.recordKeys(table, depth, node.Key(), false)
	x.recordValue(path, depth, node.Value())
}

// recordValue records the keys of inline tables, including those that are array elements.
func (x *lineIndex) recordValue(path string, depth int, node *unstable.Node) {
	if depth >= maxPathDepth {
		return
	}
	children := node.Children()
	switch node.Kind {
	case unstable.InlineTable:
		for children.Next() {
			x.recordKeyValue(path, depth, children.Node())
		}
	case unstable.Array:
		for i := 1; children.Next(); i++ {
			child := children.Node()
			if child.Raw.Length > 0 {
				x.record(elementPath(path, i), child)
			}
			x.recordValue(elementPath(path, i), depth+1, child)
		}
	}
}
