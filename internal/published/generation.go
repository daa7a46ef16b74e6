package published

import "strconv"

// A service that was restored from a copy continues from an earlier revision and assigns some
// revisions a second time. The upper bits of a list's revision are therefore its generation, so
// that a list of VMs of a later generation compares as later than all lists of earlier ones.
// Generation g uses the value 2g for settled lists and 2g-1 for unsettled ones. The lower bits are
// the service's own revision, which leaves room for 100 changes a second over thousands of years.
const generationShift = 44

// InGeneration returns the revision of a list in a generation of the service. Generation 0 means
// that the service reports none.
func InGeneration(gen, revision uint64) uint64 { return 2*gen<<generationShift | revision }

// Unsettled converts a revision that InGeneration returned into that of an unsettled list, which
// was made while a restored service may still lack data. The result is later than all revisions of
// the generation before, and earlier than all settled revisions of its own generation.
func Unsettled(revision uint64) uint64 { return revision - 1<<generationShift }

// Settled reports whether a revision was returned by InGeneration rather than by Unsettled.
func Settled(revision uint64) bool { return revision>>generationShift%2 == 0 }

// GenerationOf returns the generation of a revision.
func GenerationOf(revision uint64) uint64 { return (revision>>generationShift + 1) / 2 }

// ServiceRevision returns the service's own revision, without the generation.
func ServiceRevision(revision uint64) uint64 { return revision & (1<<generationShift - 1) }

// RevisionText returns a revision in readable form, in which the generation is called the era.
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
