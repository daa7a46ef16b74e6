package published

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/tealhall/tealhall/internal/fault"
)

// routesText returns a document like the routes between entries, with n rows that differ in names
// and numbers.
func routesText(n int, timeout int) []byte {
	rng := rand.New(rand.NewPCG(5, 7))
	var b bytes.Buffer
	b.WriteString(`{"routes":[`)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r%08x","host":"h%06x.example","prefix":"/p%08x/","kind":"idempotent","priority":2,"timeout_ms":%d,"objective_ms":1500,"max_attempts":3,"parts":[{"service":"cotiza","weight":%d},{"service":"ordenes","weight":%d}]}`,
			i, rng.Uint32()>>8, rng.Uint32(), timeout, rng.IntN(100), rng.IntN(100))
	}
	b.WriteString(`],"services":[]}`)
	return b.Bytes()
}

// Guards against a text that is not the one that was packed, whatever it has in common with the
// earlier one.
func TestTextsArePackedAndUnpacked(t *testing.T) {
	rows := rapid.SliceOfN(rapid.SampledFrom([]string{`{"name":"a","host":"one.example"}`, `{"name":"b","host":"two.example"}`, `,{"x":1}`, "line of a settings file\n", "}", "", "tail"}), 0, 30)
	rapid.Check(t, func(rt *rapid.T) {
		join := func(label string) (text []byte) {
			for _, row := range rows.Draw(rt, label) {
				text = append(text, row...)
			}
			return text
		}
		earlier, text := Text{3, join("earlier")}, join("text")
		for _, after := range []Text{{}, earlier} {
			got, err := UnpackText(PackText(text, after), earlier)
			if err != nil || !bytes.Equal(got, text) {
				rt.Fatalf("packed after revision %d: %q, error %v", after.Revision, got, err)
			}
		}
	})
}

// Guards against a packed text that is damaged, or was packed with another text of the earlier
// revision, and is used all the same.
func TestUnusablePackedTextsAreRefused(t *testing.T) {
	earlier, text := Text{3, routesText(50, 100)}, routesText(60, 200)
	packed := PackText(text, earlier)
	for name, after := range map[string]Text{"none": {}, "of another revision": {4, earlier.Data}, "another text": {3, routesText(50, 101)}} {
		if _, err := UnpackText(packed, after); fault.KindOf(err) != fault.BadMessage {
			t.Errorf("with an earlier text that is %s: error %v", name, err)
		}
	}
	for at := range packed {
		damaged := bytes.Clone(packed)
		damaged[at] ^= 0x20
		if got, err := UnpackText(damaged, earlier); err == nil && !bytes.Equal(got, text) {
			t.Fatalf("byte %d was changed and another text returned", at)
		}
		if got, err := UnpackText(packed[:at], earlier); err == nil && !bytes.Equal(got, text) {
			t.Fatalf("%d bytes of %d gave another text", at, len(packed))
		}
	}
}

// Guards against a change of a few routes that is as large as all routes, and against routes that
// pass between entries as plain text.
func TestPackedTextsAreSmall(t *testing.T) {
	const mostOfPlainText = 0.18
	before, after := routesText(1200, 100), routesText(2400, 100)
	changed := bytes.Replace(after, []byte(`"timeout_ms":100`), []byte(`"timeout_ms":250`), 1)
	for _, c := range []struct {
		name    string
		text    []byte
		earlier Text
		atMost  int
	}{
		{"all routes", after, Text{}, int(mostOfPlainText * float64(len(after)))},
		{"1,200 routes more", after, Text{1, before}, int(mostOfPlainText * float64(len(after)-len(before)))},
		{"one route changed", changed, Text{1, after}, 1024},
		{"a route fewer", before, Text{1, after}, 1024},
	} {
		size := len(PackText(c.text, c.earlier))
		t.Logf("%s: %d bytes of %d", c.name, size, len(c.text))
		if size > c.atMost {
			t.Errorf("%s: %d bytes of %d, want at most %d", c.name, size, len(c.text), c.atMost)
		}
	}
}

// FuzzUnpackText checks that no message makes UnpackText fail in another way than with a typed error,
// or return more than it announces.
func FuzzUnpackText(f *testing.F) {
	earlier := Text{3, routesText(3, 100)}
	f.Add(PackText(routesText(4, 100), earlier))
	f.Add(PackText([]byte("text"), Text{}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if text, err := UnpackText(data, earlier); err != nil && fault.KindOf(err) != fault.BadMessage || len(text) > MaxDocumentBytes {
			t.Errorf("%d bytes, error %v", len(text), err)
		}
	})
}

// BenchmarkPackText measures a change of one route in 2,400.
func BenchmarkPackText(b *testing.B) {
	earlier := Text{1, routesText(2400, 100)}
	text := bytes.Replace(earlier.Data, []byte(`"timeout_ms":100`), []byte(`"timeout_ms":250`), 1)
	for _, after := range []Text{{}, earlier} {
		packed := PackText(text, after)
		b.Run(fmt.Sprint("pack/after", after.Revision), func(b *testing.B) {
			for b.Loop() {
				PackText(text, after)
			}
		})
		b.Run(fmt.Sprint("unpack/after", after.Revision), func(b *testing.B) {
			for b.Loop() {
				_, _ = UnpackText(packed, after)
			}
		})
	}
}
