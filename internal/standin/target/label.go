package target

import "bytes"

// Label stands before the echoed bytes of each UDP answer and says who answers.
type Label struct {
	// Service is the service that the target truly serves.
	Service string
	// Target names the target.
	Target string
}

// Append appends the label to b.
func (l Label) Append(b []byte) []byte {
	b = append(b, l.Service...)
	b = append(b, 0)
	b = append(b, l.Target...)
	return append(b, 0)
}

// CutLabel splits an answer into its label and the echoed bytes; it returns false when there is no whole label.
func CutLabel(b []byte) (Label, []byte, bool) {
	service, rest, ok := bytes.Cut(b, []byte{0})
	if !ok {
		return Label{}, nil, false
	}
	id, rest, ok := bytes.Cut(rest, []byte{0})
	return Label{Service: string(service), Target: string(id)}, rest, ok
}
