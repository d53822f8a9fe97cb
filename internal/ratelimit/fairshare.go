package ratelimit

import "time"

// fairShare is the share of a parent's free burst that one key of a child may use. With n keys that take all they can
// get, each uses 1/(n+1) of the parent's burst, and as much stays free for keys that request less (the dynamic
// threshold of A. Choudhury and E. Hahne, IEEE/ACM Transactions on Networking 6(2), 1998).
const fairShare = 1.0

// minScale is the scale below which the shares of all children count as 0.
const minScale = 1e-100

// parentUsage tracks how the used requests of a parent's key drain. All shares of its children shrink together, so one
// scale serves them all.
type parentUsage struct {
	scale, used float64
	epoch       uint32 // increases when nothing is used any more, which voids all shares
}

// childShare returns how many of the parent's used requests are those of a child.
func (u *parentUsage) childShare(child *entry, used float64) float64 {
	switch {
	case used <= 0 || u.scale < minScale:
		u.epoch++
		u.scale = 1
		u.used = used
	case used < u.used:
		u.scale = u.scale * used / u.used
		u.used = used
	}
	if child.epoch != u.epoch {
		return 0
	}
	return min(child.parentShare*u.scale, used)
}

// fairWait returns how long until a child may use one more request of what its parent has free.
func (t *table) fairWait(child, parent lookup, now time.Duration) time.Duration {
	if t.definition.Rate == 0 || parent.usage == nil {
		return 0
	}
	used := t.used(parent.entry, now)
	share := parent.usage.childShare(child.entry, used)
	if share+1 <= max(1, fairShare*(t.definition.Burst-used)) {
		return 0
	}
	// The used requests drain at the rate, and each child's share of them in proportion.
	admissible := fairShare * t.definition.Burst / (fairShare + (share+1)/max(used, 1))
	return time.Duration(max(0, used-admissible)/t.definition.Rate*float64(time.Second)) + t.interval
}

// charge adds an admitted request to a child's share of its parent.
func (t *table) charge(child, parent lookup, now time.Duration) {
	if t.definition.Rate == 0 || parent.usage == nil {
		return
	}
	used := t.used(parent.entry, now) // with this request
	share := parent.usage.childShare(child.entry, max(0, used-1))
	child.parentShare = (share + 1) / parent.usage.scale
	child.epoch = parent.usage.epoch
	parent.usage.used = used
}
