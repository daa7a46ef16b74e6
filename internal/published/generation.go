package published

import "strconv"

// A service that was restored from a copy counts its revisions on from an earlier one, and gives
// some out again. So that a list of VMs of a later era is later than all before it, wherever
// revisions are compared, the upper bits of a list's revision are its era. The lower ones are the
// service's own revision, which leaves room for 100 changes a second over thousands of years.
const generationShift = 44

// InGeneration returns a revision of the service in an era. Era 0 is that of a service that tells none.
func InGeneration(gen, revision uint64) uint64 { return 2*gen<<generationShift | revision }

// Unsettled returns the revision of a list that was made while the service may still lack
// what it lost: later than all of the era before, and earlier than all settled ones of its own.
func Unsettled(revision uint64) uint64 { return revision - 1<<generationShift }

// Settled reports whether a revision is one of InGeneration.
func Settled(revision uint64) bool { return revision>>generationShift%2 == 0 }

// GenerationOf returns the era of a revision.
func GenerationOf(revision uint64) uint64 { return (revision>>generationShift + 1) / 2 }

// ServiceRevision returns a revision as the service itself counts it.
func ServiceRevision(revision uint64) uint64 { return revision & (1<<generationShift - 1) }

// RevisionText returns a revision as people read it.
func RevisionText(revision uint64) string {
	text := strconv.FormatUint(ServiceRevision(revision), 10)
	if gen := GenerationOf(revision); gen > 0 {
		text += " of era " + strconv.FormatUint(gen, 10)
	}
	if !Settled(revision) {
		text += ", unsettled"
	}
	return text
}
