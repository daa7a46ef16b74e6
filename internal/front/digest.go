package front

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
	"net/http"

	"github.com/tealhall/tealhall/internal/idem"
)

// Digest returns what binds an idempotency key to its request: a hash over
// caller, method, target and body. complete is false if the body is larger than
// its buffer; its length stands for it then.
func Digest(caller string, r *http.Request, body *ReplayBody) (digest idem.Digest, complete bool) {
	h := sha256.New()
	writeField(h, caller)
	writeField(h, r.Method)
	writeField(h, r.URL.RequestURI())
	writeLength(h, body.Length())
	if body.Whole() {
		h.Write(body.Bytes())
	}
	h.Sum(digest[:0])
	return digest, body.Whole()
}

// writeField writes the length before the text, so that no two requests give
// the same bytes.
func writeField(h hash.Hash, text string) {
	writeLength(h, int64(len(text)))
	io.WriteString(h, text)
}

func writeLength(h hash.Hash, length int64) {
	var bytes [8]byte
	binary.BigEndian.PutUint64(bytes[:], uint64(length))
	h.Write(bytes[:])
}

// ContentHash returns a number that requests share which have the same host, method, target and body,
// whoever sends them; whatever differs between two attempts is left out. Of a body larger than its
// buffer the length and the bytes kept count.
func ContentHash(r *http.Request, body *ReplayBody) uint64 {
	h := sha256.New()
	writeField(h, r.Host)
	writeField(h, r.Method)
	writeField(h, r.URL.RequestURI())
	writeLength(h, body.Length())
	h.Write(body.Bytes())
	var sum [sha256.Size]byte
	return binary.BigEndian.Uint64(h.Sum(sum[:0]))
}
