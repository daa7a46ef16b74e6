package profile

import (
	"fmt"
	"strings"
)

// Reference returns the Markdown reference of profile settings for docs/PROFILES.md: a table of
// values, the descriptions, and the combinations that are refused.
func Reference() string {
	var b strings.Builder
	writeValues(&b)
	writeDescriptions(&b)
	writeRules(&b)
	return b.String()
}

func writeValues(b *strings.Builder) {
	b.WriteString("| Field | Unit | Range | `read` | `once` | `bulk` | `urgent` | In `close` |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|\n")
	for i := range fields {
		f := &fields[i]
		fmt.Fprintf(b, "| `%s` | %s | %s |", f.name, f.unit(), f.allowedValues())
		for _, kind := range Kinds() {
			p := Default(kind)
			fmt.Fprintf(b, " %s |", f.format(&p))
		}
		if f.fixed {
			b.WriteString(" no |\n")
		} else {
			b.WriteString(" yes |\n")
		}
	}
}

func writeDescriptions(b *strings.Builder) {
	b.WriteString("\n### Effects\n\n")
	for i := range fields {
		fmt.Fprintf(b, "- `%s`: %s\n", fields[i].name, fields[i].description)
	}
}

func writeRules(b *strings.Builder) {
	b.WriteString("\n### Combinations that are refused\n\n")
	b.WriteString("Each holds for the ordinary settings and for those in force during a close.\n\n")
	b.WriteString("| Problem | Remedy | Fields |\n|---|---|---|\n")
	for _, r := range rules {
		fmt.Fprintf(b, "| %s | %s | `%s` |\n", r.problem, r.remedy, strings.Join(r.fields, "`, `"))
	}
	fmt.Fprintf(b, "| %s | %s | `queue_order`, `queue_limit` |\n", orderWithoutQueue, orderWithoutQueueRemedy)
	fmt.Fprintf(b, "| services of other kinds may hold more than %s of a pool that an urgent service shares | lower their `slot_share` | `slot_share` |\n",
		formatShare(1-urgentReserve))
}
