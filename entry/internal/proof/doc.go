// Package proof tests whole nodes, the insides of entry instances, under
// faults. They run in virtual time over fakes of the platform, the engines, the
// services and the network between nodes.
//
// The matrix tests inject each fault at each step of a generation, of a call
// with an idempotency key and of a new sheet: alone, a second time during the
// recovery and in pairs. They check that streams are exact, that a call runs at
// most once and that sheets apply in time. The package has no code outside its
// tests.
package proof
