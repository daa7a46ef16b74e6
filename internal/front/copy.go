package front

import (
	"io"
	"net/http"
	"sync"
)

// copySize is the size of the buffers with which answers are copied.
const copySize = 32 << 10

// SmallAnswer is the size in bytes up to which an answer is copied in one part.
const SmallAnswer = copySize

var copyBuffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// CopyAnswer sends an endpoint's answer to the caller: status, end-to-end headers, body and
// trailers. Headers set on w before are kept unless the answer has the same headers. Parts of a
// streaming answer are flushed as they arrive. CopyAnswer returns the number of bytes read from the
// body, and closes the body.
//
// If the answer is cut off or cannot be written to the caller, CopyAnswer returns the error, and
// the caller's connection is aborted once the handler returns, so that the caller never mistakes a
// partial answer for a complete one.
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

// CutOff marks the answer on w as incomplete: the caller's connection is aborted once the handler
// returns.
func CutOff(w http.ResponseWriter) {
	if tracked, ok := unwrapTo[*answerWriter](w); ok {
		tracked.cutOff = true
		return
	}
	panic(http.ErrAbortHandler)
}

// copyBody copies the body and flushes after each part except the last, which the server flushes
// when the handler returns.
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

// announceTrailers announces the endpoint's trailers to the caller and returns their number.
func announceTrailers(w http.ResponseWriter, resp *http.Response) int {
	for name := range resp.Trailer {
		w.Header().Add("Trailer", name)
	}
	return len(resp.Trailer)
}

// setTrailers sets the values of the trailers, which are known after the body. Trailers that the
// endpoint did not announce need net/http's prefix.
func setTrailers(w http.ResponseWriter, resp *http.Response, announced int) {
	prefix := ""
	if len(resp.Trailer) != announced {
		prefix = http.TrailerPrefix
	}
	for name, values := range resp.Trailer {
		w.Header()[prefix+name] = values
	}
}
