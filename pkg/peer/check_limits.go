package peer

import "github.com/hibiscuscross/hibiscuscross/pkg/upstreamlimit"

const (
	// maxLimits bounds the limits in a report, maxLimitCounts the lists of tokens in a message.
	maxLimits, maxLimitCounts = 64, 64
	// maxLimitMS bounds ages and stamps of limits in ms: ten years, since an old fact stays one.
	maxLimitMS = 10 * 365 * 86_400_000
)

func (c *checker) limitInstance(i upstreamlimit.Instance) {
	c.require(i.ID != "" && i.StartedUnixMS >= 0, "instance")
	c.name("instance", i.ID)
}

func (c *checker) limitRate(field string, perS float64) {
	c.require(upstreamlimit.Valid(perS) && perS <= upstreamlimit.MaxRate, field)
}

func (c *checker) limitAge(field string, values ...int64) {
	for _, ms := range values {
		c.require(ms >= 0 && ms <= maxLimitMS, field)
	}
}

func (c *checker) limitCounts(field string, counts []upstreamlimit.Count) {
	c.require(len(counts) <= maxLimitCounts, field)
	for _, n := range counts {
		c.count(field, n.Count)
	}
}

func (c *checker) limits(all []upstreamlimit.Announcement) {
	c.require(len(all) <= maxLimits, "limits")
	for _, a := range all {
		c.limitInstance(a.Instance)
		c.limitRate("limits", a.N)
	}
}

func (c *checker) limitRequest(r *upstreamlimit.Request) {
	c.require(r.Router != "", "router")
	c.name("router", r.Router)
	c.limitInstance(r.Instance)
	c.require(r.Fact.Kind >= upstreamlimit.Unseen && r.Fact.Kind <= upstreamlimit.Absent, "fact")
	c.limitRate("fact", r.Fact.N)
	c.limitAge("fact", r.Fact.SentMS, r.Fact.ReceivedMS)
	c.limitRate("heard", r.Heard)
	c.require(len(r.Want) <= upstreamlimit.Priorities, "want")
	c.count("want", r.Want...)
	c.count("spent", r.Spent, r.Refused)
	c.limitCounts("returned", r.Returned)
	c.limitAge("echo", r.EchoMS, r.EchoAgeMS)
}

func (c *checker) limitGrant(g *upstreamlimit.Grant) {
	c.limitInstance(g.Instance)
	c.limitRate("limit", g.N)
	c.limitCounts("tokens", g.Tokens)
	c.quotaWait("retry", g.RetryMS, g.WaitMS)
	c.limitAge("stamp", g.StampMS)
}
