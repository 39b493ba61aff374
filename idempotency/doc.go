// Package idempotency runs a request with an Idempotency-Key at most once, whichever instances the client's attempts
// reach. An attempt is one submission of the request by the client; all attempts carry the same key.
//
// A key begins with a prefix that the fleet issued. The prefix names the key's replicas: up to three instances in
// different failure domains, each with a generation of its clock. Therefore every attempt uses the same replicas,
// whatever its instance currently sees of the fleet. An attempt runs only after a majority of the replicas granted it
// the key, and a replica grants a key to one attempt only. A replica lives in the memory of one process: unless it is
// handed over at a planned stop, it is lost when the process ends, and no later process takes its place. Therefore no
// replica can forget a grant and then grant the key again, and two attempts never both have a majority.
//
// A later attempt gets the recorded response from any replica that has it, waits while another attempt is running, or
// fails with an error that says that the request may have run. Once most replicas of a key are gone, its state is
// unknown and the key is refused: without a majority, the package keeps the at-most-once guarantee, and the client has
// to use a new key.
//
// Replica and Claimer are plain state machines that take the time as an argument. The guarantee holds whatever
// messages are lost, delayed, duplicated or reordered.
package idempotency
