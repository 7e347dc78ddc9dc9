package resource

import "fmt"

// RevisionName returns the name of a revision, zero-padded so that names sort in the order of their numbers.
func RevisionName(number uint64) string {
	return fmt.Sprintf("revision-%020d", number)
}
