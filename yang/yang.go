// Package yang holds the models of the management interface.
package yang

import "embed"

// Files holds the text of all modules, each in the file NAME.yang.
//
//go:embed *.yang
var Files embed.FS

// Model is the text of the module brookmux.
//
//go:embed brookmux.yang
var Model string

// The module as gNMI's Capabilities name it.
const (
	Module       = "brookmux"
	Organization = "Malabar Vartha Services"
	Revision     = "2026-12-01"
)
