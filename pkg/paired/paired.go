// Package paired compares two variants by measurements that were taken in pairs under the same conditions.
package paired

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Confidence is the confidence level of the intervals.
const Confidence = 0.95

// Summary describes the differences of pairs.
type Summary struct {
	Pairs        int
	Mean, StdErr float64
	// Low and High bound the confidence interval of the mean; they are infinite for fewer than two pairs.
	Low, High float64
}

// Compare returns a summary of the differences after[i]-before[i], with a confidence interval by Student's
// t-distribution. The slices must have the same length.
func Compare(before, after []float64) Summary {
	differences := make([]float64, len(after))
	for i := range after {
		differences[i] = after[i] - before[i]
	}
	return Summarize(differences)
}

// Summarize returns the mean of the values, its standard error and its confidence interval.
func Summarize(values []float64) Summary {
	s := Summary{Pairs: len(values), Low: math.Inf(-1), High: math.Inf(1)}
	if len(values) == 0 {
		return s
	}
	if len(values) == 1 {
		s.Mean = values[0]
		return s
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	s.Mean, s.StdErr = mean, stat.StdErr(deviation, float64(len(values)))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}
	margin := t.Quantile((1+Confidence)/2) * s.StdErr
	s.Low, s.High = mean-margin, mean+margin
	return s
}
