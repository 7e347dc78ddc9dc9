package target

import "bytes"

// Label precedes the echoed bytes of each UDP response and identifies the target.
type Label struct {
	// Service is the service that the target actually serves.
	Service string
	// Target is the target's ID.
	Target string
}

func (l Label) Append(b []byte) []byte {
	b = append(b, l.Service...)
	b = append(b, 0)
	b = append(b, l.Target...)
	return append(b, 0)
}

// CutLabel splits a response into its label and the echoed bytes; it returns false when the label is missing or incomplete.
func CutLabel(b []byte) (Label, []byte, bool) {
	service, rest, ok := bytes.Cut(b, []byte{0})
	if !ok {
		return Label{}, nil, false
	}
	id, rest, ok := bytes.Cut(rest, []byte{0})
	return Label{Service: string(service), Target: string(id)}, rest, ok
}
