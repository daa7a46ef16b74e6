package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// The times of a stream that is followed.
const (
	// KeepAlive is the longest silence on a stream; an empty line ends it, so
	// that both ends notice when the other is gone.
	KeepAlive = 15 * time.Second
	// streamWrite bounds one write to a reader that does not read.
	streamWrite = 10 * time.Second
)

// audit writes the trail as JSON lines: what is kept after the record with the
// number "since", and with "follow" also what comes later.
func (h *handler) audit(w http.ResponseWriter, r *http.Request) {
	since, err := parseSince(r.URL.Query().Get("since"))
	if err != nil {
		errorHandler(http.StatusBadRequest, "since is no record number", "give the seq of the last record that you have, or 0").ServeHTTP(w, r)
		return
	}
	s := &auditStream{handler: h, writer: w, control: http.NewResponseController(w), seq: since}
	if !isTrue(r.URL.Query().Get("follow")) {
		_ = s.begin() // a reader that went away is no fault
		return
	}
	select {
	case h.followers <- struct{}{}:
		defer func() { <-h.followers }()
	default:
		errorHandler(http.StatusServiceUnavailable, "too many readers follow the audit trail", "end one of them or read without follow").ServeHTTP(w, r)
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

// auditStream is one answer.
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

// follow writes records as they come until the reader goes away.
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
		s.seq = 0 // an earlier process's number, and nothing happened yet in this one
	}
	return s.write(text)
}

// write sends text at once. The deadline guards against a reader that stopped
// reading, which would hold the stream and its goroutine for good.
func (s *auditStream) write(text []byte) error {
	// Writers that have no deadlines are those of tests.
	_ = s.control.SetWriteDeadline(time.Now().Add(streamWrite))
	if _, err := s.writer.Write(text); err != nil {
		return err
	}
	return s.control.Flush()
}
