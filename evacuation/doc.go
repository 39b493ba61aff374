// Package evacuation decides which failure domains are evacuated, from what the platform's store returns and from what
// other instances know.
//
// An evacuation is an object in the store. The store is read by few instances, and can come back from an older copy that
// lacks an object which it had acknowledged. State therefore keeps with each domain the position in the store's history
// at which its object was last known to be there or to be gone; of two statements about a domain the later one holds, from
// whichever instance it comes. An absence shows that an object was removed only if the store held the object in the same
// generation; otherwise the copy may lack it, and the evacuation goes on until LostGrace has passed.
//
// State is a plain state machine: it is designed for a handful of evacuated domains and some hundred exchanges a second.
package evacuation
