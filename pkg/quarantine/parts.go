package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// partCrashThreshold is the number of crashes after which requests with a part are refused if no request with the
	// part has been answered before, answeredPartCrashThreshold if one has.
	partCrashThreshold         = 2
	answeredPartCrashThreshold = 4
	// crashSeparation is the least time between two crashes that count separately. Upstreams that end together, such as
	// those of a rack that loses power, say little about the requests that were running there. For parts that have been
	// answered before, it is answeredCrashSeparation: routers learn late of upstreams that fall silent.
	crashSeparation         = 100 * time.Millisecond
	answeredCrashSeparation = 2 * time.Second
	// settleDelay is the time after which a crash counts: until then other routers report which parts their requests had,
	// and answers clear parts.
	settleDelay = time.Second
	// refusalPerCrash is how long requests with a part are refused after the last crash, for each crash that the part
	// explains, while these are less than lastingPartCrashes. Then they are refused until a trial, and from the next crash on
	// for as long as crashes count; crashes below the threshold of an answered part do not count.
	refusalPerCrash    = 20 * time.Second
	lastingPartCrashes = 3
	// maxPartCrashes bounds the crashes that count, maxPartsPerCrash the suspected parts of one.
	maxPartCrashes   = 64
	maxPartsPerCrash = 1024
	// maxAnsweredParts bounds the parts that are remembered as answered: at least this number of the latest ones.
	maxAnsweredParts = 8192
)

// PartKey returns the key of a prompt part.
func PartKey(id string) uint64 { return xxhash.Sum64String("part\x00" + id) }

// partCrash is a crash of an upstream and the parts of the requests that it had not begun to answer.
type partCrash struct {
	upstream uint64
	unixMS   int64     // at the router that reported it
	at       time.Time // when the first report was received
	// parts maps the suspected parts to their positions in the prompts.
	parts map[uint64]int
}

// parts decides which prompt parts crash upstreams. Requests share parts, and sound requests wait beside the one that
// crashes an upstream. The parts that are refused are therefore the fewest that explain the crashes, and a request that
// is answered beyond the beginning clears its parts.
type parts struct {
	crashes []*partCrash // oldest first
	// refusedUntil is when requests with each refused part may be sent again.
	refusedUntil map[uint64]time.Time
	// verdicts are the parts that have come to be refused since the last call of takeVerdicts.
	verdicts []Verdict
	// evaluateAt is when refusedUntil is to be computed anew; zero if nothing has changed.
	evaluateAt time.Time
	// answered and answeredBefore are two generations of the parts of requests that have been answered.
	answered, answeredBefore map[uint64]bool
}

func newParts() *parts {
	return &parts{refusedUntil: map[uint64]time.Time{}, answered: map[uint64]bool{}, answeredBefore: map[uint64]bool{}}
}

// recordAnswered records that a request with the part has been answered. It reports whether the part was suspected.
func (p *parts) recordAnswered(part uint64) bool {
	if !p.answered[part] {
		if len(p.answered) >= maxAnsweredParts {
			p.answeredBefore, p.answered = p.answered, map[uint64]bool{}
		}
		p.answered[part] = true
	}
	suspected := false
	for _, c := range p.crashes {
		if _, ok := c.parts[part]; ok {
			suspected = true
			delete(c.parts, part)
		}
	}
	delete(p.refusedUntil, part)
	return suspected
}

// recordCrash records that an upstream crashed while a request with the part at the position was not answered yet.
func (p *parts) recordCrash(now time.Time, x Report) {
	i := slices.IndexFunc(p.crashes, func(c *partCrash) bool { return c.upstream == x.Upstream })
	if i < 0 {
		if len(p.crashes) >= maxPartCrashes {
			p.crashes = slices.Delete(p.crashes, 0, 1)
		}
		p.crashes = append(p.crashes, &partCrash{upstream: x.Upstream, unixMS: x.UnixMS, at: now, parts: map[uint64]int{}})
		i = len(p.crashes) - 1
	}
	if c := p.crashes[i]; len(c.parts) < maxPartsPerCrash {
		c.parts[x.Fingerprint] = x.Position
		p.evaluateAfter(c.at.Add(settleDelay))
	}
}

func (p *parts) evaluateAfter(at time.Time) {
	if p.evaluateAt.IsZero() || at.Before(p.evaluateAt) {
		p.evaluateAt = at
	}
}

// Verdict states that requests with a prompt part are refused.
type Verdict struct {
	Part uint64
	// Crashes is the number of crashes that the part explains, and LastCrash the time since the last one.
	Crashes   int
	LastCrash time.Duration
	Until     time.Time
}

