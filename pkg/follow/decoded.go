package follow

import (
	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// Configs returns a handler that hands each version of the operator's configuration that can be read to take, with the
// revision of its object. A line tells of one that cannot be read.
func Configs(log *eventlog.Log, apply func(c *catalog.Config, revision uint64)) Handler {
	decode := func(objects []platform.Object) {
		for _, o := range objects {
			if o.Name != platform.NameConfig || o.Deleted {
				continue
			}
			c, err := platform.DecodeConfig(o.Spec)
			if err != nil {
				log.State("configuration cannot be read, the last one stays in force", "revision", o.Revision, "err", err)
				continue
			}
			apply(c, o.Revision)
		}
	}
	return Handler{Listed: decode, Changed: decode}
}

// UpstreamHandler takes the entries of upstreams. Its functions are called from one goroutine.
type UpstreamHandler struct {
	// Listed takes all entries, Put one that is new or has changed, Removed the id of one that was removed.
	Listed  func([]catalog.Upstream)
	Put     func(u catalog.Upstream, revision uint64)
	Removed func(id string, revision uint64)
	// Returned is that of Handler.
	Returned func()
}

// Upstreams returns a handler that hands the entries that can be read to h. A line tells of one that cannot be used.
func Upstreams(log *eventlog.Log, h UpstreamHandler) Handler {
	decode := func(o platform.Object) (catalog.Upstream, bool) {
		u, err := platform.DecodeUpstream(o)
		if err != nil {
			log.State("upstream entry cannot be used", "name", o.Name, "revision", o.Revision, "err", err)
		}
		return u, err == nil
	}
	return Handler{
		Listed: func(objects []platform.Object) {
			var all []catalog.Upstream
			for _, o := range objects {
				if u, ok := decode(o); ok {
					all = append(all, u)
				}
			}
			h.Listed(all)
		},
		Changed: func(objects []platform.Object) {
			for _, o := range objects {
				if o.Deleted {
					h.Removed(o.Name, o.Revision)
				} else if u, ok := decode(o); ok {
					h.Put(u, o.Revision)
				}
			}
		},
		Returned: h.Returned,
	}
}
