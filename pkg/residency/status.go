package residency

import "time"

// String returns the phase's name in a Status.
func (p phase) String() string {
	switch p {
	case loading:
		return "loading"
	case unresolved:
		return "unknown"
	case resident:
		return "resident"
	case unloading:
		return "unloading"
	}
	return "absent"
}

// Status is the residency of an upstream for operators.
type Status struct {
	MemoryReservedBytes int64         `json:"memoryBookedBytes"`
	MemoryLimitBytes    int64         `json:"memoryLimitBytes"`
	EngineEpoch         string        `json:"engineEpoch,omitempty"`
	Draining            bool          `json:"draining,omitempty"`
	Models              []ModelStatus `json:"models"`
}

// ModelStatus is the status of one model or adapter that is not absent, that requests wait for, or that has a grant.
type ModelStatus struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Phase is loading, resident, unloading, unknown (the outcome of a load order is unresolved) or absent.
	Phase string `json:"phase"`
	// PhaseMS is the time since the phase began, in milliseconds.
	PhaseMS     int64  `json:"phaseMs"`
	MemoryBytes int64  `json:"memoryBytes"`
	InUse       int    `json:"inUse"`
	Waiting     bool   `json:"waiting,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"` // is unloaded once no request uses it
	Grant       string `json:"grant,omitempty"`   // of a base model: "held", "unsettled", "revoked" or "earlier process"
}

// Status returns the residency at now, sorted by model and adapter.
func (s *State) Status(now time.Time) Status {
	out := Status{MemoryReservedBytes: s.ledger.Reserved(), MemoryLimitBytes: s.ledger.Limit(), EngineEpoch: s.listing.last.Epoch, Draining: s.draining, Models: []ModelStatus{}}
	for _, m := range s.sortedModels() {
		for _, t := range m.targets() {
			st := ModelStatus{Model: t.id.Model, Adapter: t.id.Adapter, Phase: t.phase.String(), MemoryBytes: s.ledger.Entry(t.id), InUse: t.inUse, Waiting: t.waiting, Leaving: t.mustUnload}
			if !t.phaseSince.IsZero() {
				st.PhaseMS = now.Sub(t.phaseSince).Milliseconds()
			}
			if t == m.base {
				st.Grant = s.grantStatus(m)
			}
			if t.phase != absent || t.waiting || st.Grant != "" {
				out.Models = append(out.Models, st)
			}
		}
	}
	return out
}

func (s *State) grantStatus(m *model) string {
	present, stamped := m.client.Entry()
	switch {
	case m.client.HasUnresolvedWrite():
		return "unsettled"
	case !present:
		return ""
	case s.doc != nil && m.client.IsRevoked(s.ceiling(m)):
		return "revoked"
	case !stamped:
		return "earlier process"
	}
	return "held"
}
