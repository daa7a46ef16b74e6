package wire

import (
	"bytes"
	"encoding/gob"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
)

// Guards against a length, from a stranger or a faulty peer, that would make the decoder allocate
// gigabytes. The reader ends the connection without waiting for the announced bytes.
func TestFrameReaderRefuses(t *testing.T) {
	endless := bytes.Repeat([]byte{3, 0xff, 0x83, 0}, 1000) // an endless series of type definitions
	cases := []struct {
		name  string
		bytes []byte
		want  string
	}{
		{"gigabytes announced", []byte{0xfc, 0x40, 0, 0, 0, 1}, "a message of 1073741824 bytes"},
		{"largest length announced", []byte{0xf8, 255, 255, 255, 255, 255, 255, 255, 255}, "where at most 64 are allowed"},
		{"one byte too long", []byte{65, 1}, "a message of 65 bytes"},
		{"empty message", []byte{0}, "a message of 0 bytes"},
		{"length of nine bytes", []byte{0xf7, 1}, "not a peer message"},
		{"HTTP request", []byte("GET / HTTP/1.1\r\n\r\n"), "a message of 71 bytes"},
		{"TLS to a plain port", []byte{0x16, 0x03, 0x01, 0x02, 0x00, 0x01}, "unexpected EOF"},
		{"endless type definitions", endless, "more than 64 type definitions"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := io.ReadAll(NewFrameReader(bytes.NewReader(c.bytes), 64))
			if err == nil {
				err = io.ErrUnexpectedEOF // a truncated message ends the stream
			}
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v lacks %q", err, c.want)
			}
		})
	}
}

func TestFrameReaderPassesAllowedMessages(t *testing.T) {
	var stream bytes.Buffer
	enc := gob.NewEncoder(&stream)
	sent := []RequestHeader{{Method: MethodHello, Seq: 1}, {Method: MethodPing, Seq: 1 << 40}}
	for _, h := range sent {
		if err := enc.Encode(h); err != nil {
			t.Fatal(err)
		}
	}
	dec := gob.NewDecoder(NewFrameReader(oneByteReader{&stream}, 64))
	for _, want := range sent {
		var got RequestHeader
		if err := dec.Decode(&got); err != nil || got != want {
			t.Fatalf("got %v, error %v", got, err)
		}
	}
}

// oneByteReader returns one byte at a time, as a slow network may do.
type oneByteReader struct{ r io.Reader }

func (o oneByteReader) Read(p []byte) (int, error) { return o.r.Read(p[:1]) }

// TestPackingKeepsEveryField fails when message.Update gets a field that is not packed.
func TestPackingKeepsEveryField(t *testing.T) {
	var u message.Update
	fill(t, reflect.ValueOf(&u).Elem())
	got, err := new(Unpacker).Unpack(u.From, new(Packer).Pack(u))
	if diff := cmp.Diff(u, got); err != nil || diff != "" {
		t.Errorf("error %v, (-sent +received):\n%s", err, diff)
	}
}

// TestEncodedUpdateKeepsEveryField fails when a field of message.Update has no CBOR key in
// wire.Update.
func TestEncodedUpdateKeepsEveryField(t *testing.T) {
	var u message.Update
	fill(t, reflect.ValueOf(&u).Elem())
	data, err := new(Packer).Pack(u).MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	var form Update
	if err := form.UnmarshalBinary(data); err != nil {
		t.Fatal(err)
	}
	got, err := new(Unpacker).Unpack(u.From, &form)
	if diff := cmp.Diff(u, got); err != nil || diff != "" {
		t.Errorf("error %v, (-sent +received):\n%s", err, diff)
	}
}

// fill sets every field to a value other than zero.
func fill(t *testing.T, v reflect.Value) {
	switch {
	case v.CanUint():
		v.SetUint(7)
	case v.CanFloat():
		v.SetFloat(0.4)
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.Kind() == reflect.String:
		v.SetString("text")
	case v.Kind() == reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(t, v.Index(0))
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i))
		}
	default:
		t.Fatalf("fill and Packer do not support type %s", v.Type())
	}
}

