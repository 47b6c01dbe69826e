package routing

// affinitySlack is how many more outstanding requests of this router an adapter's first-ranked upstream may have than
// the second-ranked one and still be preferred.
const affinitySlack = 4

// maxAffinityEntries bounds the memory for prefixes: 4,096 entries of about 50 bytes.
const maxAffinityEntries = 4096

// affinity records which upstream last served each prefix. When it is full, the oldest entry is replaced.
type affinity struct {
	byHash map[uint64]string
	order  []uint64
	next   int
}

func newAffinity() affinity { return affinity{byHash: map[uint64]string{}} }

func (a *affinity) get(hash uint64) string { return a.byHash[hash] }

func (a *affinity) put(hash uint64, vm string) {
	if _, ok := a.byHash[hash]; !ok {
		if len(a.order) < maxAffinityEntries {
			a.order = append(a.order, hash)
		} else {
			delete(a.byHash, a.order[a.next])
			a.order[a.next] = hash
			a.next = (a.next + 1) % maxAffinityEntries
		}
	}
	a.byHash[hash] = vm
}
