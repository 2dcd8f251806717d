// Package organisation decides what the organisations that share the pools may use: it
// counts what each of them has running against its limit, divides full pools by weight,
// and classifies jobs that exceed an organisation's rate. It does no I/O.
package organisation
