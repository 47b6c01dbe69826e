// Package membership combines the platform's VM list with the records that agents publish about their upstreams, and
// decides which upstreams are candidates for new requests and which VMs are gone.
package membership

import (
	"encoding/json"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// Upstream is the record stored under upstreams/<vm>. The agent beside the upstream writes it at start and on change.
type Upstream struct {
	VM          string                 `json:"vm"`
	Incarnation string                 `json:"incarnation"` // incarnation of the agent process
	Addr        string                 `json:"addr"`        // "ip:port" at which peers reach the agent
	Region      string                 `json:"region"`
	Zone        string                 `json:"zone"`
	Group       string                 `json:"group"`
	Kind        config.GroupKind       `json:"kind"`
	MemoryBytes int64                  `json:"memoryBytes"`
	Tiers       map[string]engine.Tier `json:"tiers,omitempty"` // cached copies by model, without the weight store
	Draining    bool                   `json:"draining,omitempty"`
}

// Key returns the record's key for a VM.
func Key(vm string) string { return store.PrefixUpstreams + vm }

// Decode parses a record's value.
func Decode(value []byte) (Upstream, error) {
	var u Upstream
	err := json.Unmarshal(value, &u)
	return u, fault.Wrap(err, fault.StepVMList, "", "decode upstream record")
}

// Encode returns the record's value.
func (u Upstream) Encode() []byte {
	b, err := json.Marshal(u)
	if err != nil {
		panic(err) // unreachable: all fields can be encoded
	}
	return b
}
