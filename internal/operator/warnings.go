package operator

import (
	"fmt"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
)

// farthest is the time to another failure domain and back, without any work.
const farthest = 10 * time.Millisecond

// warnings names what a document owes beyond what the instances known can hold.
// Rooms are their capacities; with none known there is nothing to compare with.
func warnings(document contract.Document, rooms []placement.Resources) []string {
	if len(rooms) == 0 {
		return nil
	}
	var whole placement.Resources
	for _, room := range rooms {
		whole = whole.Plus(room)
	}
	var found []string
	for _, workspace := range document.Workspaces {
		quota := workspace.Quota
		need := placement.Resources{Processors: quota.Processors, Memory: quota.Memory, Accelerators: quota.Accelerators}
		if misfit := need.Shortage(whole); misfit != "" {
			found = append(found, fmt.Sprintf("workspace %s: its quota is more than %d instances hold together: %s", workspace.Name, len(rooms), misfit))
		}
	}
	for _, class := range document.Classes {
		if class.Kind == contract.Service && class.Latency < farthest {
			found = append(found, fmt.Sprintf("class %s: %s is less than the way to another failure domain and back takes (%s)", class.Name, class.Latency, farthest))
		}
	}
	return found
}
