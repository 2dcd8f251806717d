// Package operator serves the operators' HTTP API: queries and changes in the
// command language, the fate of a change, the state dump and the metrics.
package operator
