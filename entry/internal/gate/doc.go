// Package gate is the controller of engine capacity.
//
// Its wanted state is that free slots of the watched engines go to waiting
// generations by the voted shares. A generation passes at once while there is
// room and nobody waits; calls of plain services never come here.
package gate
