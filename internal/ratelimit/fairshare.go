package ratelimit

import "time"

// fairShare is the share of a parent's free burst that one key of a child may use. If n keys take all that they can
// get, each of them uses 1/(n+1) of the parent's burst, and the same amount stays free for keys that request less. This
// is the dynamic threshold of A. Choudhury and E. Hahne, IEEE/ACM Transactions on Networking 6(2), 1998.
const fairShare = 1.0

// minScale is the value of parentUsage.scale below which the shares of all children count as 0.
const minScale = 1e-100

// parentUsage tracks how the used part of a burst drains, for one key of a parent. The shares of all children shrink by
// the same factor, so one scale serves them all.
type parentUsage struct {
	scale float64 // factor by which the parentShare of an entry is multiplied to get its present share
	used  float64 // requests of the burst that were in use at the last call
	epoch uint32  // increased when used is 0 or scale below minScale, which sets the shares of all children to 0
}

// childShare returns how many of the parent's used requests belong to a child.
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

// fairWait returns the time until a child may use one more request of its parent's free burst. t is the parent's table.
func (t *table) fairWait(child, parent lookup, now time.Duration) time.Duration {
	if t.definition.Rate == 0 || parent.usage == nil {
		return 0
	}
	used := t.used(parent.entry, now)
	share := parent.usage.childShare(child.entry, used)
	if share+1 <= max(1, fairShare*(t.definition.Burst-used)) {
		return 0
	}
	// The used requests drain at the parent's rate, and the share of each child drains in proportion.
	admissible := fairShare * t.definition.Burst / (fairShare + (share+1)/max(used, 1))
	return time.Duration(max(0, used-admissible)/t.definition.Rate*float64(time.Second)) + t.interval
}

// charge adds an admitted request to a child's share of its parent. t is the parent's table.
func (t *table) charge(child, parent lookup, now time.Duration) {
	if t.definition.Rate == 0 || parent.usage == nil {
		return
	}
	used := t.used(parent.entry, now) // this request included
	share := parent.usage.childShare(child.entry, max(0, used-1))
	child.parentShare = (share + 1) / parent.usage.scale
	child.epoch = parent.usage.epoch
	parent.usage.used = used
}
