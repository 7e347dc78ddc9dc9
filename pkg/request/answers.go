package request

import lru "github.com/hashicorp/golang-lru/v2"

// answers keeps the latest small answers of tickets.
type answers struct {
	cache *lru.Cache[uint64, *keptAnswer]
}

// newAnswers returns an empty cache of at least one answer.
func newAnswers(size int) answers {
	cache, err := lru.New[uint64, *keptAnswer](max(size, 1))
	if err != nil {
		panic(err) // only a size below 1 is an error
	}
	return answers{cache: cache}
}

func (a answers) put(seq uint64, k *keptAnswer) {
	if k.usable() {
		a.cache.Add(seq, k)
	}
}

func (a answers) get(seq uint64) *keptAnswer {
	k, _ := a.cache.Get(seq)
	return k
}
