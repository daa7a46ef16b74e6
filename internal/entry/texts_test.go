package entry

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/message"
	"github.com/tealhall/tealhall/internal/published"
)

func rowsText(revision uint64, rows int) published.Text {
	var b bytes.Buffer
	for i := range rows {
		fmt.Fprintf(&b, "{\"name\":\"route-%d\",\"host\":\"h%x.example\"},\n", i, i*7919)
	}
	return published.Text{Revision: revision, Data: b.Bytes()}
}

// Guards against a small change that is sent as a whole text, or is packed anew for each peer.
func TestPeerIsSentWhatChangedSinceItsRevision(t *testing.T) {
	var source, receiver documents
	source.profiles.add(rowsText(4, 2000), 0, nil)
	receiver.profiles.add(rowsText(4, 2000), 0, nil)
	source.profiles.add(rowsText(5, 2001), 0, nil)
	request := message.Fetch{Name: published.ProfilesValue, After: 4, Difference: true, Packed: true, Compressed: true}
	answer, err := source.answer(request)
	if err != nil || answer.Revision != 5 || len(answer.Data) > 200 {
		t.Fatalf("revision %d in %d bytes, error %v", answer.Revision, len(answer.Data), err)
	}
	v, err := decodeDocument(answer, receiver.profiles.find(4))
	if err != nil || !bytes.Equal(v.Data, rowsText(5, 2001).Data) {
		t.Fatalf("%d bytes, error %v", len(v.Data), err)
	}
	receiver.profiles.add(published.Text{Revision: 5, Data: v.Data}, 4, answer.Data)
	passedOn, err := receiver.answer(request)
	if err != nil || &passedOn.Data[0] != &answer.Data[0] {
		t.Errorf("the packed text is not passed on as it came, error %v", err)
	}
	request.After = 3 // not kept here
	if whole, err := source.answer(request); err != nil || len(whole.Data) < 1000 {
		t.Errorf("a peer with an unknown revision is sent %d bytes, error %v", len(whole.Data), err)
	}
}

// Guards against a text that peers are sent although it was refused.
func TestRefusedTextIsNotSent(t *testing.T) {
	var d documents
	d.profiles.add(rowsText(4, 10), 0, nil)
	d.profiles.add(rowsText(5, 11), 0, nil)
	d.profiles.drop(5)
	if answer, err := d.answer(message.Fetch{Name: published.ProfilesValue, Compressed: true}); err != nil || answer.Revision != 4 {
		t.Errorf("revision %d, error %v", answer.Revision, err)
	}
	var empty documents
	if _, err := empty.answer(message.Fetch{Name: published.ProfilesValue, Compressed: true}); fault.KindOf(err) != fault.NotFound {
		t.Errorf("an entry without profiles: error %v", err)
	}
}

// Guards against an entry whose memory grows with each large revision.
func TestKeptTextsAreBounded(t *testing.T) {
	var texts texts
	for revision := range uint64(40) {
		texts.add(published.Text{Revision: revision + 1, Data: make([]byte, keptTextBytes/2+1)}, 0, []byte{1})
	}
	if len(texts.kept) != 3 || len(texts.packed) != maxPacked {
		t.Errorf("%d texts and %d packed ones are kept", len(texts.kept), len(texts.packed))
	}
}
