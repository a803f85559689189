// Lab drives bramleywharf as its users do, breaks things on the way and measures what happens.
package main
