// Lab sends requests to bramleywharf as its callers do, injects faults and measures their effects.
package main
