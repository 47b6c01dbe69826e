package config_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

func valid() *config.Config {
	return &config.Config{
		APIVersion: config.APIVersion, Deployment: "d", Weights: config.Weights{ColdStart: 1},
		Limits:   config.Limits{MaxWaitMS: 1000, UpstreamMemoryBytes: 100},
		Groups:   []config.Group{{Name: "g", Kind: config.GroupModels}, {Name: "p", Kind: config.GroupPlain}},
		Models:   []config.Model{{Name: "m", Group: "g", MaxReplicas: 2, MemoryBytes: 50, KVReserveBytes: 10, Accelerators: 1}},
		Adapters: []config.Adapter{{Name: "a", Model: "m", MemoryBytes: 5}},
		Services: []config.Service{
			{Name: "s", Group: "g", Models: []string{"m"}, Adapters: []string{"a"}, MaxWaitMS: 900},
			{Name: "loans", Group: "p", MaxWaitMS: 900, Calls: []config.Call{{Method: "POST", PathPrefix: "/loans", NonIdempotent: true}, {Method: "POST", PathPrefix: "/loans/search"}}},
		},
		Callers: []config.Caller{{Name: "c", KeySHA256: config.Digest([]byte("k")), Services: []string{"s", "loans"}}},
	}
}

func encode(c *config.Config) []byte {
	b, err := json.Marshal(c)
	Expect(err).NotTo(HaveOccurred())
	return b
}

func problemsOf(err error) []string {
	var p config.Problems
	Expect(errors.As(err, &p)).To(BeTrue(), "%v", err)
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return lines
}

