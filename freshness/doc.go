// Package freshness decides how an instance knows that the store holds nothing newer than what it has.
//
// A reading is a successful read of the store. Each instance tracks the latest reading that it knows of, whoever made it.
// In each turn, one instance reads the store on behalf of all and spreads the reading, so that on a calm day the fleet
// reads at the same rate whatever its size. No instance depends on that: one that knows of no recent reading reads the
// store itself. It does not matter why it was not told, since the view of the fleet plays no part in that decision.
//
// A reading spreads along a tree. The reader sends it to one instance of each other failure domain, and each instance
// covers a range of its own failure domain: it splits the range into parts and sends the reading to one instance of each
// part, which covers that part. The instances are chosen at random, so that successive readings take different ways. A
// part that is not covered, because an instance ended or a datagram was lost, is covered by later readings.
//
// The package has no goroutines, timers or I/O.
package freshness
