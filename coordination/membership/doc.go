// Package membership keeps an entry's view of the other live entries and
// assigns each duty to one entry of a data centre by rendezvous hash.
package membership
