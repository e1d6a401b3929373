package interference

import "math"

// filter estimates the values of several variables from observations of their weighted
// sums. It is a Kalman filter (R. E. Kalman, "A New Approach to Linear Filtering and
// Prediction Problems", 1960) with scalar observations. The process noise is what
// addVariance adds; without it, the variables are taken to be constant.
type filter struct {
	mean []float64
	cov  [][]float64
}

// term is one variable in an observed sum, with its factor.
type term struct {
	index  int
	factor float64
}

// add adds a variable with the given prior mean and variance, and returns its index.
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

// reset discards what was learned of the variable at index and sets its prior mean and
// variance.
func (f *filter) reset(index int, mean, variance float64) {
	for i := range f.cov {
		f.cov[i][index], f.cov[index][i] = 0, 0
	}
	f.mean[index], f.cov[index][index] = mean, variance
}

// addVariance adds process noise to the variable at index.
func (f *filter) addVariance(index int, variance float64) { f.cov[index][index] += variance }

// predict returns the expected value of a weighted sum.
func (f *filter) predict(terms []term) float64 {
	sum := 0.0
	for _, t := range terms {
		sum += t.factor * f.mean[t.index]
	}
	return sum
}

// observe updates the estimates from an observed weighted sum and the variance of its
// error. The difference from the predicted value is clipped to limit standard deviations,
// so that a single outlier has little effect.
func (f *filter) observe(terms []term, value, variance, limit float64) {
	sumCov := make([]float64, len(f.mean))
	for i := range sumCov {
		for _, t := range terms {
			sumCov[i] += f.cov[i][t.index] * t.factor
		}
	}
	sumVariance := variance
	for _, t := range terms {
		sumVariance += sumCov[t.index] * t.factor
	}
	maxInnovation := limit * math.Sqrt(sumVariance)
	innovation := min(max(value-f.predict(terms), -maxInnovation), maxInnovation)
	for i := range f.mean {
		f.mean[i] += sumCov[i] / sumVariance * innovation
		for j := range f.cov[i] {
			f.cov[i][j] -= sumCov[i] * sumCov[j] / sumVariance
		}
	}
}
