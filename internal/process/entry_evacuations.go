package process

import (
	"context"

	"github.com/apricotwind/apricotwind/internal/decision/routing"
	"github.com/apricotwind/apricotwind/internal/evacuation"
	"github.com/apricotwind/apricotwind/internal/record"
	"go.uber.org/zap"
)

// readEvacuations reads the evacuated domains from the table and applies them.
func (e *Entry) readEvacuations(ctx context.Context) {
	evacuations, err := evacuation.ReadRequests(ctx, e.table)
	e.failureLoggers.evacuations.Note(err)
	if err == nil {
		e.loop.Post(func() { e.applyEvacuations(evacuations) })
	}
}

// applyEvacuations leaves the instances of the evacuated domains out of routing and placement, if
// the row is newer than the known one. It runs on the loop.
func (e *Entry) applyEvacuations(evacuations record.Evacuations) {
	if e.shardManager.SetEvacuations(evacuations) {
		e.log.Info("evacuations-in-force", zap.Uint64("version", evacuations.Version), zap.Strings("domains", evacuations.Names()))
	}
	e.routing.SetEvacuated(e.shardManager.Evacuations().Names())
}

// evacuations returns the evacuated domains that are in force on this entry.
func (e *Entry) evacuations() record.Evacuations {
	var evacuations record.Evacuations
	e.runOnLoop(func() { evacuations = e.shardManager.Evacuations() })
	return evacuations
}

// instanceRequests returns the number of requests on each instance that is linked to this entry.
func (e *Entry) instanceRequests() []routing.InstanceRequests {
	var list []routing.InstanceRequests
	e.runOnLoop(func() { list = e.routing.Requests() })
	return list
}
