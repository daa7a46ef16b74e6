package front

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
	"net/http"

	"github.com/tealhall/tealhall/internal/idem"
)

// Digest returns the hash that binds an idempotency key to its request, over caller, method, target
// and body. If the body is larger than its buffer, complete is false and only the length of the
// body is hashed.
func Digest(caller string, r *http.Request, body *ReplayBody) (digest idem.Digest, complete bool) {
	h := sha256.New()
	writeField(h, caller)
	writeField(h, r.Method)
	writeField(h, r.URL.RequestURI())
	writeLength(h, body.Length())
	if body.Whole() {
		body.writeKept(h)
	}
	h.Sum(digest[:0])
	return digest, body.Whole()
}

// writeField writes the length before the text, so that no two requests hash the same bytes.
func writeField(h hash.Hash, text string) {
	writeLength(h, int64(len(text)))
	io.WriteString(h, text)
}

func writeLength(h hash.Hash, length int64) {
	var bytes [8]byte
	binary.BigEndian.PutUint64(bytes[:], uint64(length))
	h.Write(bytes[:])
}

// ContentHash returns a hash over the host, method, target and body of a request. It leaves out the
// caller and everything that differs between two attempts. Of a body larger than its buffer it
// covers the length and the buffered bytes.
func ContentHash(r *http.Request, body *ReplayBody) uint64 {
	h := sha256.New()
	writeField(h, r.Host)
	writeField(h, r.Method)
	writeField(h, r.URL.RequestURI())
	writeLength(h, body.Length())
	body.writeKept(h)
	var sum [sha256.Size]byte
	return binary.BigEndian.Uint64(h.Sum(sum[:0]))
}
