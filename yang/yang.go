// Package yang holds the model of the management interface.
package yang

import _ "embed" // for the model's text

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
