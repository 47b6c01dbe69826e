package capacity

import (
	"fmt"
	"math/rand"
	"sort"

	"github.com/fxamacker/cbor/v2"
)

// Parameters of the gossip heartbeat with which the design is compared: in each round, each node sends a few random
// peers a message with the entries of a tenth of the nodes. Every entry has to be refreshed at every node within half
// of an 8 s timeout.
const (
	gossipPeers    = 3
	gossipFraction = 10
	gossipRefresh  = 4.0 // s
	gossipWarmUp   = 60
	gossipRounds   = 20
)

var gossipSizes = []int{100, 400, processes}

type heartbeat struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Beat        uint64 `cbor:"3,keyasint"`
	State       uint8  `cbor:"4,keyasint"`
}

func gossipMessage(n int) []byte {
	entries := make([]heartbeat, n/gossipFraction)
	for i := range entries {
		entries[i] = heartbeat{VM: vm(i), Incarnation: 1 << 40, Beat: 1 << 20, State: 1}
	}
	return must(cbor.Marshal(entries))
}

// gossipExchange encodes and decodes one message and merges it into entriesByVM.
func gossipExchange(entriesByVM map[string]heartbeat, n int) {
	var entries []heartbeat
	if err := cbor.Unmarshal(gossipMessage(n), &entries); err != nil {
		panic(err)
	}
	for _, e := range entries {
		if e.Beat >= entriesByVM[e.VM].Beat {
			entriesByVM[e.VM] = e
		}
	}
}

func gossipSeries() []Series {
	return []Series{
		{"gossip.bytes", "gossip", "one message", "B", "node", gossipSizes, func(n int) float64 { return float64(len(gossipMessage(n))) }},
		{"gossip.cpu", "gossip", "encode, decode and merge one message", "µs", "node", gossipSizes, func(n int) float64 {
			entriesByVM := map[string]heartbeat{}
			return cpuMicros(func() { gossipExchange(entriesByVM, n) })
		}},
	}
}

// gossipAge simulates n nodes and returns the age, in rounds, that 999 of 1,000 entries do not exceed.
func gossipAge(n int) int {
	r := rand.New(rand.NewSource(1))
	latestBeat := make([][]int32, n) // latestBeat[a][b] is the round of the latest beat of b at a
	for i := range latestBeat {
		latestBeat[i] = make([]int32, n)
	}
	counts := map[int]int{}
	for round := int32(1); round <= gossipWarmUp+gossipRounds; round++ {
		for from := range n {
			latestBeat[from][from] = round
		}
		for from := range n {
			for range gossipPeers {
				to := latestBeat[r.Intn(n)]
				for range n / gossipFraction {
					e := r.Intn(n)
					to[e] = max(to[e], latestBeat[from][e])
				}
			}
		}
		if round > gossipWarmUp {
			for _, row := range latestBeat {
				for _, beat := range row {
					counts[int(round-beat)]++
				}
			}
		}
	}
	return percentile(counts, 0.999)
}

// percentile returns the percentile q, from 0 to 1, of ages from the number of entries of each age.
func percentile(counts map[int]int, q float64) int {
	var ages []int
	total := 0
	for age, n := range counts {
		ages = append(ages, age)
		total += n
	}
	sort.Ints(ages)
	below := 0
	for _, age := range ages {
		below += counts[age]
		if float64(below) >= q*float64(total) {
			return age
		}
	}
	return 0
}

// GossipCost is the cost of the gossip heartbeat at the design scale.
type GossipCost struct {
	AgeRounds    int     // 99.9% of the entries are at most this old
	Interval     float64 // s between rounds, for a refresh in time
	BytesPerSec  float64 // sent by each node
	CoresPerNode float64
}

func compareGossip(fits map[string]Fit) GossipCost {
	g := GossipCost{AgeRounds: gossipAge(processes)}
	g.Interval = gossipRefresh / float64(max(1, g.AgeRounds))
	g.BytesPerSec = gossipPeers / g.Interval * fits["gossip.bytes"].At(processes)
	g.CoresPerNode = gossipPeers / g.Interval * fits["gossip.cpu"].At(processes) / 1e6
	return g
}

func (g GossipCost) section(design Budget) string {
	return fmt.Sprintf(`A round reaches %d random peers with entries of a tenth of the nodes. In a simulation of %d nodes, 99.9%% of the entries
are at most %d rounds old, so that a refresh within %.0f s needs a round every %.2f s.

| per node | gossip heartbeat | this design's membership (VM list, upstream records) | with the VM list read whole |
| --- | --- | --- | --- |
| control bytes | %s/s sent and as many received | %s/s received | %s/s received |
| CPU time | %.3f%% of a core | %.3f%% of a core | not measured |

`, gossipPeers, processes, g.AgeRounds, gossipRefresh, g.Interval, size(g.BytesPerSec), size(design.memberBytes), size(design.memberBytesUnconditional), 100*g.CoresPerNode, 100*design.memberCores)
}
