package processtest

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// Pool starts clusters before the tests need them, because a cluster takes seconds to become ready.
type Pool struct {
	ready         chan preparedCluster
	stop, stopped chan struct{}
}

type preparedCluster struct {
	cluster *Cluster // nil if it could not be created
	err     error
}

func (p preparedCluster) stop() {
	if p.cluster != nil {
		p.cluster.Stop()
	}
}

// NewPool builds the binaries into dir, which also contains the files of the clusters, and starts clusters whose
// engines produce one token per interval. Up to two clusters are started in advance.
func NewPool(dir string, interval time.Duration) (*Pool, error) {
	bin := filepath.Join(dir, "bin")
	if err := os.Mkdir(bin, 0o700); err != nil {
		return nil, fault.Wrap(err, fault.StepSettings, bin, "make directory")
	}
	if err := Build(bin); err != nil {
		return nil, err
	}
	p := &Pool{ready: make(chan preparedCluster, 1), stop: make(chan struct{}), stopped: make(chan struct{})}
	go p.run(bin, dir, interval)
	return p, nil
}

func (p *Pool) run(bin, dir string, interval time.Duration) {
	defer close(p.stopped)
	for i := 0; ; i++ {
		c := prepare(bin, filepath.Join(dir, fmt.Sprint(i)), interval)
		select {
		case p.ready <- c:
		case <-p.stop:
			c.stop()
			return
		}
	}
}

func prepare(bin, dir string, interval time.Duration) preparedCluster {
	if err := os.Mkdir(dir, 0o700); err != nil {
		return preparedCluster{err: fault.Wrap(err, fault.StepSettings, dir, "make directory")}
	}
	c, err := NewCluster(bin, dir)
	if err != nil {
		return preparedCluster{err: err}
	}
	return preparedCluster{cluster: c, err: c.Start(interval)}
}

// Take returns a started cluster, which may not be ready yet. The caller must stop a non-nil cluster, also if an error
// is returned with it.
func (p *Pool) Take() (*Cluster, error) {
	c := <-p.ready
	return c.cluster, c.err
}

// Close stops the clusters that were not taken.
func (p *Pool) Close() {
	close(p.stop)
	<-p.stopped
	close(p.ready)
	for c := range p.ready {
		c.stop()
	}
}
