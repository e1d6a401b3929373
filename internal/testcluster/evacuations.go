package testcluster

import (
	"fmt"
	"time"

	"github.com/apricotwind/apricotwind/internal/evacuation"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

const (
	// domains is the number of failure domains of a JobCluster. Worker i is in domain i modulo that.
	domains = 2
	// operatorTable and evacuationPrefix name the rows of the requests to evacuate a domain.
	operatorTable    = "operator"
	evacuationPrefix = "evacuated/"
)

// evacuationRequests returns a follower of the requests to evacuate a domain.
func evacuationRequests(store *table.Store) *evacuation.Follower {
	return &evacuation.Follower{Store: store, Table: operatorTable, Prefix: evacuationPrefix, FailureEvent: "follow-evacuations-failed"}
}

// DomainOf returns the failure domain of worker i.
func (c *JobCluster) DomainOf(i int) string { return fmt.Sprintf("d%d", i%domains) }

// Evacuate writes the request to evacuate a domain at once, as an operator does.
func (c *JobCluster) Evacuate(domain string) {
	c.Store.commit(table.Txn{Puts: []table.Put{{RowKey: evacuationKey(domain), Value: []byte("{")}}})
	c.Checker.SetEvacuated(domain, true)
}

// TakeBack removes the request to evacuate a domain at once.
func (c *JobCluster) TakeBack(domain string) {
	c.Checker.SetEvacuated(domain, false)
	c.Store.commit(table.Txn{Removes: []table.RowKey{evacuationKey(domain)}})
}

func evacuationKey(domain string) table.RowKey {
	return table.RowKey{Table: operatorTable, Key: evacuationPrefix + domain}
}

// EvacuatedStart is a start on a worker whose domain is evacuated.
type EvacuatedStart struct {
	Domain string
	Delay  time.Duration // since the request
	Late   bool          // the worker carried the order out late
}

// SetEvacuated records when a domain is evacuated or taken back.
func (c *Checker) SetEvacuated(domain string, evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuatedAt, domain)
	if evacuated {
		c.evacuatedAt[domain] = time.Now()
	}
}

// SetDomain records the failure domain of a worker.
func (c *Checker) SetDomain(worker, domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.domainOf[worker] = domain
}

// recordStartIn records a start in the worker's domain. The caller holds the lock.
func (c *Checker) recordStartIn(worker string, late bool) {
	domain := c.domainOf[worker]
	c.startsIn[domain]++
	if at, evacuated := c.evacuatedAt[domain]; evacuated {
		c.evacuatedStarts = append(c.evacuatedStarts, EvacuatedStart{domain, time.Since(at), late})
	}
}

// StartsIn returns the number of starts in a domain.
func (c *Checker) StartsIn(domain string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsIn[domain]
}

// EvacuatedStarts returns the starts on workers whose domain was evacuated.
func (c *Checker) EvacuatedStarts() []EvacuatedStart {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]EvacuatedStart{}, c.evacuatedStarts...)
}
