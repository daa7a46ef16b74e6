package entry

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

// vmsWith returns a list of n endpoints in which the first has the given incarnation.
func vmsWith(n int, revision, incarnation uint64) published.VMList {
	list := published.VMList{Revision: revision}
	for i := range n {
		list.VMs = append(list.VMs, published.VM{Name: fmt.Sprintf("i-%06d", i), Incarnation: 1, Role: published.EndpointRole, State: published.Live,
			Region: "r", Domain: "a", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, 1+i%250), Pool: "p", Slots: 2})
	}
	list.VMs[0].Incarnation = incarnation
	return list
}

// fetchAll fetches all parts of a document, and calls between before each part but the first.
func fetchAll(t *testing.T, d *documents, f message.Fetch, between func()) (message.Document, error) {
	t.Helper()
	whole, err := d.answer(f)
	f.Revision = whole.Revision
	for err == nil && len(whole.Data) < whole.Size {
		between()
		f.Offset = len(whole.Data)
		var part message.Document
		part, err = d.answer(f)
		whole.Data = append(bytes.Clone(whole.Data), part.Data...)
	}
	return whole, err
}

// Guards against a list that is put together from parts of different revisions, because it changes
// while a peer fetches its parts.
func TestPartsAreOfOneRevision(t *testing.T) {
	const endpoints = 6000
	var d documents
	d.putVMs(vmsWith(endpoints, 1, 1))
	revision, parts := uint64(1), 0
	document, err := fetchAll(t, &d, message.Fetch{Name: published.VMsValue, Packed: true}, func() {
		revision++
		parts++
		d.putVMs(vmsWith(endpoints, revision, revision))
	})
	if err != nil || parts < 2 {
		t.Fatalf("error %v after %d further parts", err, parts)
	}
	v, err := decodeDocument(document, published.Text{})
	if err != nil || v.Revision != 1 || v.List.VMs[0].Incarnation != 1 || len(v.List.VMs) != endpoints {
		t.Fatalf("revision %d, error %v", v.Revision, err)
	}
	next, err := d.answer(message.Fetch{Name: published.VMsValue, After: v.Revision, Difference: true, Packed: true})
	if err != nil || !next.Difference || next.Revision != revision || len(next.Data) > 200 {
		t.Errorf("the answer after the parts: difference %v to revision %d, %d bytes, error %v", next.Difference, next.Revision, len(next.Data), err)
	}
}

// Guards against a large configuration that peers never get as a whole because it changes while
// they fetch its parts.
func TestProfilesArePassedOnWhileTheyChange(t *testing.T) {
	profilesOf := func(revision uint64) published.Text {
		data := make([]byte, 5*documentPartBytes/2)
		random := rand.NewChaCha8([32]byte{byte(revision)})
		_, _ = random.Read(data)
		return published.Text{Revision: revision, Data: data}
	}
	for _, compressed := range []bool{false, true} {
		var d documents
		d.profiles.add(profilesOf(1), 0, nil)
		revision := uint64(1)
		document, err := fetchAll(t, &d, message.Fetch{Name: published.ProfilesValue, Packed: true, Compressed: compressed}, func() {
			revision++
			d.profiles.add(profilesOf(revision), 0, nil)
			if _, err := d.answer(message.Fetch{Name: published.ProfilesValue, Packed: true, Compressed: compressed, After: revision - 1, Difference: true}); err != nil {
				t.Fatal(err)
			}
		})
		if err != nil || revision < 3 || document.Revision != 1 {
			t.Fatalf("revision %d while revision %d came into force, error %v", document.Revision, revision, err)
		}
		got, err := decodeDocument(document, published.Text{})
		if err != nil || !bytes.Equal(got.Data, profilesOf(1).Data) {
			t.Errorf("compressed %v: %d bytes, error %v", compressed, len(got.Data), err)
		}
		whole, err := d.answer(message.Fetch{Name: published.ProfilesValue})
		if err != nil || !bytes.Equal(whole.Data, profilesOf(revision).Data) {
			t.Errorf("an older entry is sent %d bytes of revision %d, error %v", len(whole.Data), whole.Revision, err)
		}
	}
}

// Guards against parts of a snapshot that is no longer kept: the peer is told to begin again and
// does not get those of another one.
func TestPartOfDroppedSnapshotIsRefused(t *testing.T) {
	const endpoints = 6000
	var d documents
	d.putVMs(vmsWith(endpoints, 1, 1))
	first, err := d.answer(message.Fetch{Name: published.VMsValue, Packed: true})
	if err != nil {
		t.Fatal(err)
	}
	for revision := uint64(2); revision < 100; revision++ { // more than the recorded changes
		d.putVMs(vmsWith(endpoints, revision, revision))
	}
	if other, err := d.answer(message.Fetch{Name: published.VMsValue, Packed: true}); err != nil || other.Revision != 99 {
		t.Fatalf("revision %d, error %v", other.Revision, err)
	}
	_, err = d.answer(message.Fetch{Name: published.VMsValue, Packed: true, Revision: first.Revision, Offset: len(first.Data)})
	if fault.KindOf(err) != fault.NotFound {
		t.Errorf("error %v, want one of kind NotFound", err)
	}
}

// Guards against an update of the fleet in which entries of both releases cannot give each other the
// list.
func TestListPassesBetweenReleases(t *testing.T) {
	var d documents
	d.putVMs(vmsWith(3, 1, 1))
	d.putVMs(vmsWith(3, 2, 2))
	toOlder, err := d.answer(message.Fetch{Name: published.VMsValue, After: 1, Difference: true})
	if err != nil || toOlder.Difference || toOlder.Packed {
		t.Fatalf("an older entry is sent %+v, error %v", toOlder, err)
	}
	fromOlder, err := decodeDocument(toOlder, published.Text{})
	if err != nil {
		t.Fatal(err)
	}
	if list, err := published.ParseVMs(fromOlder); err != nil || list.Digest() != d.vms.Digest() {
		t.Errorf("the text of an older entry: %+v, error %v", list, err)
	}
	older := message.Document{Name: published.VMsValue, Revision: 2, Difference: true, Data: []byte(`{"rows":[],"digest":1}`)}
	if _, err := decodeDocument(older, published.Text{}); fault.KindOf(err) != fault.BadMessage {
		t.Errorf("difference of an older entry: error %v, want one of kind BadMessage", err)
	}
}
