package published

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/tealhall/tealhall/internal/fault"
)

// MaxDocumentBytes bounds a value that passes between entries. A list of some hundred thousand VMs
// has this size.
const MaxDocumentBytes = 16 << 20

// Text is a revision of a value that is a text. The zero Text is no revision.
type Text struct {
	Revision uint64
	Data     []byte
}

// packedText is the form of a text between entries: what it has in common with an earlier revision,
// and the rest compressed. A release may add keys; it must not change the meaning of an existing one.
type packedText struct {
	// After is the revision of the earlier text, 0 for none, and AfterDigest the hash of that text.
	After       uint64 `cbor:"1,keyasint,omitempty"`
	AfterDigest uint64 `cbor:"2,keyasint,omitempty"`
	// Size and Digest are those of the text.
	Size   int    `cbor:"3,keyasint"`
	Digest uint64 `cbor:"4,keyasint"`
	// Runs say where the earlier text continues in this one. Literals is the rest, compressed with
	// DEFLATE.
	Runs     []run  `cbor:"5,keyasint,omitempty"`
	Literals []byte `cbor:"6,keyasint,omitempty"`
}

// run is a part of a text that the earlier text has at From. Literal bytes precede it.
type run struct {
	_                     struct{} `cbor:",toarray"`
	Literal, From, Length int
}

// PackText encodes a text for UnpackText. If after is a revision, the receiver needs that revision.
func PackText(text []byte, after Text) []byte {
	p := packedText{Size: len(text), Digest: xxhash.Sum64(text)}
	literals := text
	if after.Revision != 0 {
		p.After, p.AfterDigest = after.Revision, xxhash.Sum64(after.Data)
		p.Runs, literals = commonRuns(text, after.Data)
	}
	p.Literals = deflate(literals)
	data, _ := cbor.Marshal(&p) // numbers and bytes only, which always encode
	return data
}

// UnpackText decodes a text that PackText encoded. after is the revision that the receiver has; a
// text that was packed with another one, or with another text of that revision, is an error.
func UnpackText(data []byte, after Text) ([]byte, error) {
	var p packedText
	if err := cbor.Unmarshal(data, &p); err != nil {
		return nil, fault.Wrap(err, fault.BadMessage, remedyPackedText, "the packed text is not readable")
	}
	if p.Size < 0 || p.Size > MaxDocumentBytes {
		return nil, fault.New(fault.BadMessage, remedyPackedText, "the packed text has %d bytes, at most %d are accepted", p.Size, MaxDocumentBytes)
	}
	if p.After != 0 && (p.After != after.Revision || p.AfterDigest != xxhash.Sum64(after.Data)) {
		return nil, fault.New(fault.BadMessage, remedyPackedText, "the text was packed with another text of revision %s", RevisionText(p.After))
	}
	text, err := p.unpack(after.Data)
	if err != nil {
		return nil, err
	}
	if len(text) != p.Size || xxhash.Sum64(text) != p.Digest {
		return nil, fault.New(fault.BadMessage, remedyPackedText, "the packed text has %d bytes with another digest, %d expected", len(text), p.Size)
	}
	return text, nil
}

const remedyPackedText = "fetch the whole value, or ask another peer"

// unpack puts the text together. It never produces more than Size bytes.
func (p *packedText) unpack(after []byte) ([]byte, error) {
	text := make([]byte, 0, p.Size)
	literals := flate.NewReader(bytes.NewReader(p.Literals))
	for _, r := range p.Runs {
		room := p.Size - len(text)
		if r.Literal < 0 || r.Length < 0 || r.From < 0 || r.Literal > room || r.Length > room-r.Literal || r.From > len(after)-r.Length {
			return nil, fault.New(fault.BadMessage, remedyPackedText, "a run of the packed text is out of its bounds")
		}
		text = text[:len(text)+r.Literal]
		if _, err := io.ReadFull(literals, text[len(text)-r.Literal:]); err != nil {
			return nil, fault.Wrap(err, fault.BadMessage, remedyPackedText, "the packed text ends early")
		}
		text = append(text, after[r.From:r.From+r.Length]...)
	}
	rest, err := io.ReadAll(io.LimitReader(literals, int64(p.Size-len(text))))
	if err != nil {
		return nil, fault.Wrap(err, fault.BadMessage, remedyPackedText, "the packed text cannot be decompressed")
	}
	return append(text, rest...), nil
}

func deflate(data []byte) []byte {
	var out bytes.Buffer
	w, _ := flate.NewWriter(&out, flate.BestSpeed) // the level is valid
	_, _ = w.Write(data)                           // a bytes.Buffer takes all writes
	_ = w.Close()
	return out.Bytes()
}

// shortestRun is the shortest row that begins a run: a shorter one costs more than its bytes.
const shortestRun = 16

// commonRuns finds the rows that a text has in common with an earlier one, and returns the other
// bytes. A row ends with a line or with a closing brace, so that a document with many small objects
// has many rows.
func commonRuns(text, earlier []byte) (runs []run, literals []byte) {
	at := make(map[string]int)
	for from := 0; from < len(earlier); {
		row := nextRow(earlier[from:])
		if _, known := at[string(row)]; !known && len(row) >= shortestRun {
			at[string(row)] = from
		}
		from += len(row)
	}
	var current run
	for rest := text; len(rest) > 0; {
		row := nextRow(rest)
		rest = rest[len(row):]
		end := current.From + current.Length
		if current.Length > 0 && bytes.HasPrefix(earlier[end:], row) {
			current.Length += len(row)
			continue
		}
		if current.Length > 0 {
			runs = append(runs, current)
			current = run{}
		}
		if from, found := at[string(row)]; found {
			current.From, current.Length = from, len(row)
			continue
		}
		current.Literal += len(row)
		literals = append(literals, row...)
	}
	if current.Length > 0 {
		runs = append(runs, current)
	}
	return runs, literals
}

// nextRow returns the first row of a text that is not empty.
func nextRow(text []byte) []byte {
	if end := bytes.IndexAny(text, "}\n"); end >= 0 {
		return text[:end+1]
	}
	return text
}
