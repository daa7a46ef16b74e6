package published

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/tealhall/tealhall/internal/fault"
)

// Remedies for unusable answers.
const (
	remedyService = "check the configuration service or what stands between it and this VM"
	remedyPublish = "publish the value before starting the fleet"
	remedySmaller = "publish a smaller value"
)

// parseValue converts an answer to a Value.
func (c *Client) parseValue(name string, response *http.Response) (Value, error) {
	if err := checkStatus(name, response.StatusCode); err != nil {
		return Value{}, err
	}
	revision, err := readRevision(name, response.Header)
	if err != nil {
		return Value{}, err
	}
	data, err := c.readData(name, response)
	if err != nil {
		return Value{}, err
	}
	return Value{Name: name, Revision: revision, Data: data}, nil
}

// checkStatus returns a typed error for every status but 200.
func checkStatus(name string, status int) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return fault.New(fault.NotFound, remedyPublish, "the service has no value %q", name)
	case status >= http.StatusInternalServerError,
		status == http.StatusTooManyRequests,
		status == http.StatusRequestTimeout:
		return fault.New(fault.PlatformDown, remedyService, "reading %q: status %d", name, status)
	default:
		return fault.New(fault.PlatformAnswer, remedyService, "reading %q: unexpected status %d", name, status)
	}
}

// readRevision returns the revision of an answer. The header must occur exactly once with a number
// above zero. Otherwise the reader cannot compare the data with the revision in force, so it must
// not use the data.
func readRevision(name string, header http.Header) (uint64, error) {
	values := header[RevisionHeader]
	if len(values) != 1 {
		return 0, fault.New(fault.PlatformAnswer, remedyService,
			"answer for %q has %d %s headers instead of one", name, len(values), RevisionHeader)
	}
	revision, err := strconv.ParseUint(values[0], 10, 64)
	if err != nil || revision == 0 {
		return 0, fault.New(fault.PlatformAnswer, remedyService,
			"answer for %q has the unusable revision %q", name, values[0])
	}
	return revision, nil
}

// readData reads the complete body of an answer, or fails. It accepts only answers whose end is
// marked by a length, by chunks or by HTTP/2 frames, so that a truncated body gives an unexpected
// EOF. Reading stops at the size limit, so a runaway answer takes no more memory than the largest
// value.
func (c *Client) readData(name string, response *http.Response) ([]byte, error) {
	if !hasDetectableEnd(response) {
		return nil, fault.New(fault.PlatformAnswer, remedyService,
			"answer for %q announces no length, so truncation cannot be detected", name)
	}
	if encoding := response.Header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return nil, fault.New(fault.PlatformAnswer, remedyService,
			"answer for %q has the content encoding %q that was not requested", name, encoding)
	}
	if response.ContentLength > MaxValueBytes {
		return nil, tooLarge(name)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes+1))
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, fault.Wrap(err, fault.PlatformAnswer, remedyService, "answer for %q was cut off", name)
	case err != nil:
		return nil, c.connectionError(err, name)
	case len(data) > MaxValueBytes:
		return nil, tooLarge(name)
	}
	return data, nil
}

// hasDetectableEnd reports whether a complete body can be distinguished from a truncated one.
func hasDetectableEnd(response *http.Response) bool {
	return response.ContentLength >= 0 ||
		response.ProtoMajor >= 2 ||
		slices.Contains(response.TransferEncoding, "chunked")
}

func tooLarge(name string) error {
	return fault.New(fault.PlatformAnswer, remedySmaller, "value %q exceeds %d bytes", name, MaxValueBytes)
}
