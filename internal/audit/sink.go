package audit

import "k8s.io/klog/v2"

// LogSink writes the record to the log as one structured line.
func LogSink(r Record) {
	klog.InfoS("audit",
		"seq", r.Seq,
		"actor", r.Actor,
		"subject", r.Subject,
		"action", r.Action,
		"from", r.From,
		"to", r.To,
		"revision", r.Revision,
		"why", r.Why,
	)
}
