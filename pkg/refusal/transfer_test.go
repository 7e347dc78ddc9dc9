package refusal

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzAdopt checks that a log survives any records from a peer, and that PeerDied takes over all adopted ones.
func FuzzAdopt(f *testing.F) {
	f.Add(`[{"id":"a/1/2.3","count":2},{"id":"a/1/2.1","count":9},{"id":"a/1/2.0"},{"id":"a/1/2.4"}]`)
	f.Add(`[{"id":"","count":1},{"id":"a/1/2.3w5e11264sgsf","count":4294967295},{"id":"a/2/1.1","count":1}]`)
	f.Fuzz(func(t *testing.T, text string) {
		var records []Record
		if json.Unmarshal([]byte(text), &records) != nil {
			return
		}
		b, err := EncodeRecords(records)
		if err != nil {
			return
		}
		got, err := DecodeRecords(b)
		require.NoError(t, err)
		require.Len(t, got, len(records))
		l := NewLog(Config{Process: "heir", MaxHeld: 4, MaxAdopted: 2})
		l.Adopt("peer", got)
		l.Adopt("peer", got)
		l.PeerDied("peer")
		l.Accept(got)
		s := l.Stats()
		require.Zero(t, s.Adopted)
		require.GreaterOrEqual(t, s.HeldRefusals, uint64(s.Held))
	})
}

func TestDecodeRecordsRefusesOtherForms(t *testing.T) {
	for _, b := range [][]byte{nil, []byte("[]"), {0x1f, 0x8b}} {
		_, err := DecodeRecords(b)
		require.Error(t, err)
	}
}
