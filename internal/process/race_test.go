//go:build race

package process_test

// raceDetector says whether the tests run under the race detector.
const raceDetector = true
