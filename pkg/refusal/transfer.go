package refusal

import (
	"encoding/json"

	"github.com/gravitational/trace"
)

// EncodeRecords returns the form in which records travel between processes.
func EncodeRecords(records []Record) ([]byte, error) {
	b, err := json.Marshal(records)
	return b, trace.Wrap(err, "encode refusal records")
}

// DecodeRecords reads the form of EncodeRecords.
func DecodeRecords(b []byte) ([]Record, error) {
	var records []Record
	if err := json.Unmarshal(b, &records); err != nil {
		return nil, trace.BadParameter("decode refusal records: %v", err)
	}
	return records, nil
}
