package operator

import (
	"fmt"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
)

// domainRoundTrip is the assumed network round-trip time to another failure domain,
// without service time.
const domainRoundTrip = 10 * time.Millisecond

// warnings lists the quotas that exceed the capacities of all known instances together,
// and the latency targets below domainRoundTrip. If no instance is known, it returns nil.
func warnings(document contract.Document, capacities []placement.Resources) []string {
	if len(capacities) == 0 {
		return nil
	}
	var total placement.Resources
	for _, capacity := range capacities {
		total = total.Plus(capacity)
	}
	var found []string
	for _, workspace := range document.Workspaces {
		quota := workspace.Quota
		need := placement.Resources{Processors: quota.Processors, Memory: quota.Memory, Accelerators: quota.Accelerators}
		if shortage := need.Shortage(total); shortage != "" {
			found = append(found, fmt.Sprintf("workspace %s: its quota is more than %d instances hold together: %s", workspace.Name, len(capacities), shortage))
		}
	}
	for _, class := range document.Classes {
		if class.Kind == contract.Service && class.Latency < domainRoundTrip {
			found = append(found, fmt.Sprintf("class %s: %s is less than the way to another failure domain and back takes (%s)", class.Name, class.Latency, domainRoundTrip))
		}
	}
	return found
}
