package verb

import (
	"cmp"
	"flag"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// boundedFlag is a flag whose value lies between two bounds, so that a process does not start with
// a value that it cannot work with.
type boundedFlag[T cmp.Ordered] struct {
	value    *T
	min, max T
	parse    func(text string) (T, error)
	kind     string // such as "a whole number", for errors
}

// String returns the value.
func (b *boundedFlag[T]) String() string {
	if b.value == nil {
		return ""
	}
	return fmt.Sprint(*b.value)
}

// Set parses and stores a value. It rejects one that is not within the bounds.
func (b *boundedFlag[T]) Set(text string) error {
	value, err := b.parse(text)
	if err != nil || !(value >= b.min && value <= b.max) { // also if value is not a number
		return errors.Newf("it takes %s from %v to %v", b.kind, b.min, b.max)
	}
	*b.value = value
	return nil
}

func boundedVar[T cmp.Ordered](flags *flag.FlagSet, b boundedFlag[T], name string, defaultValue T, usage string) *T {
	b.value = &defaultValue
	flags.Var(&b, name, usage)
	return b.value
}

// intVar defines a flag that holds a whole number from low to high.
func intVar(flags *flag.FlagSet, name string, defaultValue, low, high int, usage string) *int {
	return boundedVar(flags, boundedFlag[int]{min: low, max: high, parse: strconv.Atoi, kind: "a whole number"}, name, defaultValue, usage)
}

// floatVar defines a flag that holds a number from low to high.
func floatVar(flags *flag.FlagSet, name string, defaultValue, low, high float64, usage string) *float64 {
	parse := func(text string) (float64, error) { return strconv.ParseFloat(text, 64) }
	return boundedVar(flags, boundedFlag[float64]{min: low, max: high, parse: parse, kind: "a number"}, name, defaultValue, usage)
}

// durationVar defines a flag that holds a duration from low to high.
func durationVar(flags *flag.FlagSet, name string, defaultValue, low, high time.Duration, usage string) *time.Duration {
	return boundedVar(flags, boundedFlag[time.Duration]{min: low, max: high, parse: time.ParseDuration, kind: "a duration such as 30s"}, name, defaultValue, usage)
}

// Bounds of settings that several roles have.
const (
	maxDrainTimeout = time.Hour
	maxConnections  = 1_000_000
	maxProcessors   = 4096    // of one instance
	maxMemoryMB     = 1 << 26 // 64 TB
)
