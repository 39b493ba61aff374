// Package quota holds the terms of client accounts (their keys, rates and bursts) and enforces the rates and bursts
// over the whole fleet.
//
// There are two ways to enforce them, and an instance uses one of them. In both, the coordinator of an account is an
// instance that hands out the account's tokens. Both are implemented as plain state machines: the code that uses them
// supplies the clock and delivers the messages.
//
// In a stand-alone fleet, each account is divided into shares, each with its own coordinator. A LeaseCoordinator leases
// parts of its share of rate and burst to LeaseHolders, and no part is ever held by two instances at once. The fleet
// never admits more than the agreed rate and burst, whichever messages are lost.
//
// In a fleet of sidecars, on a platform that allows some slack in any window of time, each account has a single
// coordinator:
//
//   - An AccountBucket is the account's token bucket at its coordinator, the instance that every view of the fleet
//     names for the account.
//   - A LocalLimiter decides at another instance. It admits requests that the coordinator has reserved for it and reports
//     them afterwards; without a reservation, it asks the coordinator first; while the coordinator can't be reached, it
//     uses the instance's own share: of what the limit allows beyond the bucket at once, and of the rate once another
//     instance can't reach the coordinator either or the coordinator has had time to suspect this instance.
//   - A ReportCall decides when a report to the coordinator is repeated, and by which path; a ReportLog counts it once
//     at the coordinator; a DecisionWait decides how long a request waits for the decision.
//   - A Takeover tracks the move of accounts to a new coordinator. Until all instances have contacted the new
//     coordinator, it hands out only the shares of those that have, since the others still use their own shares.
package quota
