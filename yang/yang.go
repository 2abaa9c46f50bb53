// Package yang embeds the YANG modules of the management interface.
package yang

import "embed"

// Files contains all modules, each in the file NAME.yang.
//
//go:embed *.yang
var Files embed.FS

// Model is the text of the module brookmux.
//
//go:embed brookmux.yang
var Model string

// The module's name, organization and revision, as gNMI Capabilities returns them.
const (
	Module       = "brookmux"
	Organization = "Malabar Vartha Services"
	Revision     = "2026-12-01"
)
