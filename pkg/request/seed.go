package request

import "crypto/rand"

// randomSeed returns a seed from the operating system. crypto/rand.Read never fails.
func randomSeed() [32]byte {
	var seed [32]byte
	_, _ = rand.Read(seed[:])
	return seed
}