var _ = Describe("Decode", func() {
	// Guards against fields lost or changed between the declared document and the active one.
	It("keeps every field", func() {
		Expect(config.Decode(encode(valid()))).To(Equal(valid()))
	})

	// Guards against errors that encoding/json ignores, by which a limit that nobody agreed on would become active.
	DescribeTable("rejects fields that differ from the schema", func(from, to, problem string) {
		raw := bytes.Replace(encode(valid()), []byte(from), []byte(to), 1)
		_, err := config.Decode(raw)
		Expect(problemsOf(err)).To(ContainElement(problem))
	},
		Entry("unknown field", `"deployment":"d"`, `"deployment":"d","x":[{"y":1}]`, "x: is not a known field"),
		Entry("unknown nested field", `"maxReplicas"`, `"maxReplica":1,"maxReplicas"`, "models[0].maxReplica: is not a known field"),
		Entry("letter case", `"maxReplicas"`, `"MaxReplicas"`, "models[0].MaxReplicas: is not a known field"),
		Entry("repeated field", `"maxReplicas":2`, `"maxReplicas":2,"maxReplicas":3`, "models[0].maxReplicas: is repeated"),
		Entry("escaped repeated field", `"maxReplicas":2`, `"maxReplicas":2,"maxReplica\u0073":3`, "models[0].maxReplicas: is repeated"),
		Entry("missing field", `"maxReplicas":2,`, ``, "models[0].maxReplicas: is missing"),
		Entry("null", `"models":["m"]`, `"models":null`, "services[0].models: must be a list"),
		Entry("wrong type", `"maxReplicas":2`, `"maxReplicas":"2"`, "models[0].maxReplicas: must be a whole number of 64 bits"),
		Entry("fraction", `"maxReplicas":2`, `"maxReplicas":2.5`, "models[0].maxReplicas: must be a whole number of 64 bits"),
		Entry("object for a scalar", `"maxReplicas":2`, `"maxReplicas":{}`, "models[0].maxReplicas: must be a whole number of 64 bits"),
	)

	// Guards against a second document after the first and against a truncated document.
	It("rejects trailing and missing data", func() {
		_, err := config.Decode(append(encode(valid()), " {}"...))
		Expect(problemsOf(err)).To(ConsistOf("data follows the document"))
		raw := encode(valid())
		_, err = config.Decode(raw[:len(raw)-1])
		Expect(err).To(HaveOccurred())
		_, err = config.Decode(nil)
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("Validate", func() {
	It("accepts a valid document", func() { Expect(valid().Validate()).To(Succeed()) })

	// Guards against an active document that some process cannot apply.
	DescribeTable("names the field", func(change func(c *config.Config), problem string) {
		c := valid()
		change(c)
		Expect(problemsOf(c.Validate())).To(ContainElement(HavePrefix(problem)))
	},
		Entry("api version", func(c *config.Config) { c.APIVersion = "v0" }, `apiVersion: is "v0"`),
		Entry("name", func(c *config.Config) { c.Models[0].Name = "a/b" }, `models[0].name: "a/b" is not a name`),
		Entry("weights", func(c *config.Config) { c.Weights.ColdStart = 0 }, "weights: are both 0"),
		Entry("negative weight", func(c *config.Config) { c.Weights.ColdStart = -1 }, "weights.coldStart: is -1"),
		Entry("limit", func(c *config.Config) { c.Limits.MaxWaitMS = 0 }, "limits.maxWaitMs: is 0"),
		Entry("group kind", func(c *config.Config) { c.Groups[0].Kind = "x" }, `groups[0].kind: is "x"`),
		Entry("duplicate group", func(c *config.Config) { c.Groups[1].Name = "g" }, `groups[1].name: "g" is a duplicate`),
		Entry("duplicate model", func(c *config.Config) { c.Models = append(c.Models, c.Models[0]) }, `models[1].name: "m" is a duplicate`),
		Entry("model group", func(c *config.Config) { c.Models[0].Group = "p" }, `models[0].group: group "p" is of kind "plain"`),
		Entry("dangling model group", func(c *config.Config) { c.Models[0].Group = "z" }, `models[0].group: group "z" is not declared`),
		Entry("replicas", func(c *config.Config) { c.Models[0].MaxReplicas = -1 }, "models[0].maxReplicas: is -1"),
		Entry("model memory", func(c *config.Config) { c.Models[0].KVReserveBytes = 51 }, "models[0].memoryBytes: with kvReserveBytes is 101"),
		Entry("memory overflow", func(c *config.Config) { c.Models[0].MemoryBytes = 1<<63 - 1 }, "models[0].memoryBytes: is 9223372036854775807"),
		Entry("adapter named as a model", func(c *config.Config) { c.Adapters[0].Name = "m" }, `adapters[0].name: "m" is the name of a model`),
		Entry("adapter's model", func(c *config.Config) { c.Adapters[0].Model = "z" }, `adapters[0].model: model "z" is not declared`),
		Entry("adapter memory", func(c *config.Config) { c.Adapters[0].MemoryBytes = 41 }, `adapters[0].memoryBytes: with model "m" is 101`),
		Entry("service's model", func(c *config.Config) { c.Services[0].Models[0] = "z" }, `services[0].models[0]: model "z" is not declared`),
		Entry("service's adapter", func(c *config.Config) { c.Services[0].Adapters[0] = "z" }, `services[0].adapters[0]: adapter "z" is not declared`),
		Entry("service wait", func(c *config.Config) { c.Services[0].MaxWaitMS = 1001 }, "services[0].maxWaitMs: is 1001, more than"),
		Entry("priority", func(c *config.Config) { c.Services[0].Priority = 10 }, "services[0].priority: is 10"),
		Entry("plain service with models", func(c *config.Config) { c.Services[1].Models = []string{"m"} }, "services[1].models: are not allowed"),
		Entry("call path", func(c *config.Config) { c.Services[1].Calls[0].PathPrefix = "/a/../b" }, "services[1].calls[0].pathPrefix"),
		Entry("call twice", func(c *config.Config) { c.Services[1].Calls[1].PathPrefix = "/loans/" }, "services[1].calls[1]: POST /loans/ is declared twice"),
		Entry("key hash", func(c *config.Config) { c.Callers[0].KeySHA256 = strings.ToUpper(c.Callers[0].KeySHA256) }, "callers[0].keySha256: must be 64"),
		Entry("shared key", func(c *config.Config) { c.Callers = append(c.Callers, c.Callers[0]) }, `callers[1].keySha256: is also the key of caller "c"`),
		Entry("caller's service", func(c *config.Config) { c.Callers[0].Services[1] = "z" }, `callers[0].services[1]: service "z" is not declared`),
	)

	// Guards against operators having to submit a document once for each error in it.
	It("reports all problems at once", func() {
		c := valid()
		c.Models[0].MaxReplicas, c.Services[0].Priority, c.Callers[0].Services[0] = -1, 11, "z"
		Expect(problemsOf(c.Validate())).To(HaveLen(3))
	})
})

var _ = Describe("Envelope", func() {
	// Guards against an envelope, compressed or not, that changes a byte of the agreed document.
	DescribeTable("keeps the document byte for byte", func(padding int) {
		raw := append(encode(valid()), strings.Repeat(" \n", padding)...)
		value, err := config.NewEnvelope(6, raw).Encode()
		Expect(err).NotTo(HaveOccurred())
		e, err := config.DecodeEnvelope(value)
		Expect(err).NotTo(HaveOccurred())
		d, err := e.Document()
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Version).To(Equal(uint64(7)))
		Expect(bytes.Equal(d.Raw, raw)).To(BeTrue())
		Expect(len(value)).To(BeNumerically("<", 8<<10))
	}, Entry("small", 1), Entry("large", 50_000))

	// Guards against a corrupted document, version 0 and a document whose decompressed size is unbounded.
	DescribeTable("refuses", func(change func(e *config.Envelope), want string) {
		e := config.NewEnvelope(0, encode(valid()))
		change(&e)
		value, err := e.Encode()
		Expect(err).NotTo(HaveOccurred())
		_, err = config.DecodeEnvelope(value)
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("another digest", func(e *config.Envelope) { e.Raw[0] = ' ' }, "its envelope names"),
		Entry("no version", func(e *config.Envelope) { e.Version = 0 }, "version 0"),
		Entry("a base that is not the previous version", func(e *config.Envelope) { e.Base = 1 }, "names base 1"),
		Entry("a document over the size limit", func(e *config.Envelope) { e.Raw = make([]byte, config.MaxDocumentBytes+1) }, "exceeds the limit"),
	)
})

var _ = Describe("Diff", func() {
	// Guards against a changed limit that is not shown to the operator, and against changes reported for reordered
	// lists.
	It("lists changes by name", func() {
		a, b := valid(), valid()
		b.Groups[0], b.Groups[1] = b.Groups[1], b.Groups[0]
		Expect(config.Diff(a, b)).To(BeEmpty())
		b.Models[0].MaxReplicas = 1
		b.Adapters = nil
		b.Services[1].Calls[0].NonIdempotent = false
		b.Callers[0].Services = []string{"loans", "s"}
		var lines []string
		for _, c := range config.Diff(a, b) {
			lines = append(lines, fmt.Sprintf("%s %s %v %v", c.Kind, c.Path, c.Old, c.New))
		}
		Expect(lines).To(Equal([]string{
			"changed models[m].maxReplicas 2 1", "removed adapters[a] {a m 5} <nil>",
			"changed services[loans].calls[POST /loans].nonIdempotent true false",
			"changed callers[c].services [s loans] [loans s]",
		}))
	})
})

var _ = Describe("Index", func() {
	x := config.NewIndex(valid())

	// Guards against a path that avoids the declaration that marks its call as non-idempotent.
	DescribeTable("matches calls", func(method, path, want string) {
		c := x.Service("loans").Match(method, path)
		if want == "" {
			Expect(c).To(BeNil())
			return
		}
		Expect(c.PathPrefix).To(Equal(want))
	},
		Entry("exact", "POST", "/loans", "/loans"), Entry("below", "POST", "/loans/7", "/loans"),
		Entry("longest", "POST", "/loans/search/x", "/loans/search"), Entry("other method", "GET", "/loans", ""),
		Entry("other segment", "POST", "/loansx", ""), Entry("not clean", "POST", "/loans/search/../7", ""),
		Entry("empty segment", "POST", "//loans", ""),
	)

	// Guards against a request for an adapter that is served by another base model.
	It("resolves models and adapters", func() {
		m, a := x.Resolve("a")
		Expect([]string{m.Name, a.Name}).To(Equal([]string{"m", "a"}))
		c := x.CallerByKey(config.Digest([]byte("k")))
		Expect(x.ServiceFor(c, "a").Name).To(Equal("s"))
		Expect(x.ServiceFor(c, "z")).To(BeNil())
		Expect(c.MayCall("loans")).To(BeTrue())
	})
})
