// Package queue lets streams wait for room at the targets of their service, as package admit decides.
//
// It takes part for services whose streams have different priorities and whose engines' slots and memory are known. All
// other streams pass at once.
package queue
