// Command world-2 plays the platform around instances of bramleywharf for the cases of the second review: the store, the
// servers, the clients and the operator, as the users' pages describe them.
package main
