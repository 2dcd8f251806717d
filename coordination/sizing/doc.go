// Package sizing decides how many endpoints each pool gets and which instances move. It
// decides on all pools at once and does no I/O: its inputs are the endpoints, the waiting work
// and the forecast demand of each pool, its output is a list of moves.
package sizing
