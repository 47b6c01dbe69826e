package dispatch

import (
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/pkg/prompt"
)

const (
	// upstreamCacheTokens is the assumed capacity, in tokens, of an upstream's prompt cache for this router's requests.
	upstreamCacheTokens = 150_000
	// maxCachedParts bounds the prompt parts that a router records, over all upstreams: some 45 MB. minCachedParts is the
	// least number for one upstream.
	maxCachedParts = 300_000
	minCachedParts = 64
)

// upstreamStats returns what is recorded of the upstream. Each new record takes its share of maxCachedParts from the others.
func (s *State) upstreamStats(id string) *upstreamStats {
	stats := s.stats[id]
	if stats == nil {
		stats = &upstreamStats{cache: prompt.NewCache(upstreamCacheTokens), running: map[placement.Adapter]int{}}
		s.stats[id] = stats
		parts := max(minCachedParts, maxCachedParts/len(s.stats))
		for _, stats := range s.stats {
			stats.cache.SetMaxParts(parts)
		}
	}
	return stats
}

// isIdle reports whether no request is in progress or waits at the upstream.
func (stats *upstreamStats) isIdle() bool { return stats.outstanding <= 0 && stats.promptWaits <= 0 }

// dropRecords removes what is recorded of the upstream that has ended, and of those that ended before, unless requests are
// still in progress there. What a process had cached has ended with it; one that is back under its id starts anew.
func (s *State) dropRecords(ended string) {
	if stats := s.stats[ended]; stats != nil {
		parts := stats.cache.MaxParts()
		stats.cache = prompt.NewCache(upstreamCacheTokens)
		stats.cache.SetMaxParts(parts)
	}
	for id, stats := range s.stats {
		if stats.isIdle() && (id == ended || s.Fleet.Get(id) == nil) {
			delete(s.stats, id)
		}
	}
	for id := range s.used {
		if id == ended || s.Fleet.Get(id) == nil {
			delete(s.used, id)
		}
	}
}
