package interference

import "math"

// filter estimates numbers from observations of their weighted sums: a Kalman filter
// (R. E. Kalman, "A New Approach to Linear Filtering and Prediction Problems", 1960) of
// scalar observations, whose numbers change only as far as spread says.
type filter struct {
	mean []float64
	cov  [][]float64
}

// part is one number in an observed sum, with its factor.
type part struct {
	index  int
	factor float64
}

// add takes in a number that is known to be about mean, and returns its index.
func (f *filter) add(mean, variance float64) int {
	for i := range f.cov {
		f.cov[i] = append(f.cov[i], 0)
	}
	row := make([]float64, len(f.mean)+1)
	row[len(f.mean)] = variance
	f.mean = append(f.mean, mean)
	f.cov = append(f.cov, row)
	return len(f.mean) - 1
}

// reset makes the number at an index unknown again.
func (f *filter) reset(index int, mean, variance float64) {
	for i := range f.cov {
		f.cov[i][index], f.cov[index][i] = 0, 0
	}
	f.mean[index], f.cov[index][index] = mean, variance
}

// spread makes the number at an index less certain.
func (f *filter) spread(index int, variance float64) { f.cov[index][index] += variance }

// predict is the sum that is expected.
func (f *filter) predict(parts []part) float64 {
	sum := 0.0
	for _, p := range parts {
		sum += p.factor * f.mean[p.index]
	}
	return sum
}

// observe takes an observed sum with the variance of its error. What is further from the
// expected than limit standard deviations counts as that far, so that a single wild
// value moves little.
func (f *filter) observe(parts []part, value, variance, limit float64) {
	gain := make([]float64, len(f.mean))
	for i := range gain {
		for _, p := range parts {
			gain[i] += f.cov[i][p.index] * p.factor
		}
	}
	total := variance
	for _, p := range parts {
		total += gain[p.index] * p.factor
	}
	most := limit * math.Sqrt(total)
	wrong := min(max(value-f.predict(parts), -most), most)
	for i := range f.mean {
		f.mean[i] += gain[i] / total * wrong
		for j := range f.cov[i] {
			f.cov[i][j] -= gain[i] * gain[j] / total
		}
	}
}