// takeVerdicts returns the verdicts since the last call.
func (p *parts) takeVerdicts(now time.Time) []Verdict {
	p.update(now)
	out := p.verdicts
	p.verdicts = nil
	return out
}

// update computes the refused parts anew if crashes have been reported.
func (p *parts) update(now time.Time) {
	if !p.evaluateAt.IsZero() && !now.Before(p.evaluateAt) {
		p.evaluate(now)
	}
}

// isRefused reports whether requests with the part are refused.
func (p *parts) isRefused(now time.Time, part uint64) bool {
	p.update(now)
	return now.Before(p.refusedUntil[part])
}

// evaluate computes the refused parts: repeatedly the one that was present in most of the crashes not yet explained.
func (p *parts) evaluate(now time.Time) {
	p.crashes = slices.DeleteFunc(p.crashes, func(c *partCrash) bool { return now.Sub(c.at) > evidenceTTL })
	previous := p.refusedUntil
	p.refusedUntil, p.evaluateAt = map[uint64]time.Time{}, time.Time{}
	var unexplained []*partCrash
	for _, c := range p.crashes {
		if now.Sub(c.at) < settleDelay {
			p.evaluateAfter(c.at.Add(settleDelay))
			continue
		}
		unexplained = append(unexplained, c)
	}
	slices.SortFunc(unexplained, func(a, b *partCrash) int { return cmp.Compare(a.unixMS, b.unixMS) })
	for {
		best, ok := p.mostPresent(unexplained)
		if !ok {
			return
		}
		var last time.Time
		unexplained = slices.DeleteFunc(unexplained, func(c *partCrash) bool {
			_, present := c.parts[best.part]
			if present && c.at.After(last) {
				last = c.at
			}
			return present
		})
		until := last.Add(best.refusal())
		p.refusedUntil[best.part] = until
		if now.Before(until) && !now.Before(previous[best.part]) {
			p.verdicts = append(p.verdicts, Verdict{Part: best.part, Crashes: best.crashes, LastCrash: now.Sub(last), Until: until})
		}
	}
}

// candidate is a part that may explain crashes.
type candidate struct {
	part              uint64
	crashes, position int
	answered          bool
	lastCounted       int64 // unixMS of the last crash that counted
}

// compare orders candidates by how well they explain the crashes. Of parts that were present equally often, one that no
// request has been answered with comes first, and then the later one in the prompt, which fewer requests share.
func (c candidate) compare(o candidate) int {
	byAnswered := 0
	switch {
	case c.answered && !o.answered:
		byAnswered = -1
	case !c.answered && o.answered:
		byAnswered = 1
	}
	return cmp.Or(cmp.Compare(c.crashes, o.crashes), byAnswered, cmp.Compare(c.position, o.position))
}

// mostPresent returns the part that explains most of the crashes, which are ordered by time. It returns false if there
// were too few crashes, or if several parts explain them equally well and further crashes may tell them apart.
func (p *parts) mostPresent(crashes []*partCrash) (candidate, bool) {
	candidates := map[uint64]*candidate{}
	for _, c := range crashes {
		for part, position := range c.parts {
			x := candidates[part]
			if x == nil {
				x = &candidate{part: part, position: position, answered: p.answered[part] || p.answeredBefore[part]}
				candidates[part] = x
			}
			if x.crashes == 0 || c.unixMS-x.lastCounted >= x.separation().Milliseconds() {
				x.crashes, x.lastCounted = x.crashes+1, c.unixMS
			}
		}
	}
	var best *candidate
	unique := true
	for _, x := range candidates {
		order := 1
		if best != nil {
			order = x.compare(*best)
		}
		switch {
		case order > 0:
			best, unique = x, true
		case order == 0:
			unique = false
			if x.part < best.part {
				best = x
			}
		}
	}
	if best == nil || best.crashes < best.threshold() || !unique && best.crashes < answeredPartCrashThreshold {
		return candidate{}, false
	}
	return *best, true
}

// refusal returns how long after the last crash requests with the part are refused.
func (c candidate) refusal() time.Duration {
	crashes := c.crashes - c.threshold() + partCrashThreshold
	switch {
	case crashes < lastingPartCrashes:
		return time.Duration(crashes) * refusalPerCrash
	case crashes == lastingPartCrashes:
		return trialDelays[0]
	}
	return evidenceTTL
}

// separation returns the least time between two crashes that count separately.
func (c candidate) separation() time.Duration {
	if c.answered {
		return answeredCrashSeparation
	}
	return crashSeparation
}

// threshold returns the number of crashes after which requests with the part are refused.
func (c candidate) threshold() int {
	if c.answered {
		return answeredPartCrashThreshold
	}
	return partCrashThreshold
}
