// Package membership combines the platform's VM list with the records that agents publish of their upstreams, and
// decides which upstreams are candidates for new work and which VMs are gone.
package membership

import (
	"encoding/json"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// Upstream is the value stored under upstreams/<vm>, written by the agent beside the upstream at start and on change.
type Upstream struct {
	VM          string                 `json:"vm"`
	Incarnation string                 `json:"incarnation"` // of the agent process
	Addr        string                 `json:"addr"`        // "ip:port" of the agent for peers
	Region      string                 `json:"region"`
	Zone        string                 `json:"zone"`
	Group       string                 `json:"group"`
	Kind        config.GroupKind       `json:"kind"`
	MemoryBytes int64                  `json:"memoryBytes"`
	Tiers       map[string]engine.Tier `json:"tiers,omitempty"` // checkpoint copies by model, remote left out
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
		panic(err) // the type has only fields that encode
	}
	return b
}
