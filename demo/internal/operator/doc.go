// Package operator sends statements of the operators' language to the entries.
package operator
