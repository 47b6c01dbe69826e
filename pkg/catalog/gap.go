package catalog

import "time"

// ShortestEventGap returns the shortest MaxEventGap of the routes to the service; 0 if no route has one.
func (c *Config) ShortestEventGap(service string) time.Duration {
	shortest := time.Duration(0)
	for _, routes := range c.routes {
		for _, r := range routes {
			for _, b := range r.Backends {
				if b.Service == service && r.MaxEventGap > 0 && (shortest == 0 || r.MaxEventGap < shortest) {
					shortest = r.MaxEventGap
				}
			}
		}
	}
	return shortest
}
