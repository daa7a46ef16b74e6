package core

import (
	"fmt"
	"strings"

	"github.com/tealhall/tealhall/internal/core/member"
)

// maxSeparateNotes is the largest number of simultaneous changes of one kind that get a line each
// in the audit trail. When a fleet starts or a failure domain is lost, hundreds of lines at each of
// hundreds of entries would cost more than the changes themselves, and the bound on the log would
// drop other lines.
const maxSeparateNotes = 8

// auditChanges writes membership changes to the audit trail. Many changes of one kind are combined
// into one note.
func auditChanges(changes []member.Change, actor string, out *Actions) {
	var count [member.KindCount]int
	for i := range changes {
		count[changes[i].Kind]++
	}
	for i := range changes {
		ch := &changes[i]
		switch n := count[ch.Kind]; {
		case n > 0 && n <= maxSeparateNotes:
			out.note(changeNote(ch, actor))
		case n > 0:
			note := changeNote(ch, actor)
			note.Why = fmt.Sprintf("%s; with %d others, %s", note.Why, n-1, otherNames(changes[i:]))
			out.note(note)
			count[ch.Kind] = -1
		}
	}
}

// otherNames lists a few of the VMs whose change is of the same kind as the first change.
func otherNames(changes []member.Change) string {
	var names []string
	for i := range changes[1:] {
		if ch := &changes[1+i]; ch.Kind == changes[0].Kind && len(names) < maxSeparateNotes {
			names = append(names, ch.VM.Name)
		}
	}
	return "among them " + strings.Join(names, ", ")
}

func changeNote(ch *member.Change, actor string) Note {
	subject := "vm list"
	switch {
	case ch.VM.Name != "":
		subject = string(ch.VM.Role) + " " + ch.VM.Name
	case ch.VM.Domain != "":
		subject = "failure domain " + ch.VM.Domain
	}
	return Note{Actor: actor, Subject: subject, Action: ch.Kind.String(), Why: ch.Why}
}
