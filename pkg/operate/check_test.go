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

// world is a state of the store and of the operators. Agents have no state here; they act under any version published
// so far. Slices and maps are replaced, never modified.
type world struct {
	revision   uint64
	objects    map[string]store.Object
	published  []*config.Document
	applies    []*Apply
	delayed    []Put // writes whose replies were lost and that may still take effect
	lossesLeft int   // number of replies that may still be lost
}

// explorer visits every state that can be reached by interleaving store calls.
type explorer struct {
	visited     map[string]bool
	ignoreStamp bool // agents restore their own ceiling whatever the stamp
	violation   string
	endCounts   map[string]int
}

const checkedModel = "m"

// decodedGrants caches decoded values, because the same few occur in all states.
var decodedGrants = map[string]grant.Object{}

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
	o, known := decodedGrants[string(obj.Value)]
	if !known {
		var err error
		o, err = grant.Decode(obj.Value)
		Expect(err).NotTo(HaveOccurred())
		decodedGrants[string(obj.Value)] = o
	}
	return o, obj
}

// deliverReply passes operator i the reply to its call.
func (w world) deliverReply(i int, reply Reply) world {
	next := *w.applies[i]
	next.HandleReply(reply)
	w.applies = append([]*Apply(nil), w.applies...)
	w.applies[i] = &next
	return w
}

// operatorMoves returns the states after the next call of operator i: with a reply, or with a lost reply to a write
// that takes effect now, later or never.
func (w world) operatorMoves(i int) []world {
	switch call := w.applies[i].Next().(type) {
	case Pause:
		return []world{w.deliverReply(i, Reply{})}
	case Get:
		obj, ok := w.objects[call.Key]
		if !ok {
			return []world{w.deliverReply(i, Reply{Err: store.ErrNotFound})}
		}
		return []world{w.deliverReply(i, Reply{Object: obj})}
	case List:
		var found []store.Object
		for _, k := range sortedKeys(w.objects) {
			if strings.HasPrefix(k, call.Prefix) {
				found = append(found, w.objects[k])
			}
		}
		return []world{w.deliverReply(i, Reply{Objects: found})}
	case Put:
		done, err := w.write(call)
		moves := []world{done.deliverReply(i, Reply{Version: done.revision, Err: err})}
		if w.lossesLeft > 0 {
			w.lossesLeft--
			lost := w
			lost.delayed = append(lost.delayed[:len(lost.delayed):len(lost.delayed)], call)
			done.lossesLeft--
			moves = append(moves, done.deliverReply(i, Reply{Err: store.ErrUnknown}), lost.deliverReply(i, Reply{Err: store.ErrUnknown}))
		}
		return moves
	}
	return nil
}

// agentMoves returns the states after one agent, under any published configuration, has acquired or released a grant or
// rewritten the ceiling.
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
		n.Generation = 0 // it increases without bound and does not affect decisions here
		put(n)
	}
	if vms := o.Holders(); o.Excess() > 0 {
		n, _ := grant.Release(o, vms[len(vms)-1])
		put(n)
	}
	return moves
}

func (w world) activeCeiling() int {
	if len(w.published) == 0 {
		return 0
	}
	return ceilings(w.published[len(w.published)-1].Config)[checkedModel]
}

// key identifies a state. Of a version, it only includes whether it is the current one of the object.
func (w world) key() string {
	_, obj := w.grants()
	conf := w.objects[store.KeyConfig].Version
	b := append([]byte{byte(len(w.published)), byte(w.lossesLeft)}, obj.Value...)
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
		s := a.objects[checkedModel]
		b = append(b, '|', byte(a.phase), byte(len(a.pending)), byte(len(a.lowered)), byte(a.stamp.Version))
		b = append(append(b, a.result.Outcome...), '|')
		flag(a.pause)
		flag(a.writeNext)
		flag(a.configObjectVersion == conf)
		flag(s.version == obj.Version)
		if a.Next() != nil { // the objects of a finished operator do not affect further states
			b = append(b, byte(s.object.Ceiling), byte(len(s.object.Grants)), byte(s.object.Stamp.Version))
			b = append(b, s.object.Stamp.Digest...)
		}
	}
	delayed := []string{}
	for _, p := range w.delayed {
		if w.objects[p.Key].Version == p.Expect {
			delayed = append(delayed, p.Key+string(p.Value))
		}
	}
	sort.Strings(delayed)
	return string(b) + strings.Join(delayed, "|")
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
		if o, _ := w.grants(); len(o.Grants) > w.activeCeiling() {
			x.violation = fmt.Sprintf("%d grants, %d in force: %s", len(o.Grants), w.activeCeiling(), key)
		}
		x.recordEnd(w)
		stack = append(stack, x.agentMoves(w)...)
		for i, a := range w.applies {
			if a.base > uint64(len(w.published)) {
				continue // an operator can only start from a published version
			}
			stack = append(stack, w.operatorMoves(i)...)
		}
		for i, p := range w.delayed {
			if next, err := w.write(p); err == nil {
				next.delayed = append(append([]Put(nil), w.delayed[:i]...), w.delayed[i+1:]...)
				stack = append(stack, next)
			}
		}
	}
}

