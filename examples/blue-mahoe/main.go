// Command blue-mahoe prints the configuration of the Blue Mahoe Decal Franchise, whose weights penalize idle
// accelerators more than cold starts.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/declare"
)

const (
	layoutModels    = 8
	proofModels     = 7
	chatModels      = 4
	upstreamMemory  = 80 * declare.GiB
	adapterMemory   = 200 * declare.MiB
	coldStartWeight = 1.0
	idleWeight      = 4.0
	maxWait         = 30 * time.Second
	chatWait        = 8 * time.Second
	proofWait       = 20 * time.Second
	orderWait       = 5 * time.Second
	chatPriority    = 7
	proofPriority   = 6
	layoutPriority  = 3
	orderPriority   = 8
	statusPriority  = 4
)

func main() {
	if err := deployment().Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "blue-mahoe:", err)
		os.Exit(1)
	}
}

func deployment() *declare.Deployment {
	d := declare.New("blue-mahoe").Weights(coldStartWeight, idleWeight).MaxWait(maxWait).UpstreamMemory(upstreamMemory)
	decals := d.ModelGroup("decal-model")
	ordering := d.PlainGroup("orders")

	layouts := decals.Service("decal-layouts").Priority(layoutPriority).MaxWait(maxWait)
	proofs := decals.Service("licensed-proofs").Priority(proofPriority).MaxWait(proofWait)
	chat := decals.Service("shop-chat").Priority(chatPriority).MaxWait(chatWait)
	family(decals, layouts, "layout", layoutModels, 24, 6, 2)
	family(decals, proofs, "proof", proofModels, 16, 4, 1)
	family(decals, chat, "chat", chatModels, 8, 4, 1)

	orders := ordering.Service("print-orders").Priority(orderPriority).MaxWait(orderWait).NonIdempotent("POST", "/orders")
	status := ordering.Service("order-status").Priority(statusPriority).MaxWait(orderWait).Idempotent("GET", "/orders")

	for _, town := range []string{"kingston", "montego", "mandeville"} {
		caller(d, "designers-"+town, layouts, proofs)
		caller(d, "shops-"+town, chat, orders, status)
	}
	return d
}

// adaptersOf returns the number of adapters of model i of a family: 4 for each of the first 3 models of the family chat
// and 3 for the others, which makes 60 adapters for the 19 models.
func adaptersOf(family string, i int) int {
	if family == "chat" && i <= 3 {
		return 4
	}
	return 3
}

func family(g *declare.Group, s *declare.Service, name string, models int, weightsGiB, kvGiB int64, accelerators int) {
	for i := 1; i <= models; i++ {
		m := g.Model(fmt.Sprintf("%s-%02d", name, i)).MaxReplicas(2).
			Memory(weightsGiB * declare.GiB).KVReserve(kvGiB * declare.GiB).Accelerators(accelerators)
		s.Models(m)
		for j := 1; j <= adaptersOf(name, i); j++ {
			s.Adapters(m.Adapter(fmt.Sprintf("%s-%02d-brand-%d", name, i, j)).Memory(adapterMemory))
		}
	}
}

// caller declares a caller with the hash of an example key. A real declaration contains only hashes of keys.
func caller(d *declare.Deployment, name string, services ...*declare.Service) {
	d.Caller(name).KeySHA256(config.Digest([]byte("example-key-" + name))).MayCall(services...)
}
