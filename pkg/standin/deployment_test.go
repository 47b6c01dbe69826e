package standin_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine/openai"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
)

func getJSON(url string, v any) {
	GinkgoHelper()
	resp, err := http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	Expect(json.NewDecoder(resp.Body).Decode(v)).To(Succeed())
}

var _ = Describe("a deployment of stand-ins", func() {
	// Guards against violations of the agreed limits that the summary does not report.
	It("counts replicas over all engines, idle time and repeated runs", func() {
		d, err := standin.NewDeployment(standin.DeploymentOptions{
			Host: "127.0.0.1", Engines: 2, Plains: 2, Routers: 1, Zones: []string{"lagos/l1", "enugu/e1"},
			Catalogue: standin.NewCatalogue("m", 2, 3, 1000, 1),
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		vms, err := d.VMs.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(vms).To(HaveLen(5))
		for _, e := range d.Endpoints {
			switch e.Kind {
			case "engine":
				c := load[engine.Engine](openai.ID, kernel.Settings{"url": e.URL})
				Expect(c.Order(ctx, engine.Order{Kind: engine.OrderLoad, Target: engine.Target{Model: "m-01"}, Fence: 1})).To(Succeed())
				Expect(c.Order(ctx, engine.Order{Kind: engine.OrderLoad, Target: engine.Target{Model: "m-01", Adapter: "m-adapter-01"}, Fence: 2})).To(Succeed())
			case "plain":
				req, err := http.NewRequest(http.MethodPost, e.URL+"/loans", nil)
				Expect(err).NotTo(HaveOccurred())
				req.Header.Set("Idempotency-Key", "k")
				resp, err := http.DefaultClient.Do(req)
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.Body.Close()).To(Succeed())
			}
		}
		d.Engines[0].Crash()
		var s standin.Summary
		getJSON(d.Endpoints[3].URL+"/standin/summary", &s)
		Expect(s.PeakReplicas).To(Equal(map[string]int{"m-01": 2}))
		Expect(s.Engines.Loads).To(BeEquivalentTo(4))
		Expect(s.Engines.IdleSeconds).To(BeNumerically(">", 0))
		Expect(s.Weights.Adapters).To(BeEquivalentTo(2))
		Expect(s.RepeatedRuns).To(Equal(1))
	})

	// Guards against an engine that cannot load from a weight store in another process.
	It("loads over HTTP", func() {
		w := standin.NewWeightStore(1 << 40)
		srv := serve(standin.Serve("127.0.0.1:0", w.Handler(), nil))
		e := standin.NewEngine(standin.EngineOptions{Weights: standin.HTTPFetcher(srv.URL())}, nil)
		Expect(e.Order(ctx, engine.Order{Kind: engine.OrderLoad, Target: engine.Target{Model: "org/m"}, Fence: 1})).To(Succeed())
		Expect(w.Counts().Models).To(BeEquivalentTo(1))
		w.SetFaults(standin.WeightFaults{Down: true})
		Expect(e.Order(ctx, engine.Order{Kind: engine.OrderLoad, Target: engine.Target{Model: "other"}, Fence: 2})).NotTo(Succeed())
		Expect(e.Listing().Resident).To(HaveLen(1))
	})

	// Guards against an imported KV cache that has no effect: without it the first token takes 10 s.
	It("moves a KV cache between engines", func() {
		o := standin.EngineOptions{ServeUnloaded: true, FirstToken: 10 * time.Second, TokenInterval: time.Microsecond}
		source, destination := standin.NewEngine(o, nil), standin.NewEngine(o, nil)
		a := serve(standin.Serve("127.0.0.1:0", source.Handler(), nil))
		b := serve(standin.Serve("127.0.0.1:0", destination.Handler(), nil))
		call := engine.Call{RequestID: "r", Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(`{"model":"m","messages":[{"role":"user","content":"p"}],"stream":true}`)}
		st, err := load[engine.Engine](openai.ID, kernel.Settings{"url": a.URL()}).Start(ctx, call)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(st.Close)
		resp, err := http.Get(a.URL() + "/admin/kv/r")
		Expect(err).NotTo(HaveOccurred())
		blob, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		resp, err = http.Post(b.URL()+"/admin/kv", "application/octet-stream", bytes.NewReader(blob))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		start := time.Now()
		other, err := load[engine.Engine](openai.ID, kernel.Settings{"url": b.URL()}).Start(ctx, call)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(other.Close)
		Expect(other.Next(ctx)).NotTo(BeEmpty())
		Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
	})
})
