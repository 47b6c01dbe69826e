package processtest

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// Pool starts clusters ahead of the tests that take them, because a cluster needs seconds until it serves.
type Pool struct {
	next       chan pooled
	end, ended chan struct{}
}

type pooled struct {
	cluster *Cluster // nil if it could not be prepared
	err     error
}

func (p pooled) stop() {
	if p.cluster != nil {
		p.cluster.Stop()
	}
}

// NewPool builds the binaries into dir, which also holds the files of the clusters, and starts clusters whose engines
// take interval for a token. Two are ahead of those taken.
func NewPool(dir string, interval time.Duration) (*Pool, error) {
	bin := filepath.Join(dir, "bin")
	if err := os.Mkdir(bin, 0o700); err != nil {
		return nil, fault.Wrap(err, fault.StepSettings, bin, "make directory")
	}
	if err := Build(bin); err != nil {
		return nil, err
	}
	p := &Pool{next: make(chan pooled, 1), end: make(chan struct{}), ended: make(chan struct{})}
	go p.run(bin, dir, interval)
	return p, nil
}

func (p *Pool) run(bin, dir string, interval time.Duration) {
	defer close(p.ended)
	for i := 0; ; i++ {
		c := prepare(bin, filepath.Join(dir, fmt.Sprint(i)), interval)
		select {
		case p.next <- c:
		case <-p.end:
			c.stop()
			return
		}
	}
}

func prepare(bin, dir string, interval time.Duration) pooled {
	if err := os.Mkdir(dir, 0o700); err != nil {
		return pooled{err: fault.Wrap(err, fault.StepSettings, dir, "make directory")}
	}
	c, err := NewCluster(bin, dir)
	if err != nil {
		return pooled{err: err}
	}
	return pooled{cluster: c, err: c.Start(interval)}
}

// Take returns a started cluster, which may not serve yet. The caller stops it, also after an error, if it is not nil.
func (p *Pool) Take() (*Cluster, error) {
	c := <-p.next
	return c.cluster, c.err
}

// Close ends the clusters that were not taken.
func (p *Pool) Close() {
	close(p.end)
	<-p.ended
	close(p.next)
	for c := range p.next {
		c.stop()
	}
}
