package agent

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// metrics writes the agent's counters, gauges and histograms.
type metrics struct{ scope tally.Scope }

func newMetrics(s tally.Scope) *metrics { return &metrics{scope: s} }

// countMemoryRefusal counts a peer's session or stream that found no memory.
func (m *metrics) countMemoryRefusal(kind string) {
	m.scope.Tagged(map[string]string{"kind": kind}).Counter("memory_refusals").Inc(1)
}

func (m *metrics) countOutcome(o wire.Outcome) {
	m.scope.Tagged(map[string]string{"outcome": o.String()}).Counter("requests").Inc(1)
}

func (m *metrics) countRefusal(r *wire.Refuse) {
	m.countOutcome(r.Outcome)
	m.scope.Tagged(map[string]string{"code": string(r.Code)}).Counter("refusals").Inc(1)
}

func (m *metrics) countOrder(o engine.Order, err error) {
	result := "confirmed"
	if err != nil {
		result = "failed"
	}
	m.scope.Tagged(map[string]string{"kind": string(o.Kind), "result": result}).Counter("orders").Inc(1)
}

// coldStartBuckets range from a load out of host memory to a fetch from a slow weight store.
var coldStartBuckets = tally.MustMakeExponentialDurationBuckets(50*time.Millisecond, 2, 13)

// recordColdStart records how long requests waited for a load. Operators weigh the tail of this histogram against the
// time of idle accelerators.
func (m *metrics) recordColdStart(waited time.Duration) {
	m.scope.Histogram("cold_start", coldStartBuckets).RecordDuration(waited)
}

func (m *metrics) updateGauges(s Status) {
	m.scope.Gauge("idle_accelerator_hours").Update(s.Models.IdleAcceleratorHours())
	m.scope.Gauge("model_loads").Update(float64(s.Models.Loads))
	m.scope.Gauge("evictions").Update(float64(s.Models.Evictions))
	m.scope.Gauge("idle_unloads").Update(float64(s.Models.IdleUnloads))
	m.scope.Gauge("unknown_orders").Update(float64(s.Models.UnknownOrders))
	m.scope.Gauge("queue_length").Update(float64(s.Queued))
	m.scope.Gauge("running").Update(float64(s.Running))
	m.scope.Gauge("residents").Update(float64(len(s.Residents)))
	m.scope.Gauge("grants").Update(float64(len(s.Grants)))
	m.scope.Gauge("memory_booked_bytes").Update(float64(s.MemoryReserved))
	m.scope.Gauge("idempotency_keys").Update(float64(s.Keys))
	m.scope.Gauge("quarantined").Update(float64(s.Quarantined))
}
