package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/declare"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/membership"
	"github.com/hibiscuscross/hibiscuscross/pkg/operate"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/store/httpstore"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist/httplist"
)

// must panics on an error. The samples of this package cause none.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// document returns a configuration with nModels models and nAdapters adapters, each offered by one of 10 services.
func document(nModels, nAdapters int) *config.Document {
	d := declare.New("capacity").Weights(1, 1).MaxWait(30 * time.Second).UpstreamMemory(80 * declare.GiB)
	g := d.ModelGroup("engines")
	services := make([]*declare.Service, 10)
	for i := range services {
		services[i] = g.Service(fmt.Sprintf("service-%d", i)).Priority(i).MaxWait(10 * time.Second)
	}
	list := make([]*declare.Model, nModels)
	for i := range list {
		list[i] = g.Model(fmt.Sprintf("model-%03d", i)).MaxReplicas(5).Memory(14 * declare.GiB).KVReserve(4 * declare.GiB).Accelerators(1)
		services[i%10].Models(list[i])
	}
	for i := range nAdapters {
		services[i%10].Adapters(list[i%nModels].Adapter(fmt.Sprintf("model-%03d-adapter-%05d", i%nModels, i)).Memory(160 * declare.MiB))
	}
	d.Caller("caller").KeySHA256(config.Digest([]byte("capacity"))).MayCall(services...)
	c := must(d.Config())
	raw := must(json.MarshalIndent(c, "", "  "))
	return must(config.Parse(1, raw))
}

// storedValue returns the document as stored in config/current.
func storedValue(d *config.Document) []byte {
	return must(config.NewEnvelope(d.Version-1, d.Raw).Encode())
}

// vm returns the id of VM i.
func vm(i int) string { return fmt.Sprintf("vm-0f3a9c%08d", i) }

func vmList(n int) []vmlist.VM {
	vms := make([]vmlist.VM, n)
	for i := range vms {
		vms[i] = vmlist.VM{ID: vm(i), Addr: fmt.Sprintf("10.0.%d.%d", i/250, i%250), Region: "region-1", Zone: "region-1-a", State: vmlist.StateLive}
	}
	return vms
}

func vmListBody(n int) []byte { return must(json.Marshal(httplist.Document{VMs: vmList(n)})) }

// upstreamValue returns an upstream record with the tiers of 20 checkpoints.
func upstreamValue(i int) []byte {
	tiers := map[string]engine.Tier{}
	for j := range 20 {
		tiers[fmt.Sprintf("model-%03d", (i+j)%models)] = engine.TierDisk
	}
	return membership.Upstream{VM: vm(i), Incarnation: "0190a0b0-0000-7000-8000-000000000000", Addr: "10.0.0.1:7001", Region: "region-1", Zone: "region-1-a",
		Group: "engines", Kind: config.GroupModels, MemoryBytes: 80 << 30, Tiers: tiers}.Encode()
}

// grantsValue returns a grant object with the given number of holders.
func grantsValue(holders int) []byte {
	o := grant.Object{Ceiling: holders, Stamp: config.Stamp{Version: 1, Digest: config.Digest(nil)}, Generation: 9}
	for i := range holders {
		o.Grants = append(o.Grants, grant.Grant{VM: vm(i), Incarnation: "0190a0b0-0000-7000-8000-000000000000", Generation: 9})
	}
	return o.Encode()
}

// entryBytes returns the size of an object in the answer to a watch.
func entryBytes(key string, value []byte) float64 {
	l := httpstore.NewListing([]store.Object{{Key: key, Version: 123456, Value: value}}, 123456)
	return float64(len(must(json.Marshal(l.Objects[0]))))
}

// limitChange returns, as JSON, the difference between two documents that differ in one limit.
func limitChange() []byte {
	before, after := document(models, 0), document(models, 0)
	after.Config.Models[0].MaxReplicas++
	return must(json.Marshal(operate.Compare(before, after)))
}
