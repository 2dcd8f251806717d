// Package operator implements the operators' HTTP API: queries and changes in the
// command language, results of changes, the state dump and the metrics.
package operator
