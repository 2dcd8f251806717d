// Package operator sends statements of the command language to the entries.
package operator
