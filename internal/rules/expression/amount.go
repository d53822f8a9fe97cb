package expression

import "maps"

// Amount is a cost in estimated nanoseconds, or a length in bytes, that grows with the lengths of the request's
// headers. As only the size of all headers together is bounded, they can't all have the full size at once. An Amount
// therefore counts each header separately.
type Amount struct {
	fixed   float64
	headers map[string]float64 // what each byte of a header adds; nil: no header adds anything
}

// Fixed returns an amount that does not depend on headers.
func Fixed(n float64) Amount { return Amount{fixed: n} }

// lengthOfHeader returns the length of a header's value.
func lengthOfHeader(name string) Amount {
	return Amount{headers: map[string]float64{name: 1}}
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount {
	return a.combine(b, func(x, y float64) float64 { return x + y })
}

// Max returns an amount that is at least as large as a and b for any request.
func (a Amount) Max(b Amount) Amount {
	return a.combine(b, func(x, y float64) float64 { return max(x, y) })
}

// combine applies a function to the fixed terms of two amounts and, for each header of b, to its coefficients in a and
// b. A header that is missing in a has the coefficient 0 there. A header that is missing in b keeps its coefficient in
// a, so the function must return x if y is 0.
func (a Amount) combine(b Amount, function func(x, y float64) float64) Amount {
	result := Amount{fixed: function(a.fixed, b.fixed)}
	if len(a.headers)+len(b.headers) == 0 {
		return result
	}
	result.headers = maps.Clone(a.headers)
	if result.headers == nil {
		result.headers = map[string]float64{}
	}
	for name, perByte := range b.headers {
		result.headers[name] = function(result.headers[name], perByte)
	}
	return result
}

// times returns the product of the amount and a factor.
func (a Amount) times(factor float64) Amount {
	product := Amount{fixed: a.fixed * factor}
	if len(a.headers) > 0 && factor > 0 {
		product.headers = make(map[string]float64, len(a.headers))
		for name, perByte := range a.headers {
			product.headers[name] = perByte * factor
		}
	}
	return product
}

// WorstCase returns the largest value of the amount for a request whose headers have headerBytes bytes together. It is
// reached when the header that adds most per byte has them all.
func (a Amount) WorstCase(headerBytes int) int {
	highest := 0.0
	for _, perByte := range a.headers {
		highest = max(highest, perByte)
	}
	return int(a.fixed + highest*float64(headerBytes))
}

// smaller returns the amount with the smaller worst case.
func smaller(a, b Amount, headerBytes int) Amount {
	if a.WorstCase(headerBytes) <= b.WorstCase(headerBytes) {
		return a
	}
	return b
}
