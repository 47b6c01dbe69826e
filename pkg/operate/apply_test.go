package operate

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/agent"
	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/membership"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

func TestOperate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operate")
}

func marshal(c *config.Config) []byte {
	b, err := json.Marshal(c)
	Expect(err).NotTo(HaveOccurred())
	return b
}

// advance executes calls without waiting until the apply pauses or ends.
func advance(s store.Store, a *Apply) {
	for call := a.Next(); call != nil && call != (Pause{}); call = a.Next() {
		a.HandleReply(execute(context.Background(), s, call))
	}
}

func apply(s store.Store, d *config.Document, base uint64) Result {
	a := NewApply(d, base)
	for range 20 {
		advance(s, a)
		if a.Next() == nil {
			return a.Result()
		}
		a.HandleReply(Reply{})
	}
	a.Expire()
	return a.Result()
}

func setGrants(s store.Store, change func(o *grant.Object)) {
	obj, err := s.Get(context.Background(), grant.Key(checkedModel))
	var o grant.Object
	if err == nil {
		o, err = grant.Decode(obj.Value)
		Expect(err).NotTo(HaveOccurred())
	}
	change(&o)
	_, err = s.Put(context.Background(), grant.Key(checkedModel), o.Encode(), obj.Version)
	Expect(err).NotTo(HaveOccurred())
}

func setHolders(vms ...string) func(o *grant.Object) {
	return func(o *grant.Object) {
		o.Grants = nil
		for _, vm := range vms {
			o.Grants = append(o.Grants, grant.Grant{VM: vm})
		}
	}
}

var _ = Describe("apply", func() {
	var s *standin.MemStore
	BeforeEach(func() {
		s = standin.NewMemStore(0)
		digest := docWith(2, "first").Digest
		Expect(apply(s, docWith(2, "first"), 0)).To(Equal(Result{Outcome: OutcomePublished, Version: 1, Digest: digest, RequestedDigest: digest}))
		setGrants(s, func(o *grant.Object) {
			o.Ceiling, o.Stamp = 2, config.Stamp{Version: 1, Digest: docWith(2, "first").Digest}
		})
	})

	// Guards against a new version for an unchanged document, even if its base is an old version.
	It("of the active document changes nothing", func() {
		r := apply(s, docWith(2, "first"), 0)
		Expect(r.Outcome).To(Equal(OutcomeUnchanged))
		Expect(r.Version).To(Equal(uint64(1)))
	})

	// Guards against overwriting a document that is newer than the base.
	It("from an old version shows both versions", func() {
		Expect(apply(s, docWith(3, "second"), 1).Version).To(Equal(uint64(2)))
		r := apply(s, docWith(1, "mine"), 1)
		Expect(r.ExitCode()).To(Equal(ExitLostRace))
		Expect(r.Text()).To(And(ContainSubstring("theirs: version 2"), ContainSubstring("yours:  made from version 1"), ContainSubstring("~ models[m].maxReplicas: 3 -> 1")))
	})

	// Guards against activating a lower limit while more grants exist, and against a timeout without an explanation.
	It("waits for holders, and on a timeout leaves the stricter limit and reports it", func() {
		setGrants(s, setHolders("vm-a", "vm-b"))
		r := apply(s, docWith(1, "lower"), 1)
		Expect(r.ExitCode()).To(Equal(ExitTimedOut))
		Expect(r.Text()).To(And(ContainSubstring("held beyond the new limit by vm-b"), ContainSubstring("the stricter limits stay for m")))
		obj, err := s.Get(context.Background(), grant.Key(checkedModel))
		Expect(err).NotTo(HaveOccurred())
		Expect(grant.Decode(obj.Value)).To(HaveField("Ceiling", 1))
		Expect(apply(s, docWith(2, "first"), 0).Text()).To(ContainSubstring("a later apply has set stricter limits for m"))
		setGrants(s, setHolders("vm-a"))
		Expect(apply(s, docWith(1, "lower"), 1).Version).To(Equal(uint64(2)))
	})

	// Guards against a stale read, from before the ceiling was lowered, that shows fewer holders than there are.
	It("ignores a read of the holders that is older than its own write", func() {
		stale, err := s.Get(context.Background(), grant.Key(checkedModel))
		Expect(err).NotTo(HaveOccurred())
		setGrants(s, setHolders("vm-a", "vm-b"))
		a := NewApply(docWith(1, "lower"), 1)
		advance(s, a)
		for a.phase != phaseAwaitRelease || a.pause {
			a.HandleReply(execute(context.Background(), s, a.Next()))
		}
		a.HandleReply(Reply{Object: stale})
		Expect(a.phase).To(Equal(phaseAwaitRelease))
	})

	// Guards against reporting a write whose reply is lost as failed, and against retrying it as a new version.
	It("resolves lost replies by reading back", func() {
		a := NewApply(docWith(1, "lower"), 1)
		for call := a.Next(); call != nil; call = a.Next() {
			if _, ok := call.(Pause); ok {
				a.HandleReply(Reply{})
				continue
			}
			reply := execute(context.Background(), s, call)
			if _, ok := call.(Put); ok {
				reply = Reply{Err: store.ErrUnknown}
			}
			a.HandleReply(reply)
		}
		Expect(a.Result().Outcome).To(Equal(OutcomePublished))
		Expect(a.Result().Version).To(Equal(uint64(2)))
	})

	// Guards against reporting an outage as holders that do not release.
	It("names the failed call when the time runs out", func() {
		s.SetFaults(standin.StoreFaults{Down: true})
		r := apply(s, docWith(1, "lower"), 1)
		Expect(r.Outcome).To(Equal(OutcomeTimedOut))
		Expect(r.Text()).To(ContainSubstring("unavailable"))
	})

	// Guards against ceilings that stay low after a limit is raised.
	It("raises ceilings after the publication", func() {
		Expect(apply(s, docWith(5, "higher"), 1).Version).To(Equal(uint64(2)))
		obj, err := s.Get(context.Background(), grant.Key(checkedModel))
		Expect(err).NotTo(HaveOccurred())
		Expect(grant.Decode(obj.Value)).To(And(HaveField("Ceiling", 5), HaveField("Stamp.Version", uint64(2))))
	})
})

