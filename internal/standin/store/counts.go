package store

import "github.com/auburnwood/auburnwood/pkg/objectapi"

// Counts are the calls that reached the store, by operation, refused ones included.
type Counts map[objectapi.Op]uint64

// Writes is the number of creates, updates and deletes.
func (c Counts) Writes() uint64 {
	return c[objectapi.OpCreate] + c[objectapi.OpUpdate] + c[objectapi.OpDelete]
}

// Reads is the number of gets, lists and watches.
func (c Counts) Reads() uint64 {
	return c[objectapi.OpGet] + c[objectapi.OpList] + c[objectapi.OpWatch]
}
