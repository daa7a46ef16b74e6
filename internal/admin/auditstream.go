package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Timing of a followed stream.
const (
	// KeepAlive is the longest time without a line on a stream. An empty line is then sent, so
	// that both ends notice when the other end is gone.
	KeepAlive = 15 * time.Second
	// streamWriteTimeout bounds one write, in case the client does not read.
	streamWriteTimeout = 10 * time.Second
)

// audit writes the audit trail as JSON lines: the records after the one with the number "since",
// and with "follow" also new records as they are added.
func (h *handler) audit(w http.ResponseWriter, r *http.Request) {
	since, err := parseSince(r.URL.Query().Get("since"))
	if err != nil {
		errorHandler(http.StatusBadRequest, "since is not a record number", "give the seq of the last record that you have, or 0").ServeHTTP(w, r)
		return
	}
	s := &auditStream{handler: h, writer: w, control: http.NewResponseController(w), seq: since}
	if !isTrue(r.URL.Query().Get("follow")) {
		_ = s.begin() // the client may have disconnected
		return
	}
	select {
	case h.followers <- struct{}{}:
		defer func() { <-h.followers }()
	default:
		errorHandler(http.StatusServiceUnavailable, "too many clients follow the audit trail", "end one of them or read without follow").ServeHTTP(w, r)
		return
	}
	if s.begin() == nil {
		s.follow(r.Context())
	}
}

func parseSince(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func isTrue(text string) bool {
	value, err := strconv.ParseBool(text)
	return err == nil && value
}

// auditStream is the state of one answer.
type auditStream struct {
	handler *handler
	writer  http.ResponseWriter
	control *http.ResponseController
	seq     uint64 // of the last record written
}

func (s *auditStream) begin() error {
	s.writer.Header().Set("Content-Type", "application/x-ndjson")
	s.writer.Header().Set("Cache-Control", "no-store")
	s.writer.WriteHeader(http.StatusOK)
	return s.writeNewRecords()
}

// follow writes new records as they are added until the client disconnects.
func (s *auditStream) follow(ctx context.Context) {
	for ctx.Err() == nil {
		waiting, cancel := context.WithTimeout(ctx, KeepAlive)
		err := s.handler.trail.Wait(waiting, s.seq)
		cancel()
		if err == nil {
			err = s.writeNewRecords()
		} else if ctx.Err() == nil {
			err = s.write([]byte("\n"))
		}
		if err != nil {
			return
		}
	}
}

func (s *auditStream) writeNewRecords() error {
	records, dropped := s.handler.trail.Since(s.seq)
	var text []byte
	for _, record := range records {
		line, err := json.Marshal(AuditLine{Record: record, Dropped: dropped})
		if err != nil {
			return err
		}
		text = append(append(text, line...), '\n')
		s.seq, dropped = record.Seq, false
	}
	if len(records) == 0 && dropped {
		s.seq = 0 // the number is from an earlier process, and this one has no records yet
	}
	return s.write(text)
}

// write writes text and flushes it. The deadline guards against a client that stopped reading,
// which would block the stream and its goroutine forever.
func (s *auditStream) write(text []byte) error {
	// Setting the deadline fails only for the response writers of tests, which have no deadlines.
	_ = s.control.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
	if _, err := s.writer.Write(text); err != nil {
		return err
	}
	return s.control.Flush()
}
