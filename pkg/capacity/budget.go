package capacity

import (
	"fmt"

	"github.com/hibiscuscross/hibiscuscross/pkg/confsync"
	"github.com/hibiscuscross/hibiscuscross/pkg/membership"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
)

// Line is one line of the table: a part of the control overhead of a node, or the total of a role.
type Line struct {
	Role, Description string
	Bytes             float64 // per second
	Cores             float64
	Memory            float64 // bytes
	// Change is a design change that reduces the part, ChangedBytes the bytes per second with it.
	Change       string
	ChangedBytes float64
}

// Budget is the table of the control overhead at the design scale.
type Budget struct {
	Lines                    []Line
	memberBytes              float64
	memberBytesUnconditional float64 // if each read of the VM list returns the complete list
	memberCores              float64
	fits                     map[string]Fit
	watchBytes               float64
	configEntry              float64 // bytes in the answer to a watch
}

// gcFactor is the ratio of the heap to the live state: the garbage collector lets the heap grow to twice the live
// state.
var gcFactor = 2.0

// computeBudget returns the control overhead at the design scale. base is the memory of a process without state;
// watchBytes, heartbeatBytes and watchCPU are the costs that watchCost measured.
func computeBudget(fits map[string]Fit, base, watchBytes, heartbeatBytes, watchCPU float64) Budget {
	b := Budget{fits: fits, watchBytes: watchBytes, configEntry: entryBytes(store.KeyConfig, storedValue(document(models, adapters)))}
	at := func(id string, n float64) float64 { return fits[id].At(n) }
	for _, role := range []string{"router", "agent"} {
		inFlight, requests := routerInFlight, float64(routerRequests)
		if role == "agent" {
			inFlight, requests = agentInFlight, agentRequests
		}
		add := func(l Line) {
			l.Role = role
			if l.Change == "" {
				l.ChangedBytes = l.Bytes
			}
			b.Lines = append(b.Lines, l)
		}
		add(Line{Description: "process without state", Memory: base})
		add(Line{Description: fmt.Sprintf("configuration, %d changes a day", changesPerDay),
			Bytes: b.configEntry * changesPerDay / day,
			Cores: at("doc.cpu", adapters) * changesPerDay / day / 1e6, Memory: gcFactor * at("doc.state", adapters),
			Change:       "a document is sent as its difference from the base version, checked by the digest of the result",
			ChangedBytes: entryBytes(store.KeyConfig, limitChange()) * changesPerDay / day})
		watchRate := 1 / store.WatchHold.Seconds()
		add(Line{Description: "watch calls and their signs of life, nothing changed", Bytes: watchBytes*watchRate + 2*heartbeatBytes, Cores: watchCPU * watchRate / 1e6})
		pollRate := 1 / vmlist.PollInterval.Seconds()
		vms := Line{Description: fmt.Sprintf("VM list, a conditional read every 2 s, %d changes of state a day", 2*vmsReplaced),
			Bytes: watchBytes*pollRate + at("vms.bytes", processes)*2*vmsReplaced/day, Cores: at("vms.cpu", processes) * pollRate / 1e6}
		records := Line{Description: "upstream records: wake-ups and restarts", Memory: gcFactor * at("members.state", processes)}
		changes := 2*models*wakeFraction/hour + 2*vmsReplaced/day
		records.Bytes = entryBytes(membership.Key(vm(0)), upstreamValue(0)) * changes
		records.Cores = at("members.record.cpu", upstreams) * changes / 1e6
		add(vms)
		add(records)
		b.memberBytesUnconditional = (at("vms.bytes", processes)+watchBytes)*pollRate + records.Bytes
		b.memberBytes, b.memberCores = vms.Bytes+records.Bytes, vms.Cores+records.Cores
		add(Line{Description: "grants: two writes for each wake-up of a model", Bytes: entryBytes(store.PrefixGrants+"model-000", grantsValue(5)) * 2 * models * wakeFraction / hour})
		add(Line{Description: "Ping after 500 ms without another frame: one before the first token of a request", Bytes: at("ping.bytes", requests),
			Cores: at("ping.cpu", requests) / 1e6})
		add(Line{Description: "versions and load in Accept and End", Bytes: at("sync.bytes", requests), Cores: 2 * at("accept.cpu", requests) / 1e6,
			Change: "End carries neither; routers then learn of a load only from Accept and from Pings", ChangedBytes: at("sync.bytes", requests) / 2})
		add(Line{Description: "requests in flight: reader and Open", Memory: gcFactor * at("request.state", inFlight)})
		if role == "router" {
			add(Line{Description: "routing: one choice for each request", Cores: requests * at("routing.choose.cpu", upstreams) / 1e6})
		}
		if role == "agent" {
			add(Line{Description: "residency: 10 ticks a second while busy, state", Cores: at("residency.tick.cpu", models) * 10 / 1e6, Memory: gcFactor * at("residency.state", adapters)})
			add(Line{Description: "admission, quarantine: decisions on each request", Cores: requests * (at("admission.cpu", inFlight) + at("quarantine.cpu", inFlight)) / 1e6, Memory: gcFactor * at("admission.state", inFlight)})
			add(Line{Description: fmt.Sprintf("once: a full table of %d keys", once.MaxEntries), Memory: gcFactor * at("once.state", once.MaxEntries)})
			add(Line{Description: "residency: configuration changes", Cores: at("residency.config.cpu", adapters) * changesPerDay / day / 1e6})
		}
	}
	return b
}

// total returns the sum of the lines of a role.
func (b Budget) total(role string) Line {
	t := Line{Role: role, Description: "total"}
	for _, l := range b.Lines {
		if l.Role == role {
			t.Bytes += l.Bytes
			t.ChangedBytes += l.ChangedBytes
			t.Cores += l.Cores
			t.Memory += l.Memory
		}
	}
	return t
}

// maxConfigDelay returns the longest time, in seconds, from the publication of a configuration to its acceptance by a
// process whose watch delivers nothing. Another process receives the version with its next watch call at the latest,
// and its message announces the version, after which this process fetches it.
func maxConfigDelay() float64 {
	return store.WatchMinInterval.Seconds() + confsync.WatchGrace.Seconds() + confsync.FetchTimeout.Seconds() + 2*confsync.TickInterval.Seconds()
}
