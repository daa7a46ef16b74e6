package idem

import (
	"encoding/binary"
	"runtime"
	"testing"
)

const benchKeys = defaultMaxKeys

func benchKey(i int) Key {
	k := Key{Home: 1, Epoch: firstEpoch}
	binary.LittleEndian.PutUint64(k.Random[:], uint64(i))
	return k
}

// fill begins and finishes the given number of keys.
func fill(t *Table, keys int, a *Answer) {
	for i := range keys {
		t.Begin(0, benchKey(i), 1, Digest{1})
		t.Finish(benchKey(i), Done, a)
	}
}

// BenchmarkRequest measures one request: Begin, MayDispatch and Finish. A full table is replaced by
// an empty one, so that the result includes the growth of the table.
func BenchmarkRequest(b *testing.B) {
	b.ReportAllocs()
	a := &Answer{Status: 200, Body: make([]byte, 100)}
	t := NewTable(DefaultConfig(1))
	for i := 0; b.Loop(); i++ {
		k := benchKey(i % benchKeys)
		if i%benchKeys == 0 {
			t = NewTable(DefaultConfig(1))
		}
		if t.Begin(0, k, 1, Digest{1}).Kind == Run && t.MayDispatch(k) {
			t.Finish(k, Done, a)
		}
	}
}

// BenchmarkRetry measures a retry that is answered from a full table.
func BenchmarkRetry(b *testing.B) {
	b.ReportAllocs()
	t := NewTable(DefaultConfig(1))
	fill(t, benchKeys, &Answer{Body: make([]byte, 30)})
	for i := 0; b.Loop(); i++ {
		t.Begin(0, benchKey(i%benchKeys), 1, Digest{1})
	}
}

// BenchmarkRefuse measures the refusal of a new key by a full table.
func BenchmarkRefuse(b *testing.B) {
	b.ReportAllocs()
	t := NewTable(DefaultConfig(1))
	fill(t, benchKeys, nil)
	for i := 0; b.Loop(); i++ {
		t.Begin(0, benchKey(benchKeys+i), 1, Digest{1})
	}
}

// BenchmarkExport measures the export of a full table.
func BenchmarkExport(b *testing.B) {
	t := NewTable(DefaultConfig(1))
	fill(t, benchKeys, nil)
	for b.Loop() {
		t.Export()
	}
}

// BenchmarkAdoptPart measures the adoption of 256 keys at a time. The table is replaced by an empty
// one after the last part.
func BenchmarkAdoptPart(b *testing.B) {
	const part = 256
	t := NewTable(DefaultConfig(1))
	fill(t, benchKeys, nil)
	records := t.Export()
	for i := 0; b.Loop(); i += part {
		from := i % benchKeys
		if from == 0 {
			t = NewTable(DefaultConfig(2))
		}
		t.AdoptPart(0, 1, firstEpoch, benchKeys, records[from:from+part])
	}
}

// BenchmarkMemory reports the heap bytes per key of a full table, for own and adopted keys without
// answers.
func BenchmarkMemory(b *testing.B) {
	perKey := func(name string, make func() *Table) {
		before := heap()
		t := make()
		b.ReportMetric(float64(heap()-before)/benchKeys, name)
		runtime.KeepAlive(t)
	}
	own := NewTable(DefaultConfig(1))
	for b.Loop() {
		perKey("own-B/key", func() *Table { fill(own, benchKeys, nil); return own })
		perKey("adopted-B/key", func() *Table {
			t := NewTable(DefaultConfig(2))
			t.Adopt(0, 1, own.OldestEpoch(), own.Export(), true)
			return t
		})
		own = NewTable(DefaultConfig(1))
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
