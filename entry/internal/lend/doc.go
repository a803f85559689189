// Package lend is the controller that enforces the ceilings of organisations:
// the generations that may run at once in the whole fleet.
//
// Its desired state is that this instance holds the slots that its
// organisations need. It borrows them from each organisation's lender, which is
// the first member in rendezvous order for the organisation. Requests take and
// return slots with atomic operations and never wait for the platform.
package lend
