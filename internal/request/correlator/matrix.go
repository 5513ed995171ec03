package correlator

import "math"

const (
	// minPivot is the smallest pivot of a matrix that can be inverted, relative to its
	// diagonal.
	minPivot = 1e-6
	// ridge is added to the diagonal, so that a route without requests does not make the
	// matrix singular.
	ridge = 1e-3
)

// matrix holds a square matrix in its upper left corner.
type matrix [maxRoutes][maxRoutes]float64

// invert returns the inverse of the n by n matrix by Gauss-Jordan elimination. It reports false
// if the matrix is singular. m is symmetric and not negative, so it needs no pivoting.
func (m matrix) invert(n int) (matrix, bool) {
	var inverse matrix
	for i := range n {
		inverse[i][i] = 1
	}
	for i := range n {
		m[i][i] += ridge
	}
	scale := m
	for i := range n {
		pivot := m[i][i]
		if math.Abs(pivot) <= minPivot*scale[i][i] {
			return matrix{}, false
		}
		for k := range n {
			m[i][k] /= pivot
			inverse[i][k] /= pivot
		}
		for j := range n {
			factor := m[j][i]
			if j == i || factor == 0 {
				continue
			}
			for k := range n {
				m[j][k] -= factor * m[i][k]
				inverse[j][k] -= factor * inverse[i][k]
			}
		}
	}
	return inverse, true
}
