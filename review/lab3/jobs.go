//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// retries is how often a client asks again.
const retries = 4

func encode(j *job) ([]byte, error) { return json.Marshal(j) }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, with retries. It reports whether the job was accepted.
func (k *client) submit(j *job) bool {
	if j.ID == "" {
		j.ID = newID()
	}
	j.sent = time.Now()
	k.c.world.add(j)
	refused := 0
	first := rand.IntN(len(k.c.fronts))
	for try := range retries + 1 {
		status, err := k.post(first+try, j)
		if err != nil {
			return false
		}
		if status/100 == 2 {
			k.c.world.mu.Lock()
			j.accepted = time.Now()
			k.c.world.mu.Unlock()
			return true
		}
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusNotFound {
			refused++
		}
		time.Sleep(time.Duration(200+100*try) * time.Millisecond)
	}
	k.c.world.mu.Lock()
	j.rejected = refused == retries+1
	k.c.world.mu.Unlock()
	return false
}

// state asks each front in turn for the state of a job until one answers. It returns "410" if the job
// is not known, and "" without an answer.
func (k *client) state(id string) string {
	first := rand.IntN(len(k.c.fronts))
	for try := range len(k.c.fronts) {
		status, body := k.do(first+try, http.MethodGet, prefix+id, nil)
		switch status {
		case http.StatusOK:
			var answer struct {
				State string `json:"state"`
			}
			if json.Unmarshal([]byte(body), &answer) == nil {
				k.c.rec.note("GET %s: %s", id, answer.State)
				return answer.State
			}
		case http.StatusGone:
			k.c.rec.note("GET %s: 410", id)
			return "410"
		}
	}
	k.c.rec.note("GET %s: no answer", id)
	return ""
}

// cancel cancels a job. It reports whether that was acknowledged.
func (k *client) cancel(j *job) bool {
	k.c.world.mu.Lock()
	j.cancelSent = time.Now()
	k.c.world.mu.Unlock()
	for try := range retries + 1 {
		status, _ := k.do(try+rand.IntN(len(k.c.fronts)), http.MethodDelete, prefix+j.ID, nil)
		k.c.rec.note("DELETE %s: %d", j.ID, status)
		if status/100 == 2 || status == http.StatusGone {
			k.c.world.mu.Lock()
			j.cancelled = time.Now()
			k.c.world.mu.Unlock()
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// awaitState waits until a job is shown in one of the states, and returns the last one shown.
func (k *client) awaitState(id string, bound time.Duration, states ...string) string {
	shown := ""
	for deadline := time.Now().Add(bound); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		shown = k.state(id)
		for _, state := range states {
			if shown == state {
				return shown
			}
		}
	}
	return shown
}

// checkShown checks the state in which a job is shown, which nobody has cancelled.
func (k *client) checkShown(j *job, shown string) {
	k.c.world.mu.Lock()
	defer k.c.world.mu.Unlock()
	switch {
	case shown == "failed" && k.c.world.failedTask(j.ID) < maxAttempts:
		k.c.rec.broken("LOST", "%s is shown as failed, and no task of it has ended failed more than %d times; max_attempts is %d", j.ID, k.c.world.failedTask(j.ID), maxAttempts)
	case shown == "cancelled" && j.cancelSent.IsZero():
		k.c.rec.broken("LOST", "%s is shown as cancelled, and nobody has cancelled it", j.ID)
	case shown == "410" && time.Since(j.accepted) > 3*time.Second:
		k.c.rec.broken("LOST", "%s was accepted and is not known", j.ID)
	case shown == "completed" && !k.c.world.allDone(j):
		k.c.rec.broken("MIXED", "%s is shown as completed, and not all of its tasks have ended done", j.ID)
	}
}
