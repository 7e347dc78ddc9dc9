package refusal

import (
	"bytes"
	"encoding/base64"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// TestBatchSize packs incompressible and compressible records; every object must stay well below the size limit.
func TestBatchSize(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	noise := make([]entry, 1200)
	for i := range noise {
		b := make([]byte, 700)
		for j := range b {
			b[j] = byte(rng.Uint32())
		}
		noise[i] = entryOf(Record{ID: "x", Time: time.Unix(1, 0), Detail: base64.StdEncoding.EncodeToString(b)})
	}
	for name, entries := range map[string][]entry{"Noise": noise, "Equal": sampleEntries(20000)} {
		t.Run(name, func(t *testing.T) {
			total, objects := 0, 0
			for total < len(entries) {
				value, n, err := encode(header{Format: batchFormat}, entries[total:])
				require.NoError(t, err)
				require.Less(t, len(value), objectapi.MaxValueSize/2)
				records, err := decode(value)
				require.NoError(t, err)
				require.Len(t, records, n)
				require.NotZero(t, n)
				total += n
				objects++
			}
			require.Greater(t, objects, 1, "the limit was reached")
		})
	}
}

func TestDecodeSeesCutBatches(t *testing.T) {
	value, _, err := encode(header{Format: batchFormat}, sampleEntries(100))
	require.NoError(t, err)
	for _, n := range []int{0, 5, len(value) / 2, len(value) - 9} {
		_, err := decode(value[:n])
		require.Error(t, err, n)
	}
}

// FuzzDecode checks that decode survives any input, and that the records it accepts can be encoded again.
func FuzzDecode(f *testing.F) {
	value, _, err := encode(header{Format: batchFormat}, sampleEntries(3))
	require.NoError(f, err)
	f.Add(value, false)
	f.Add([]byte("{\"format\":1}\n{\"id\":\"a/1/2.3\",\"count\":2}\n{\"records\":1,\"refusals\":2}\n"), true)
	f.Fuzz(func(t *testing.T, value []byte, text bool) {
		if text {
			var out bytes.Buffer
			require.NoError(t, compressTo(&out, func(z io.Writer) error {
				_, err := z.Write(value)
				return err
			}))
			value = out.Bytes()
		}
		records, err := decode(value)
		if err != nil {
			return
		}
		entries := make([]entry, len(records))
		for i, r := range records {
			entries[i] = entryOf(r)
			require.LessOrEqual(t, entries[i].first, entries[i].end())
		}
		again, n, err := encode(header{Format: batchFormat}, entries)
		require.NoError(t, err)
		require.Equal(t, len(records), n)
		_, err = decode(again)
		require.NoError(t, err)
	})
}

// sampleEntries returns n entries as a busy agent records them.
func sampleEntries(n int) []entry {
	now := time.Unix(1e9, 0)
	l := NewLog(Config{Process: "agent-1", MaxHeld: 4 * n, Now: func() time.Time { return now }})
	for i := range n {
		refuse(l, i)
		now = now.Add(time.Millisecond)
	}
	return l.held.all()
}
