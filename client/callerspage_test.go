package client

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/tealhall/tealhall/internal/core"
)

var rewrite = flag.Bool("rewrite", false, "rewrite the table of reasons in docs/CALLERS.md")

const (
	callersPage  = "../docs/CALLERS.md"
	reasonsBegin = "<!-- reasons: begin -->\n"
	reasonsEnd   = "<!-- reasons: end -->\n"
)

// reasonTable returns a Markdown table of every reason that an entry gives to callers.
func reasonTable() string {
	var b strings.Builder
	b.WriteString("\n| Reason | Status | Another entry | Settles the key | Remedy |\n|---|---|---|---|---|\n")
	for r := core.ReasonNone + 1; int(r) < len(core.Counters{}.Refused); r++ {
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s | %s |\n",
			r, r.Status(), yesOrEmpty(otherEntryMayHelp[r.String()] || r.String() == homeUnreachable), yesOrEmpty(settlesKey[r.String()]), r.Remedy())
	}
	b.WriteString("\n")
	return b.String()
}

func yesOrEmpty(yes bool) string {
	if yes {
		return "yes"
	}
	return ""
}

// Callers in other languages follow the rules in docs/CALLERS.md. If a reason is missing there, or
// this package has a reason that no entry gives, those callers and this package treat the same
// response differently.
func TestCallersPage(t *testing.T) {
	page, err := os.ReadFile(callersPage)
	if err != nil {
		t.Fatal(err)
	}
	head, rest, found := strings.Cut(string(page), reasonsBegin)
	table, tail, ended := strings.Cut(rest, reasonsEnd)
	if !found || !ended {
		t.Fatal("the comments that mark the table of reasons are missing")
	}
	want := reasonTable()
	if table != want && *rewrite {
		err = os.WriteFile(callersPage, []byte(head+reasonsBegin+want+reasonsEnd+tail), 0o644)
	} else if table != want {
		t.Errorf("%s is out of date; run: go test ./client -run TestCallersPage -rewrite", callersPage)
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, rule := range []map[string]bool{settlesKey, otherEntryMayHelp} {
		for name := range rule {
			if name != "" && !strings.Contains(want, "| `"+name+"` |") {
				t.Errorf("no entry gives the reason %q", name)
			}
		}
	}
}
