package httpmsg

import "testing"

// FuzzParseHeaders parses arbitrary header values. The parsers must only accept values within bounds.
func FuzzParseHeaders(f *testing.F) {
	f.Add("480m", "units=2,shard=5,hosts=3")
	f.Add("-1e308u", "units=NaN,shard=-1,hosts=Inf")
	f.Fuzz(func(t *testing.T, deadline, placement string) {
		if d, err := ParseDeadline(deadline); err == nil && (d < 0 || d > maxDeadline) {
			t.Errorf("deadline %q was accepted as %v, want an error or 0 to %v", deadline, d, maxDeadline)
		}
		p, err := ParsePlacement(placement)
		if err == nil && !(p.Units > 0 && p.Units <= 1e6 && p.Shard >= -1 && p.Hosts >= 1) {
			t.Errorf("placement %q was accepted as %+v, which is out of bounds", placement, p)
		}
	})
}
