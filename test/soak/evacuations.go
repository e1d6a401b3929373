package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

const (
	// domains is the number of failure domains of the workers.
	domains = 2
	// maxEvacuationPause bounds the time between two evacuations, and maxEvacuation how long one lasts.
	maxEvacuationPause = 3 * time.Second
	maxEvacuation      = 16 * time.Second
	// evacuationBound bounds the time from a request to the last start in the domain. The process that
	// starts a task may be paused, or cut off from what tells it, by one fault after another.
	evacuationBound = 2 * maxFaultDuration
)

// domainOf returns the failure domain of worker i.
func domainOf(i int) string { return fmt.Sprintf("z%d", i%domains) }

// evacuate evacuates random domains, also several at once, and takes them back, until ctx is done.
func (c *cluster) evacuate(ctx context.Context, random *rand.Rand, logEvent func(string)) {
	wait := func(most time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.Int64N(int64(most)))):
		}
	}
	for ctx.Err() == nil {
		wait(maxEvacuationPause)
		domain := domainOf(random.IntN(domains))
		logEvent("evacuate " + domain)
		c.setEvacuated(domain, true)
		wait(maxEvacuation)
		if random.IntN(3) > 0 {
			logEvent("take back " + domain)
			c.setEvacuated(domain, false)
		}
	}
	for i := range domains {
		c.setEvacuated(domainOf(i), false)
	}
}

// setEvacuated writes or removes the request to evacuate a domain.
func (c *cluster) setEvacuated(domain string, evacuated bool) {
	key := table.RowKey{Table: "op", Key: "evacuate/" + domain}
	txn := table.Txn{Removes: []table.RowKey{key}}
	if evacuated {
		txn = table.Txn{Puts: []table.Put{{RowKey: key, Value: []byte("{}")}}}
	}
	c.checker.SetEvacuated(domain, false)
	if result, err := c.store.View(operatorName).Apply(context.Background(), txn); result.Outcome != table.Committed {
		c.addViolation("the request to evacuate %s is not written: %v", domain, err)
	}
	c.checker.SetEvacuated(domain, evacuated)
}

// checkEvacuated reports starts in evacuated domains later than evacuationBound after the request,
// but for those that a worker carried out late.
func (c *cluster) checkEvacuated() {
	for _, start := range c.checker.EvacuatedStarts() {
		if start.Delay > evacuationBound && !start.Late {
			c.addViolation("EVACUATED a task started in %s %v after the request", start.Domain, start.Delay)
		}
	}
}
