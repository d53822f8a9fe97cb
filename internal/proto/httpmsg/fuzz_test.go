package httpmsg

import "testing"

// FuzzFigures parses any values of headers: what is accepted must be within bounds.
func FuzzFigures(f *testing.F) {
	f.Add("480m", "units=2,shard=5,hosts=3")
	f.Add("-1e308u", "units=NaN,shard=-1,hosts=Inf")
	f.Fuzz(func(t *testing.T, deadline, placement string) {
		if d, err := ParseDeadline(deadline); err == nil && (d < 0 || d > maxDeadline) {
			t.Errorf("deadline %q gives %v", deadline, d)
		}
		p, err := ParsePlacement(placement)
		if err == nil && !(p.Units > 0 && p.Units <= 1e6 && p.Shard >= -1 && p.Hosts >= 1) {
			t.Errorf("placement %q gives %+v", placement, p)
		}
	})
}
