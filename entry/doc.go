// Package entry assembles the libraries into the entry process that stands
// between callers and endpoints.
package entry
