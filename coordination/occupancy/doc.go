// Package occupancy decides how many connections of clients a listener holds, how much memory their requests
// may take, and which connection makes room for another one.
package occupancy
