package loadplan

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// coordinatorKey is the rendezvous hashing key that selects the load coordinator.
const coordinatorKey = "load-coordinator"

// Rank orders VMs by rendezvous hashing for a key, the first choice first. A VM that joins or leaves moves only the
// keys that it gains or loses. Rank does not modify its argument.
func Rank(key string, vms []string) []string {
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(key, b), score(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

func score(key, vm string) uint64 { return xxhash.Sum64String(key + "\x00" + vm) }

// FirstRanked returns the VM that ranks first for a key, or "" if there is none.
func FirstRanked(key string, vms []string) string {
	best := ""
	for _, vm := range vms {
		if best == "" || score(key, vm) > score(key, best) || score(key, vm) == score(key, best) && vm < best {
			best = vm
		}
	}
	return best
}

// CoordinatorOf returns the VM of the load coordinator among the live VMs, or "" if there is none.
func CoordinatorOf(vms []string) string { return FirstRanked(coordinatorKey, vms) }