// Any sequence of updates on a connection must unpack unchanged, with the tables that both ends
// maintain.
func TestPackedSequencesUnpackUnchanged(t *testing.T) {
	mark := rapid.Custom(func(t *rapid.T) message.Mark {
		return message.Mark{Revision: rapid.Uint64Range(1, 3).Draw(t, "revision"), Digest: 7}
	})
	loadReport := rapid.Custom(func(t *rapid.T) message.LoadReport {
		return message.LoadReport{
			Endpoint:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "endpoint"),
			Incarnation: rapid.Uint64Range(0, 2).Draw(t, "incarnation"),
			InFlight:    rapid.Uint16().Draw(t, "in flight"),
			AgeMillis:   rapid.Uint16().Draw(t, "age"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		var packer Packer
		var unpacker Unpacker
		for range rapid.IntRange(1, 5).Draw(t, "updates") {
			u := message.Update{From: 5, Profiles: mark.Draw(t, "profiles"), VMs: mark.Draw(t, "VMs"),
				EvidenceDigest: rapid.Uint64Range(0, 2).Draw(t, "evidence digest")}
			if loadReports := rapid.SliceOfN(loadReport, 0, 4).Draw(t, "load reports"); len(loadReports) > 0 {
				u.LoadReports = loadReports
			}
			got, err := unpacker.Unpack(5, packer.Pack(u))
			if diff := cmp.Diff(u, got); err != nil || diff != "" {
				t.Fatalf("error %v, (-sent +received):\n%s", err, diff)
			}
		}
	})
}

// Guards against a table that fills up because endpoints are replaced during a long-lived
// connection, and against load reports that are attributed to a wrong endpoint after both ends
// restart the table.
func TestFullEndpointTableRestarts(t *testing.T) {
	var packer Packer
	var unpacker Unpacker
	restarts := 0
	for round := range uint64(10) {
		u := message.Update{From: 5}
		for i := range uint64(1000) {
			u.LoadReports = append(u.LoadReports, message.LoadReport{Endpoint: "a", Incarnation: round*500 + i})
		}
		packed := packer.Pack(u)
		if packed.Restart {
			restarts++
		}
		got, err := unpacker.Unpack(5, packed)
		if diff := cmp.Diff(u, got); err != nil || diff != "" {
			t.Fatalf("round %d: error %v, (-sent +received):\n%s", round, err, diff)
		}
	}
	if restarts == 0 {
		t.Error("the table was never full")
	}
}

func TestUnpackRefuses(t *testing.T) {
	endpoints := []EndpointID{{Endpoint: "a"}}
	cases := []struct {
		name   string
		packed Update
		want   string
	}{
		{"truncated load report", Update{Endpoints: endpoints, LoadReports: []byte{0, 1}}, "ends within a sighting"},
		{"endless number", Update{Endpoints: endpoints, LoadReports: bytes.Repeat([]byte{0xff}, 20)}, "ends within a sighting"},
		{"unknown endpoint", Update{Endpoints: endpoints, LoadReports: []byte{1, 0, 0, 0}}, "refers to endpoint 1 of 1"},
		{"number out of range", Update{Endpoints: endpoints, LoadReports: []byte{0, 0xff, 0xff, 0x7f, 0, 0}}, "beyond its range"},
		{"too many names", Update{Endpoints: make([]EndpointID, maxEndpoints+1)}, "names more than"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := new(Unpacker).Unpack(1, &c.packed)
			if fault.KindOf(err) != fault.BadMessage || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v lacks %q", err, c.want)
			}
		})
	}
}

func TestRefusalKeepsKindAndRemedy(t *testing.T) {
	if Refuse(nil) != nil || (*Refusal)(nil).Err() != nil {
		t.Error("nil does not stay nil")
	}
	long := fault.New(fault.BadMessage, strings.Repeat("é", 600), "%s", strings.Repeat("x", 600))
	for _, err := range []error{fault.New(fault.NotFound, "publish it", "no value %d%%", 7), errors.New("plain"), long} {
		back := Refuse(err).Err()
		if fault.KindOf(back) != fault.KindOf(err) || !strings.HasPrefix(err.Error(), strings.Split(back.Error(), ";")[0]) {
			t.Errorf("%v became %v", err, back)
		}
		if len(back.Error()) > 3*maxRefusalBytes {
			t.Errorf("a refusal of %d bytes", len(back.Error()))
		}
	}
}

// TestEncodedHelloKeepsEveryField fails when message.Hello gets a field that helloForm lacks.
func TestEncodedHelloKeepsEveryField(t *testing.T) {
	var h message.Hello
	fill(t, reflect.ValueOf(&h).Elem())
	h.Status.From = h.Incarnation
	data, err := Hello(h).MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	var got Hello
	if err := got.UnmarshalBinary(data); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(h, message.Hello(got)); diff != "" {
		t.Errorf("(-sent +received):\n%s", diff)
	}
}

// Every entry opens a link to each other entry, and most links carry few messages. Guards against
// first messages that describe the types of all messages: that took 2.8 KB on each link, and 44 MB
// in a fleet of 126 entries.
func TestFirstMessagesOfLinkAreSmall(t *testing.T) {
	h := Hello{Version: 2, MinVersion: 2, Name: "front-south-a-1", Incarnation: 1 << 60, Region: "south", Domain: "south-a",
		CallerAddress: "10.1.0.35:8144", PeerAddress: "10.1.0.35:8146", Records: message.RecordSet{Count: 126, Digest: 1 << 60}}
	h.Status = message.Update{From: h.Incarnation, Epoch: 30, VMs: message.Mark{Revision: 100, Digest: 1 << 60}, EvidenceDigest: 1 << 60}
	for name, messages := range map[string][]any{
		"requests": {RequestHeader{Method: MethodHello, Seq: 1}, h, Update{Sequence: 1, Rate: 7}},
		"replies":  {ResponseHeader{Seq: 1}, HelloReply{Hello: h}, AckReply{Ack: message.Ack{Accepted: true}}},
	} {
		var s stream
		s.enc = gob.NewEncoder(&s.out)
		for _, m := range messages {
			if err := s.encode(m); err != nil {
				t.Fatal(err)
			}
		}
		if s.out.Len() > 200 {
			t.Errorf("%s: %d bytes", name, s.out.Len())
		}
	}
}

// Any bytes must decode to a Hello or an Update or give an error, without a panic.
func FuzzHello(f *testing.F) {
	data, _ := Hello{Name: "a", Incarnation: 1, Status: message.Update{From: 1}}.MarshalBinary()
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var h Hello
		_ = h.UnmarshalBinary(data)
		var u Update
		_ = u.UnmarshalBinary(data)
	})
}
