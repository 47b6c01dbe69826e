package peer

import "github.com/hibiscuscross/hibiscuscross/pkg/fetchturn"

// maxModelDemand bounds the models in a router's demand for the coordinators.
const maxModelDemand = 1024

func (c *checker) modelDemand(demand []ModelDemand) {
	c.require(len(demand) <= maxModelDemand, "model demand")
	for _, d := range demand {
		c.name("model demand", d.Model)
		c.amount("model demand", float64(d.Weight), float64(d.SingleCopyRate))
	}
}

func (c *checker) expectedLoads(expected []fetchturn.Expectation, concurrency int) {
	c.require(len(expected) <= fetchturn.MaxExpectations, "expected loads")
	c.count("store concurrency", concurrency)
	for _, e := range expected {
		c.name("expected loads", e.Model)
		c.duration("expected loads", e.MS)
	}
}

func (c *checker) turnRequest(r *fetchturn.Request) {
	c.require(r.Upstream != "", "upstream")
	c.name("upstream", r.Upstream, r.Service)
	c.require(len(r.Wants) <= fetchturn.MaxWants, "wants")
	for _, w := range r.Wants {
		c.name("wants", w.Model)
	}
	if f := r.Fetch; f != nil {
		c.name("fetch", f.Model)
		c.duration("fetch", f.AgeMS)
	}
	if e := r.Ended; e != nil {
		c.name("ended", e.Model)
		c.duration("ended", e.DurationMS)
	}
}

func (c *checker) turnAnswer(a *fetchturn.Answer) {
	c.require(a.Coordinator != "" && a.Upstream != "", "coordinator")
	c.name("coordinator", a.Coordinator, a.Upstream)
	c.name("turn", a.Turn, a.Offer)
}

// duration checks a time in ms; see maxOrderMS.
func (c *checker) duration(field string, ms int64) {
	c.require(ms >= 0 && ms <= maxOrderMS, field)
}
