package revision

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// maxPart is the maximum number of data bytes in one part. Base64 in JSON grows them by 4/3; 1/16 is left for the other
// fields.
const maxPart = objectapi.MaxValueSize / 4 * 3 * 15 / 16

// part is the content of one stored object of a revision. Most revisions have a single part.
type part struct {
	// Number is the number of the revision.
	Number uint64 `json:"number"`
	// Parts is the number of parts.
	Parts int `json:"parts"`
	// Sum is the xxHash64 of the data of all parts.
	Sum uint64 `json:"sum"`
	// Data is a section of the output of Encode.
	Data []byte `json:"data"`
}

// objectName returns the name of the revision's first object. The checksum distinguishes revisions that two holders, or
// two attempts of one holder, compile with the same number; the head names the accepted one.
func objectName(number, sum uint64) string {
	return fmt.Sprintf("%s-%016x", resource.RevisionName(number), sum)
}

func partName(object string, index int) string {
	if index == 0 {
		return object
	}
	return fmt.Sprintf("%s-part-%d", object, index)
}

// split cuts the encoded revision into values of stored objects.
func split(number, sum uint64, b []byte, size int) ([][]byte, error) {
	count := (len(b) + size - 1) / size
	out := make([][]byte, 0, count)
	for i := range count {
		p := part{Number: number, Parts: count, Sum: sum, Data: b[i*size : min(len(b), (i+1)*size)]}
		v, err := json.Marshal(p)
		if err != nil {
			return nil, trace.Wrap(err, "encode part %d of revision %d", i, number)
		}
		out = append(out, v)
	}
	return out, nil
}

func readPart(o objectapi.Object, number uint64) (part, error) {
	var p part
	if err := json.Unmarshal(o.Value, &p); err != nil {
		return p, trace.Wrap(err, "decode %s", o.Name)
	}
	if p.Number != number {
		return p, trace.BadParameter("%s holds revision %d, not %d", o.Name, p.Number, number)
	}
	return p, nil
}
