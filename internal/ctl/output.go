package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/tealhall/tealhall/internal/published"
)

// The forms of a result.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// show writes value as JSON, or what the page function makes of it.
func (o *options) show(value any, page func(*page)) error {
	var buffer bytes.Buffer
	if o.output == outputJSON {
		encoder := json.NewEncoder(&buffer)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(value); err != nil {
			return err
		}
	} else {
		page(newPage(&buffer))
	}
	_, err := o.out.Write(buffer.Bytes())
	return err
}

// page writes text for people into a buffer.
type page struct{ out io.Writer }

func newPage(out *bytes.Buffer) *page { return &page{out: out} }

// line writes one line. What comes from the network is made printable: a name
// with control sequences must not act on the operator's terminal.
func (p *page) line(format string, args ...any) {
	fmt.Fprintln(p.out, printable(fmt.Sprintf(format, args...)))
}

// table writes rows below a header, in aligned columns.
func (p *page) table(header []string, rows [][]string) {
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = printable(cell)
		}
		fmt.Fprintln(w, strings.TrimRight(strings.Join(cells, "\t"), "\t "))
	}
	w.Flush()
}

func printable(text string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case unicode.IsPrint(r):
			return r
		case r == '\n':
			return ' '
		}
		return '?'
	}, text)
}

// age renders seconds as people read them; a negative number means never.
func age(seconds float64) string {
	if seconds < 0 {
		return "never"
	}
	return span(seconds)
}

// span renders seconds with the precision that matters at their size.
func span(seconds float64) string {
	d := time.Duration(seconds * float64(time.Second))
	switch {
	case d >= time.Minute:
		d = d.Round(time.Second)
	case d >= time.Second:
		d = d.Round(100 * time.Millisecond)
	case d >= time.Millisecond:
		d = d.Round(100 * time.Microsecond)
	default:
		d = d.Round(time.Microsecond)
	}
	return d.String()
}

func percent(share float64) string { return fmt.Sprintf("%.3g%%", 100*share) }

func number[T int | int64 | uint32 | uint64](n T) string { return fmt.Sprint(n) }

// revision renders a revision; 0 means that there is none.
func revision(n uint64) string {
	if n == 0 {
		return "none"
	}
	return published.RevisionText(n)
}

// joinNotes joins the texts whose condition holds.
func joinNotes(pairs ...note) string {
	var texts []string
	for _, m := range pairs {
		if m.applies {
			texts = append(texts, m.text)
		}
	}
	return strings.Join(texts, ", ")
}

type note struct {
	applies bool
	text    string
}

func timestamp(t time.Time) string { return t.Format("2006-01-02 15:04:05 MST") }
