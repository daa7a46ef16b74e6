package directory

import "math"

// pick chooses from ranked candidates: the serving ones first, then others until there are enough
// entries and failure domains. It does not change found.
func pick(found []candidate) []candidate {
	ordered := make([]candidate, 0, len(found))
	for _, c := range found {
		if c.serving {
			ordered = append(ordered, c)
		}
	}
	serving := len(ordered)
	for _, c := range found {
		if !c.serving {
			ordered = append(ordered, c)
		}
	}
	n := min(max(serving, MinChoices), MaxChoices, len(ordered))
	ensureDomains(ordered, n)
	return ordered[:n]
}

// ensureDomains makes the first n candidates cover MinDomains failure domains if all candidates
// together do, by replacing the last of the n. This guards against an answer of which no entry is
// usable when one failure domain fails.
func ensureDomains(ordered []candidate, n int) {
	if n < MinDomains || countDomains(ordered[:n]) >= MinDomains {
		return
	}
	for i := n; i < len(ordered); i++ {
		if ordered[i].entry.Domain != ordered[0].entry.Domain {
			ordered[n-1], ordered[i] = ordered[i], ordered[n-1]
			return
		}
	}
}

// countDomains counts failure domains, up to MinDomains.
func countDomains(list []candidate) int {
	for i := range list {
		if list[i].entry.Domain != list[0].entry.Domain {
			return MinDomains
		}
	}
	return min(len(list), 1)
}

// choiceWeight returns the weight in the answer. It is at least 1 for a serving entry, which
// without requests could not show that it has room again.
func choiceWeight(c candidate) uint32 {
	weight := uint32(math.Round(c.weight * MaxWeight))
	if c.serving {
		return max(weight, 1)
	}
	return weight
}

// choices converts candidates to the entries of an answer.
func choices(picked []candidate) []Choice {
	out := make([]Choice, 0, len(picked))
	for _, c := range picked {
		out = append(out, Choice{
			Incarnation: c.entry.Incarnation,
			Address:     c.entry.Address,
			Domain:      c.entry.Domain,
			Epoch:       c.entry.Epoch,
			Weight:      choiceWeight(c),
		})
	}
	return out
}
