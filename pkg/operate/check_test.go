package operate

import (
	"fmt"
	"sort"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// world is one state of a store, of operators and of the agents, which act under any version published so far. Its
// parts are replaced, never changed in place.
type world struct {
	revision  uint64
	objects   map[string]store.Object
	published []*config.Document
	applies   []*Apply
	late      []Put // writes whose answers were lost and that may still take effect
	losses    int   // answers that may still be lost
}

// explorer visits every state that interleavings of store calls can reach.
type explorer struct {
	visited     map[string]bool
	ignoreStamp bool // agents restore their own ceiling over any stamp
	violation   string
	ends        map[string]int
}

const checkedModel = "m"

// decoded saves decoding the same few values for each state.
var decoded = map[string]grant.Object{}

func docWith(ceiling int, name string) *config.Document {
	c := &config.Config{APIVersion: config.APIVersion, Deployment: name, Weights: config.Weights{ColdStart: 1},
		Limits: config.Limits{MaxWaitMS: 1, UpstreamMemoryBytes: 9}, Groups: []config.Group{{Name: "g", Kind: config.GroupModels}},
		Services: []config.Service{}, Callers: []config.Caller{}}
	if ceiling >= 0 {
		c.Models = []config.Model{{Name: checkedModel, Group: "g", MaxReplicas: ceiling, MemoryBytes: 1, Accelerators: 1}}
	}
	d, err := config.Parse(1, marshal(c))
	Expect(err).NotTo(HaveOccurred())
	return d
}

func (w world) write(p Put) (world, error) {
	if w.objects[p.Key].Version != p.Expect {
		return w, store.ErrConflict
	}
	w.revision++
	objects := map[string]store.Object{}
	for k, o := range w.objects {
		objects[k] = o
	}
	objects[p.Key] = store.Object{Key: p.Key, Version: w.revision, Value: p.Value}
	w.objects = objects
	if p.Key == store.KeyConfig {
		e, err := config.DecodeEnvelope(p.Value)
		Expect(err).NotTo(HaveOccurred())
		d, err := e.Document()
		Expect(err).NotTo(HaveOccurred())
		w.published = append(w.published[:len(w.published):len(w.published)], d)
	}
	return w, nil
}

func (w world) grants() (grant.Object, store.Object) {
	obj, ok := w.objects[grant.Key(checkedModel)]
	if !ok {
		return grant.Object{}, obj
	}
	o, known := decoded[string(obj.Value)]
	if !known {
		var err error
		o, err = grant.Decode(obj.Value)
		Expect(err).NotTo(HaveOccurred())
		decoded[string(obj.Value)] = o
	}
	return o, obj
}

// answer gives operator i the answer to its call.
func (w world) answer(i int, ans Reply) world {
	next := *w.applies[i]
	next.HandleReply(ans)
	w.applies = append([]*Apply(nil), w.applies...)
	w.applies[i] = &next
	return w
}

// operatorMoves are the states after the next call of operator i: answered, or lost, with a write that takes effect now,
// later or never.
func (w world) operatorMoves(i int) []world {
	switch call := w.applies[i].Next().(type) {
	case Pause:
		return []world{w.answer(i, Reply{})}
	case Get:
		obj, ok := w.objects[call.Key]
		if !ok {
			return []world{w.answer(i, Reply{Err: store.ErrNotFound})}
		}
		return []world{w.answer(i, Reply{Object: obj})}
	case List:
		var found []store.Object
		for _, k := range sortedKeys(w.objects) {
			if strings.HasPrefix(k, call.Prefix) {
				found = append(found, w.objects[k])
			}
		}
		return []world{w.answer(i, Reply{Objects: found})}
	case Put:
		done, err := w.write(call)
		moves := []world{done.answer(i, Reply{Version: done.revision, Err: err})}
		if w.losses > 0 {
			w.losses--
			lost := w
			lost.late = append(lost.late[:len(lost.late):len(lost.late)], call)
			done.losses--
			moves = append(moves, done.answer(i, Reply{Err: store.ErrUnknown}), lost.answer(i, Reply{Err: store.ErrUnknown}))
		}
		return moves
	}
	return nil
}

// agentMoves are the states after one agent, under any published configuration, acquired, released or rewrote a ceiling.
func (x *explorer) agentMoves(w world) []world {
	var moves []world
	o, obj := w.grants()
	put := func(o grant.Object) {
		next, err := w.write(Put{Key: grant.Key(checkedModel), Value: o.Encode(), Expect: obj.Version})
		Expect(err).NotTo(HaveOccurred())
		moves = append(moves, next)
	}
	for i, d := range w.published {
		own := config.Stamp{Version: uint64(i + 1), Digest: d.Digest}
		want := ceilings(d.Config)[checkedModel]
		n, changed := grant.SetCeiling(o, want, own)
		if x.ignoreStamp && o.Ceiling != want {
			n.Ceiling, n.Stamp, changed = want, own, true
		}
		if changed {
			put(n)
		}
	}
	if n, err := grant.Acquire(o, fmt.Sprint("vm-", len(o.Grants)), ""); err == nil {
		n.Generation = 0 // it grows without bound and decides nothing here
		put(n)
	}
	if vms := o.Holders(); o.Excess() > 0 {
		n, _ := grant.Release(o, vms[len(vms)-1])
		put(n)
	}
	return moves
}

func (w world) inForce() int {
	if len(w.published) == 0 {
		return 0
	}
	return ceilings(w.published[len(w.published)-1].Config)[checkedModel]
}

// key identifies a state. A version matters only by whether the object still has it.
func (w world) key() string {
	_, obj := w.grants()
	conf := w.objects[store.KeyConfig].Version
	b := append([]byte{byte(len(w.published)), byte(w.losses)}, obj.Value...)
	for _, d := range w.published {
		b = append(b, d.Digest[:6]...)
	}
	flag := func(f bool) {
		if f {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	for _, a := range w.applies {
		s := a.known[checkedModel]
		b = append(b, '|', byte(a.phase), byte(len(a.todo)), byte(len(a.lowered)), byte(a.stamp.Version))
		b = append(append(b, a.result.Outcome...), '|')
		flag(a.pause)
		flag(a.fresh)
		flag(a.confVersion == conf)
		flag(s.version == obj.Version)
		if a.Next() != nil { // nothing that a finished operator knows matters
			b = append(b, byte(s.object.Ceiling), byte(len(s.object.Grants)), byte(s.object.Stamp.Version))
			b = append(b, s.object.Stamp.Digest...)
		}
	}
	late := []string{}
	for _, p := range w.late {
		if w.objects[p.Key].Version == p.Expect {
			late = append(late, p.Key+string(p.Value))
		}
	}
	sort.Strings(late)
	return string(b) + strings.Join(late, "|")
}

func (x *explorer) visit(w world) {
	stack := []world{w}
	for len(stack) > 0 && x.violation == "" {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		key := w.key()
		if x.visited[key] {
			continue
		}
		x.visited[key] = true
		if o, _ := w.grants(); len(o.Grants) > w.inForce() {
			x.violation = fmt.Sprintf("%d grants, %d in force: %s", len(o.Grants), w.inForce(), key)
		}
		x.note(w)
		stack = append(stack, x.agentMoves(w)...)
		for i, a := range w.applies {
			if a.base > uint64(len(w.published)) {
				continue // an operator works from a version that it has seen
			}
			stack = append(stack, w.operatorMoves(i)...)
		}
		for i, p := range w.late {
			if next, err := w.write(p); err == nil {
				next.late = append(append([]Put(nil), w.late[:i]...), w.late[i+1:]...)
				stack = append(stack, next)
			}
		}
	}
}

// note records how the operators end and checks that their results are true.
func (x *explorer) note(w world) {
	var outcomes []string
	for _, a := range w.applies {
		if a.Next() != nil {
			return
		}
		in := false
		for i, d := range w.published {
			in = in || (d.Digest == a.doc.Digest && uint64(i+1) == a.result.Version)
		}
		won := a.result.Outcome == OutcomePublished || a.result.Outcome == OutcomeUnchanged
		if won != (in && a.result.Digest == a.doc.Digest) {
			x.violation = "a result is not true: " + w.key()
		}
		outcomes = append(outcomes, string(a.result.Outcome))
	}
	x.ends[strings.Join(outcomes, " ")]++
}

// explore starts from version 1 with ceiling first, and operators that apply the documents from the versions bases.
func explore(first, losses int, ignoreStamp bool, bases []uint64, docs ...*config.Document) *explorer {
	x := &explorer{visited: map[string]bool{}, ends: map[string]int{}, ignoreStamp: ignoreStamp}
	w := world{objects: map[string]store.Object{}, losses: losses}
	value, err := config.NewEnvelope(0, docWith(first, "first").Raw).Encode()
	Expect(err).NotTo(HaveOccurred())
	w, err = w.write(Put{Key: store.KeyConfig, Value: value})
	Expect(err).NotTo(HaveOccurred())
	for i, d := range docs {
		w.applies = append(w.applies, NewApply(d, bases[i]))
	}
	x.visit(w)
	return x
}

var _ = Describe("racing applies", func() {
	// Guards against more replicas than the accepted configuration allows, whatever the order of store calls, lost
	// answers, late writes and agents with old configurations, and against a result that is not true.
	DescribeTable("keep the limits of the accepted configuration", func(first, a, b int) {
		x := explore(first, 1, false, []uint64{1, 1}, docWith(a, "a"), docWith(b, "b"))
		Expect(x.violation).To(BeEmpty())
		Expect(x.ends).To(HaveKey("published lost-race"))
		Expect(x.ends).To(HaveKey("lost-race published"))
		GinkgoWriter.Printf("ceilings %d to %d and %d: %d states, ends %v\n", first, a, b, len(x.visited), x.ends)
	},
		Entry("both lower", 3, 2, 1), Entry("one lowers, one raises", 2, 1, 3), Entry("one removes the model", 2, -1, 1),
		Entry("both raise", 1, 2, 3), Entry("one keeps", 2, 2, 1),
	)

	// Guards against a later apply that an earlier operator's late writes undo.
	It("keep them when a third apply follows", func() {
		x := explore(1, 0, false, []uint64{1, 1, 2}, docWith(2, "a"), docWith(0, "b"), docWith(1, "c"))
		Expect(x.violation).To(BeEmpty())
		Expect(x.ends).To(HaveKey("published lost-race published"))
		GinkgoWriter.Printf("three applies: %d states, ends %v\n", len(x.visited), x.ends)
		x = explore(2, 2, false, []uint64{1, 2}, docWith(3, "a"), docWith(1, "c"))
		Expect(x.violation).To(BeEmpty())
		Expect(x.ends).To(HaveKey("published published"))
		GinkgoWriter.Printf("one after the other, two lost answers: %d states, ends %v\n", len(x.visited), x.ends)
	})

	// Guards against a same document that is published twice or reported as lost.
	It("of the same document both succeed with one version", func() {
		x := explore(2, 1, false, []uint64{1, 1}, docWith(1, "a"), docWith(1, "a"))
		Expect(x.violation).To(BeEmpty())
		for end := range x.ends {
			Expect(end).NotTo(ContainSubstring("lost"))
		}
	})

	// Guards against a check that finds nothing: agents that ignore stamps exceed a lowered limit.
	It("are checked by a search that finds a broken rule", func() {
		Expect(explore(2, 0, true, []uint64{1}, docWith(1, "a")).violation).To(ContainSubstring("2 grants, 1 in force"))
	})
})
