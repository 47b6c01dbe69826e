// Command okonkwo-adeyemi prints the configuration of Okonkwo & Adeyemi Mobile Libraries, whose weights penalize cold
// starts more than idle accelerators, because answers must arrive before the van leaves.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/declare"
)

const (
	models            = 30
	adaptersPerModel  = 2
	upstreamMemory    = 80 * declare.GiB
	adapterMemory     = 160 * declare.MiB
	coldStartWeight   = 4.0
	idleWeight        = 1.0
	maxWait           = 20 * time.Second
	vanWait           = 10 * time.Second
	circulationWait   = 5 * time.Second
	reportPriority    = 8
	vanPriority       = 6
	schoolPriority    = 5
	patronPriority    = 3
	cataloguePriority = 4
	loanPriority      = 7
)

func main() {
	if err := deployment().Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "okonkwo-adeyemi:", err)
		os.Exit(1)
	}
}

func deployment() *declare.Deployment {
	d := declare.New("okonkwo-adeyemi").Weights(coldStartWeight, idleWeight).MaxWait(maxWait).UpstreamMemory(upstreamMemory)
	readingAid := d.ModelGroup("reading-aid")
	circulation := d.PlainGroup("circulation")

	reports := readingAid.Service("head-librarian-reports").Priority(reportPriority).MaxWait(maxWait)
	vans := readingAid.Service("van-summaries").Priority(vanPriority).MaxWait(vanWait)
	schools := readingAid.Service("school-summaries").Priority(schoolPriority).MaxWait(vanWait)
	patrons := readingAid.Service("patron-summaries").Priority(patronPriority).MaxWait(vanWait)
	all := []*declare.Service{reports, vans, schools, patrons}
	for i := 1; i <= models; i++ {
		m := readingModel(readingAid, i)
		for j := 1; j <= adaptersPerModel; j++ {
			a := m.Adapter(fmt.Sprintf("reading-aid-%02d-village-%d", i, j)).Memory(adapterMemory)
			addAdapter(a, all...)
		}
		for _, s := range all {
			s.Models(m)
		}
	}
	catalogue := circulation.Service("catalogue").Priority(cataloguePriority).MaxWait(circulationWait).
		Idempotent("GET", "/titles").Idempotent("GET", "/copies")
	loans := circulation.Service("loans").Priority(loanPriority).MaxWait(circulationWait).
		NonIdempotent("POST", "/loans").NonIdempotent("POST", "/returns").Idempotent("GET", "/loans")

	caller(d, "head-librarian", reports, catalogue)
	for _, city := range []string{"lagos", "ibadan", "enugu"} {
		caller(d, "van-librarians-"+city, vans, catalogue, loans)
		caller(d, "readers-"+city, patrons, catalogue)
		caller(d, "schools-"+city, schools, catalogue)
	}
	return d
}

// readingModel declares a model in one of three sizes. The largest needs two accelerators.
func readingModel(g *declare.Group, i int) *declare.Model {
	m := g.Model(fmt.Sprintf("reading-aid-%02d", i)).MaxReplicas(2)
	switch i % 3 {
	case 0:
		return m.Memory(26 * declare.GiB).KVReserve(8 * declare.GiB).Accelerators(2)
	case 1:
		return m.Memory(14 * declare.GiB).KVReserve(4 * declare.GiB).Accelerators(1)
	}
	return m.Memory(6 * declare.GiB).KVReserve(2 * declare.GiB).Accelerators(1)
}

func addAdapter(a *declare.Adapter, services ...*declare.Service) {
	for _, s := range services {
		s.Adapters(a)
	}
}

// caller declares a caller with the hash of an example key. A real declaration contains only hashes of keys.
func caller(d *declare.Deployment, name string, services ...*declare.Service) {
	d.Caller(name).KeySHA256(config.Digest([]byte("example-key-" + name))).MayCall(services...)
}
