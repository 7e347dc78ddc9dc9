package store

import "github.com/auburnwood/auburnwood/pkg/objectapi"

// Counts are the calls that the store received, by operation, including those refused by a fault.
type Counts map[objectapi.Op]uint64

// Writes returns the number of creates, updates and deletes.
func (c Counts) Writes() uint64 {
	return c[objectapi.OpCreate] + c[objectapi.OpUpdate] + c[objectapi.OpDelete]
}

// Reads returns the number of gets, lists and watches.
func (c Counts) Reads() uint64 {
	return c[objectapi.OpGet] + c[objectapi.OpList] + c[objectapi.OpWatch]
}