// recordEnd records the outcomes once all operators have ended, and checks that their results are correct.
func (x *explorer) recordEnd(w world) {
	var outcomes []string
	for _, a := range w.applies {
		if a.Next() != nil {
			return
		}
		wasPublished := false
		for i, d := range w.published {
			wasPublished = wasPublished || (d.Digest == a.doc.Digest && uint64(i+1) == a.result.Version)
		}
		succeeded := a.result.Outcome == OutcomePublished || a.result.Outcome == OutcomeUnchanged
		if succeeded != (wasPublished && a.result.Digest == a.doc.Digest) {
			x.violation = "a result is wrong: " + w.key()
		}
		outcomes = append(outcomes, string(a.result.Outcome))
	}
	x.endCounts[strings.Join(outcomes, " ")]++
}

// explore visits the states that follow version 1 with ceiling first, with one operator per document that applies it to
// the version in bases.
func explore(first, losses int, ignoreStamp bool, bases []uint64, docs ...*config.Document) *explorer {
	x := &explorer{visited: map[string]bool{}, endCounts: map[string]int{}, ignoreStamp: ignoreStamp}
	w := world{objects: map[string]store.Object{}, lossesLeft: losses}
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
	// Guards against more grants than the active configuration allows, for every order of store calls, lost replies,
	// delayed writes and agents with old configurations, and against a wrong result.
	DescribeTable("keep the limits of the active configuration", func(first, a, b int) {
		x := explore(first, 1, false, []uint64{1, 1}, docWith(a, "a"), docWith(b, "b"))
		Expect(x.violation).To(BeEmpty())
		Expect(x.endCounts).To(HaveKey("published lost-race"))
		Expect(x.endCounts).To(HaveKey("lost-race published"))
		GinkgoWriter.Printf("ceilings %d to %d and %d: %d states, ends %v\n", first, a, b, len(x.visited), x.endCounts)
	},
		Entry("both lower", 3, 2, 1), Entry("one lowers, one raises", 2, 1, 3), Entry("one removes the model", 2, -1, 1),
		Entry("both raise", 1, 2, 3), Entry("one keeps", 2, 2, 1),
	)

	// Guards against an earlier operator's delayed writes that undo a later apply.
	It("keep them when a third apply follows", func() {
		x := explore(1, 0, false, []uint64{1, 1, 2}, docWith(2, "a"), docWith(0, "b"), docWith(1, "c"))
		Expect(x.violation).To(BeEmpty())
		Expect(x.endCounts).To(HaveKey("published lost-race published"))
		GinkgoWriter.Printf("three applies: %d states, ends %v\n", len(x.visited), x.endCounts)
		x = explore(2, 2, false, []uint64{1, 2}, docWith(3, "a"), docWith(1, "c"))
		Expect(x.violation).To(BeEmpty())
		Expect(x.endCounts).To(HaveKey("published published"))
		GinkgoWriter.Printf("one after the other, two lost replies: %d states, ends %v\n", len(x.visited), x.endCounts)
	})

	// Guards against publishing the same document twice, and against reporting one of the applies as lost.
	It("of the same document both succeed with one version", func() {
		x := explore(2, 1, false, []uint64{1, 1}, docWith(1, "a"), docWith(1, "a"))
		Expect(x.violation).To(BeEmpty())
		for end := range x.endCounts {
			Expect(end).NotTo(ContainSubstring("lost"))
		}
	})

	// Guards against a search that cannot find violations: agents that ignore stamps exceed a lowered limit.
	It("are checked by a search that finds a violation", func() {
		Expect(explore(2, 0, true, []uint64{1}, docWith(1, "a")).violation).To(ContainSubstring("2 grants, 1 in force"))
	})
})
