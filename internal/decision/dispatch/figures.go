package dispatch

import "github.com/apricotwind/apricotwind/internal/decision/interference"

// Measured takes the figures of an instance and learns from them what filling images
// cost serving ones.
func (b *Book) Measured(life Life, figures []Figure) {
	in, ok := b.instances[life.ID]
	if !ok || in.offer.Life != life || len(figures) == 0 {
		return
	}
	cores := map[string]float64{}
	in.tails = map[TaskName]float64{}
	for _, figure := range figures {
		p := in.placements[figure.Task]
		switch {
		case p == nil || p.step == nil:
		case p.serves && figure.Value > 0:
			in.tails[figure.Task] = figure.Value
		case p.fills:
			cores[p.step.Image] += figure.Value / 1000
		}
	}
	for name, tail := range in.tails {
		b.pairs.Observe(interference.Sample{Serving: in.placements[name].step.Image, Tail: tail, Cores: cores})
	}
}

// Weights are what is known of the serving images on an instance.
func (b *Book) Weights(id string) []interference.Weight {
	in, ok := b.instances[id]
	if !ok {
		return nil
	}
	var images []string
	for _, p := range in.placements {
		if p.serves {
			images = append(images, p.step.Image)
		}
	}
	return b.pairs.Of(images)
}

// Traits describes the runs on an instance, for an agent that has not started them.
func (b *Book) Traits(id string) []Start {
	in, ok := b.instances[id]
	if !ok {
		return nil
	}
	var traits []Start
	for _, p := range in.placements {
		if p.step != nil {
			traits = append(traits, Start{Instance: id, Task: p.name, Run: p.run, Step: p.step})
		}
	}
	return traits
}
