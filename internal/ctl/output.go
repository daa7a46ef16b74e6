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

// Output formats, the values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// show writes value as JSON or, in table format, the text that render writes.
func (o *options) show(value any, render func(*page)) error {
	var buffer bytes.Buffer
	if o.output == outputJSON {
		encoder := json.NewEncoder(&buffer)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(value); err != nil {
			return err
		}
	} else {
		render(newPage(&buffer))
	}
	_, err := o.out.Write(buffer.Bytes())
	return err
}

// page renders human-readable text.
type page struct{ out io.Writer }

func newPage(out *bytes.Buffer) *page { return &page{out: out} }

// line writes one line. It replaces unprintable characters, because a name from the network may
// contain control sequences that must not reach the operator's terminal.
func (p *page) line(format string, args ...any) {
	fmt.Fprintln(p.out, printable(fmt.Sprintf(format, args...)))
}

// table writes a header and rows in aligned columns, without unprintable characters.
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

// printable replaces line breaks by spaces and other unprintable characters by question marks.
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

// age renders an age in seconds; a negative age means never.
func age(seconds float64) string {
	if seconds < 0 {
		return "never"
	}
	return span(seconds)
}

// span renders a duration in seconds, rounded according to its magnitude.
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

// revision renders a revision; 0 means none.
func revision(n uint64) string {
	if n == 0 {
		return "none"
	}
	return published.RevisionText(n)
}

// joinNotes joins the texts of the notes that apply.
func joinNotes(notes ...note) string {
	var texts []string
	for _, n := range notes {
		if n.applies {
			texts = append(texts, n.text)
		}
	}
	return strings.Join(texts, ", ")
}

// note is a text that is shown if it applies.
type note struct {
	applies bool
	text    string
}

func timestamp(t time.Time) string { return t.Format("2006-01-02 15:04:05 MST") }
