package request

import lru "github.com/hashicorp/golang-lru/v2"

// responseCache is an LRU cache of small responses, by ticket sequence number.
type responseCache struct {
	cache *lru.Cache[uint64, *cachedResponse]
}

// newResponseCache returns an empty cache with room for at least one response.
func newResponseCache(size int) responseCache {
	cache, err := lru.New[uint64, *cachedResponse](max(size, 1))
	if err != nil {
		panic(err) // only a size below 1 is an error
	}
	return responseCache{cache: cache}
}

func (a responseCache) put(seq uint64, k *cachedResponse) {
	if k.isComplete() {
		a.cache.Add(seq, k)
	}
}

func (a responseCache) get(seq uint64) *cachedResponse {
	k, _ := a.cache.Get(seq)
	return k
}
