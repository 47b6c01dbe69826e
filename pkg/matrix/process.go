package matrix

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
)

const (
	latency = time.Millisecond
	vmPoll  = vmlist.PollInterval
)

// process is what routers and agents have in common: it runs, is paused or has ended.
type process struct {
	w          *World
	name       string
	alive      bool
	reclaimed  bool // the VM is gone for good
	pausedTill time.Time
	generation int
	revision   uint64 // of the watch
	startedAt  time.Time
	version    uint64 // of the configuration, as last checked
}

func (p *process) begin() {
	p.alive = true
	p.generation++
	p.revision, p.startedAt, p.version = 0, p.w.now, 0
	p.pausedTill = time.Time{}
}

func (p *process) end() {
	p.alive = false
	p.generation++
}

// deliver runs do in the process after d, and after a pause. Nothing is delivered to a later process on the VM.
func (p *process) deliver(d time.Duration, do func()) {
	gen := p.generation
	var run func()
	run = func() {
		if p.generation != gen || !p.alive {
			return
		}
		if p.w.now.Before(p.pausedTill) {
			p.w.after(p.pausedTill.Sub(p.w.now), run)
			return
		}
		do()
	}
	p.w.after(d, run)
}

// every runs do at each interval while the process lives. A paused process runs one of the missed times.
func (p *process) every(interval time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		p.deliver(interval, again)
	}
	p.deliver(p.w.between(0, interval), again)
}

// follow gives the process the changes of the object API. The first call lists all objects.
func (p *process) follow(update func([]store.Object, error)) {
	p.every(watchInterval, func() {
		s := p.w.store
		s.calls++
		if s.down() || s.slow() {
			update(nil, store.ErrUnavailable)
			return
		}
		objects := s.since(p.revision)
		p.revision = s.revision
		p.deliver(storeDelay, func() { update(objects, nil) })
	})
}
