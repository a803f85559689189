// Package lend is the controller of voted ceilings.
//
// Its wanted state is that this instance holds the slots its organisations
// need, borrowed from each organisation's lender: the member that comes first
// in rendezvous order for the organisation. Requests spend slots with atomic
// operations and never wait for the platform.
package lend
