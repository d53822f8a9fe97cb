package httpmsg

import "testing"

// Whatever a client writes into its headers, what is taken is within bounds.
func FuzzFigures(f *testing.F) {
	f.Add("480m", "units=2,shard=5,hosts=3")
	f.Add("-1e308u", "units=NaN,shard=-1,hosts=Inf")
	f.Fuzz(func(t *testing.T, deadline, placement string) {
		if d, err := ParseDeadline(deadline); err == nil && (d < 0 || d > mostDeadline) {
			t.Errorf("%q gives %v", deadline, d)
		}
		units, shard, hosts, err := ParsePlacement(placement)
		if err == nil && !(units > 0 && units <= 1e6 && shard >= -1 && hosts >= 1) {
			t.Errorf("%q gives %v units, shard %d, %d hosts", placement, units, shard, hosts)
		}
	})
}
