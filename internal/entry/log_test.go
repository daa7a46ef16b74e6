package entry

import (
	"encoding/json"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/tealhall/tealhall/internal/core"
	"github.com/tealhall/tealhall/internal/logging/logtest"
)

const operationsPage = "../../docs/OPERATIONS.md"

// An engineer reads the log with the help of the operations page. The page must explain every field
// of a request trace, and name no field that traces lack.
func TestLogFieldsAreDocumented(t *testing.T) {
	page, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(page), "| Field | Meaning |")
	section, _, _ = strings.Cut(section, "\n## ")
	var documented []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllStringSubmatch(section, -1) {
		documented = append(documented, m[1])
	}
	if !slices.Equal(documented, traceFields) {
		t.Errorf("the page explains %v, a request trace has %v", documented, traceFields)
	}
	end := logtest.Capture(t)
	logTrace(&core.RequestTrace{Name: "9c41", Attempts: []core.AttemptTrace{{Endpoint: "i-1", End: "lost"}}})
	lines := end()
	at := slices.IndexFunc(lines, func(line string) bool { return strings.Contains(line, "9c41") })
	if at < 0 {
		t.Fatalf("the trace is not among %q", lines)
	}
	var line map[string]any
	if err := json.Unmarshal([]byte(lines[at]), &line); err != nil {
		t.Fatalf("%q: %v", lines[at], err)
	}
	for _, field := range traceFields {
		if _, found := line[field]; !found {
			t.Errorf("the logged trace has no field %s", field)
		}
	}
	attempt := line["attempts"].([]any)[0].(map[string]any)
	for name := range attempt {
		if !strings.Contains(section, "`"+name+"`") {
			t.Errorf("the page does not explain attempts.%s", name)
		}
	}
	for _, example := range regexp.MustCompile(`(?m)^\{.*$`).FindAllString(string(page), -1) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(example), &fields); err != nil {
			t.Errorf("an example on the page is not JSON: %v", err)
		}
		for name := range fields {
			if !slices.Contains(append([]string{"msg", "entry"}, traceFields...), name) {
				t.Errorf("an example on the page has the unknown field %s", name)
			}
		}
	}
}
