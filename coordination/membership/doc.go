// Package membership keeps the set of live entries as observed by one entry, and
// assigns each duty to one entry of a data centre by rendezvous hashing.
package membership
