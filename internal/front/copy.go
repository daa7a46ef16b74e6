package front

import (
	"io"
	"net/http"
	"sync"
)

// copySize is the size of the pieces in which answers are copied.
const copySize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// CopyAnswer passes an endpoint's answer on: status, end-to-end headers, body
// and trailers. Headers set on w before are kept unless the answer has them
// too. Parts of a streaming answer are flushed as they come. It returns the
// bytes of the body that were read, and closes the body.
//
// When the answer is cut off, or the caller can't be written to, it returns the
// error and the caller's connection is aborted once the handler returns, so
// that the caller never takes a part of the answer for the whole.
func CopyAnswer(w http.ResponseWriter, resp *http.Response) (n int64, err error) {
	defer resp.Body.Close()
	withoutHopByHop(w.Header(), resp.Header)
	announced := announceTrailers(w, resp)
	w.WriteHeader(resp.StatusCode)
	n, err = copyBody(w, resp)
	if err != nil {
		CutOff(w)
		return n, err
	}
	setTrailers(w, resp, announced)
	return n, nil
}

// CutOff marks the answer on w as one that can't be completed: the caller's
// connection is aborted once the handler returns.
func CutOff(w http.ResponseWriter) {
	if tracked, ok := unwrapTo[*answerWriter](w); ok {
		tracked.cutOff = true
		return
	}
	panic(http.ErrAbortHandler)
}

// copyBody copies and flushes after each part but the last, which the server
// flushes when the handler returns.
func copyBody(w http.ResponseWriter, resp *http.Response) (int64, error) {
	if resp.Body == http.NoBody {
		return 0, nil
	}
	buffer := copyBuffers.Get().(*[copySize]byte)
	defer copyBuffers.Put(buffer)
	controller := http.NewResponseController(w)
	var total int64
	for {
		n, readErr := resp.Body.Read(buffer[:])
		total += int64(n)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return total, err
			}
		}
		if readErr == io.EOF {
			return total, nil
		}
		if readErr != nil {
			return total, readErr
		}
		if total != resp.ContentLength {
			if err := controller.Flush(); err != nil {
				return total, err
			}
		}
	}
}

// announceTrailers names the trailers to the caller and returns their number.
func announceTrailers(w http.ResponseWriter, resp *http.Response) int {
	for name := range resp.Trailer {
		w.Header().Add("Trailer", name)
	}
	return len(resp.Trailer)
}

// setTrailers passes on the values of the trailers, known after the body. Those
// that the endpoint did not announce need net/http's prefix.
func setTrailers(w http.ResponseWriter, resp *http.Response, announced int) {
	prefix := ""
	if len(resp.Trailer) != announced {
		prefix = http.TrailerPrefix
	}
	for name, values := range resp.Trailer {
		w.Header()[prefix+name] = values
	}
}
