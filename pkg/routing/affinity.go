package routing

// affinitySlack is how many more requests of this router an upstream may have than the next one in the order and still be
// preferred for an adapter that it has loaded.
const affinitySlack = 4

// affinityEntries bounds the memory of prefixes: 4,096 entries of about 50 bytes.
const affinityEntries = 4096

// affinity remembers which upstream served a prefix last. The oldest entry is replaced when it is full.
type affinity struct {
	byHash map[uint64]string
	order  []uint64
	next   int
}

func newAffinity() affinity { return affinity{byHash: map[uint64]string{}} }

func (a *affinity) get(hash uint64) string { return a.byHash[hash] }

func (a *affinity) put(hash uint64, vm string) {
	if _, ok := a.byHash[hash]; !ok {
		if len(a.order) < affinityEntries {
			a.order = append(a.order, hash)
		} else {
			delete(a.byHash, a.order[a.next])
			a.order[a.next] = hash
			a.next = (a.next + 1) % affinityEntries
		}
	}
	a.byHash[hash] = vm
}
