package audit

import (
	"strings"
	"unicode/utf8"

	"k8s.io/klog/v2"
)

// maxWhyBytes bounds the reason in a log line; the trail in memory has it whole. A document may
// have thousands of problems.
const maxWhyBytes = 400

// LogSink writes the record to the log as one structured line. What was done and why come first,
// because collectors cut long lines at their end.
func LogSink(r Record) {
	klog.InfoS("audit",
		"action", r.Action,
		"why", truncatedText(r.Why),
		"subject", r.Subject,
		"from", r.From,
		"to", r.To,
		"revision", r.Revision,
		"actor", r.Actor,
		"seq", r.Seq,
	)
}

// truncatedText cuts a text at the end of a character.
func truncatedText(text string) string {
	if len(text) <= maxWhyBytes {
		return text
	}
	end := maxWhyBytes
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return strings.TrimSpace(text[:end]) + " ..."
}