var _ = Describe("status and drain", func() {
	// Guards against a status without the holders of grants, and one that fails because one process is down.
	It("shows grants, upstreams, refused requests and processes", func() {
		s, ctx := standin.NewMemStore(0), context.Background()
		Expect(apply(s, docWith(2, "first"), 0).Version).To(Equal(uint64(1)))
		setGrants(s, func(o *grant.Object) { o.Ceiling = 1; setHolders("vm-a", "vm-b")(o) })
		put := func(key, value string) {
			_, err := s.Put(ctx, key, []byte(value), store.MustNotExist)
			Expect(err).NotTo(HaveOccurred())
		}
		put(membership.Key("vm-a"), string(membership.Upstream{VM: "vm-a", Group: "g", Draining: true}.Encode()))
		put(store.KeyQuarantine, `[{"fingerprint":255,"unixMs":0,"reason":"crashed alone"}]`)
		put("owners/loans", "{")
		drained := false
		p := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			drained = drained || r.Method == http.MethodPost && r.URL.Path == "/drain"
			Expect(json.NewEncoder(w).Encode(agent.Status{VM: "vm-a"})).To(Succeed())
		}))
		defer p.Close()
		addr := strings.TrimPrefix(p.URL, "http://")
		st, err := ReadStatus(ctx, s, p.Client(), []string{addr, "127.0.0.1:1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(st.Text()).To(And(ContainSubstring("vm-b (to release)"), MatchRegexp(`vm-a +g .*draining +m`), ContainSubstring("00000000000000ff"),
			MatchRegexp(`vm-a +0 +behind version 1`), ContainSubstring("quarantined: 0"), MatchRegexp(`127.0.0.1:1 .*not asked`), ContainSubstring("problem: owners/loans")))
		Expect(Drain(ctx, p.Client(), addr)).To(Succeed())
		Expect(drained).To(BeTrue())
		Expect(Drain(ctx, p.Client(), "127.0.0.1:1")).NotTo(Succeed())
	})

	// Guards against writing an invalid document to the object API.
	It("refuses an invalid document with its own exit code", func() {
		file := filepath.Join(GinkgoT().TempDir(), "c.json")
		Expect(os.WriteFile(file, []byte(`{"deployment":"d"}`), 0o600)).To(Succeed())
		_, err := LoadDocument(file, nil)
		Expect(ExitCode(err)).To(Equal(ExitInvalid))
		Expect(err).To(MatchError(ContainSubstring("apiVersion: is missing")))
		_, err = LoadDocument("-", strings.NewReader(string(marshal(docWith(1, "d").Config))))
		Expect(err).NotTo(HaveOccurred())
	})
})
