package resource

import "fmt"

// RevisionName returns the object name of a revision. Names sort in the order of their numbers.
func RevisionName(number uint64) string {
	return fmt.Sprintf("revision-%020d", number)
}
