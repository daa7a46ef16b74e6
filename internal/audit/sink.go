package audit

import (
	"strings"
	"unicode/utf8"

	"k8s.io/klog/v2"
)

// maxWhyBytes bounds the reason in a log line, because a document may have thousands of problems.
// The trail in memory has the whole reason.
const maxWhyBytes = 400

// LogSink writes the record to the log as one structured line. The action and the reason come
// first, because collectors truncate long lines.
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

// truncatedText cuts a text to at most maxWhyBytes, without splitting a character, and marks the
// cut.
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
