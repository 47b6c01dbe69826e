package agent

import (
	"strings"

	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
)

// Status is the state of an agent as shown to operators.
type Status struct {
	Role           string          `json:"role"`
	VM             string          `json:"vm"`
	Incarnation    string          `json:"incarnation"`
	Region         string          `json:"region"`
	Zone           string          `json:"zone"`
	Group          string          `json:"group"`
	ConfigVersion  uint64          `json:"configVersion"`
	Draining       bool            `json:"draining"`
	Queued         uint32          `json:"queued"`
	Running        uint32          `json:"running"`
	Slots          uint32          `json:"slots"`       // maximum number of concurrent calls
	PredictedMS    uint32          `json:"predictedMs"` // predicted wait of a new request for a loaded target
	EngineEpoch    string          `json:"engineEpoch"`
	EngineDown     bool            `json:"engineDown"`
	Residents      []string        `json:"residents"` // model, or model/adapter
	Grants         []string        `json:"grants"`    // models
	MemoryReserved int64           `json:"memoryBookedBytes"`
	MemoryLimit    int64           `json:"memoryLimitBytes"`
	Models         residency.Stats `json:"-"`           // counts since the process started, published as metrics
	Quarantined    int             `json:"quarantined"` // fingerprints
	Keys           int             `json:"keys"`        // idempotency keys in the table
	KeySlots       map[string]int  `json:"keySlots"`    // number of owned key slots, by service
}

// Status returns the current status.
func (c *Core) Status() Status {
	load := c.Load()
	s := Status{Role: "agent", VM: c.opts.VM, Incarnation: c.opts.Incarnation, Region: c.opts.Region, Zone: c.opts.Zone, Group: c.opts.Group,
		ConfigVersion: c.config.Version(), Draining: c.draining, Queued: load.Queued, Running: load.Running, Slots: load.Slots,
		PredictedMS: load.PredictedWaitMS, EngineEpoch: c.epoch, EngineDown: c.engineDown, Quarantined: len(c.quarantine.Entries()),
		Grants: c.residency.GrantedModels(), MemoryReserved: c.residency.MemoryReserved(), MemoryLimit: c.residency.MemoryLimit(), Models: c.residency.Stats(), KeySlots: map[string]int{}}
	for _, t := range c.residency.Residents() {
		s.Residents = append(s.Residents, strings.TrimSuffix(t.Model+"/"+t.Adapter, "/"))
	}
	s.Keys, _ = c.once.Len()
	for name := range c.services {
		if n := c.once.OwnedSlots(name); n > 0 {
			s.KeySlots[name] = n
		}
	}
	return s
}
