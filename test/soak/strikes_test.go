package main

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The strikes of a seed are the same each time.
func TestStrikesFollowFromTheSeed(t *testing.T) {
	const length = 90 * time.Second
	strikesOf := func(seed uint64) (text []string) {
		for _, s := range randomStrikes(rand.New(rand.NewPCG(seed, 4)), 8, length) {
			text = append(text, s.String())
		}
		return text
	}
	first := strikesOf(7)
	if len(first) < 3 {
		t.Errorf("%d strikes in %v", len(first), length)
	}
	if diff := cmp.Diff(first, strikesOf(7)); diff != "" {
		t.Errorf("the same seed gives other strikes:\n%s", diff)
	}
	if cmp.Diff(first, strikesOf(8)) == "" {
		t.Error("another seed gives the same strikes")
	}
}

// Guards against a mode that has become tame: each strike leaves workers up that can take the tasks over,
// and among a hundred seeds are cuts before and after the return of a worker, with and without a process that is hit.
func TestStrikesAreCruel(t *testing.T) {
	early, late, calm, hit := 0, 0, 0, 0
	for seed := range uint64(100) {
		for _, s := range randomStrikes(rand.New(rand.NewPCG(seed, 4)), 8, time.Minute) {
			if len(s.victims) != 4 {
				t.Errorf("seed %d: %d victims of 8 workers", seed, len(s.victims))
			}
			for _, v := range s.victims {
				checkVictim(t, seed, v)
				if v.cutAt < v.downFor {
					early++
				} else {
					late++
				}
				if v.agentHit == nil && s.ownerHit == nil {
					calm++
				} else {
					hit++
				}
			}
		}
	}
	if early < 100 || late < 100 || calm < 100 || hit < 100 {
		t.Errorf("%d early cuts, %d late ones; %d workers whose processes are left alone, %d others", early, late, calm, hit)
	}
}

// checkVictim checks the bounds of what happens to a worker.
func checkVictim(t *testing.T, seed uint64, v victim) {
	t.Helper()
	if v.downFor < minDownFor || v.downFor > maxDownFor || v.cutFor < minCutFor || v.cutFor > maxCutFor || v.cutAt < 0 || v.cutAt > v.downFor+cutLag {
		t.Errorf("seed %d: %v", seed, v)
	}
	held := false
	for _, delay := range v.heldBack {
		if delay != 0 && delay < minHeldBack || delay > maxHeldBack {
			t.Errorf("seed %d: a call held back for %v", seed, delay)
		}
		held = held || delay > 0
	}
	if !held {
		t.Errorf("seed %d: no call to w%d is held back", seed, v.worker)
	}
}
