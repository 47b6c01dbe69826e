package quota

import "math/rand/v2"

// Stats are counters of a balance.
type Stats struct {
	// Sent and Repeated count messages. Expired is the amount of tokens that expired unused, Returned that of tokens
	// returned to the holder, by tenant.
	Sent, Repeated    uint64
	Expired, Returned map[string]float64
}

// Stats returns the counters.
func (b *Balance) Stats() Stats { return b.stats }

// NewProcess returns a random number for a process. It is exact in JSON, where a store may keep numbers as floats.
func NewProcess() uint64 { return rand.Uint64() >> 11 }
