// Package fence decides who may give orders to engines, and when.
//
// One instance at a time holds a lease in the platform; each new holder gets a
// higher fencing number. Lapse is judged by each observer's own monotonic
// clock. Engines that refuse old numbers are safe from a holder that wakes up
// late; for those that ignore them a new holder waits until the old one's last
// order has surely arrived, and orders say what should be, so that repeating
// one mends what a late one spoilt.
package fence
