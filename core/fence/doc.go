// Package fence decides which instance may send orders to engines, and when.
//
// One instance at a time holds a lease in the platform; each new holder gets a
// higher fencing number. Each observer judges by its own monotonic clock
// whether the lease has lapsed. Engines that check the number reject late
// orders of a former holder. For engines that ignore it, a new holder waits
// until the former one's last order has certainly arrived. Orders declare the
// desired state, so that repeating one corrects the effect of a late one.
package fence
