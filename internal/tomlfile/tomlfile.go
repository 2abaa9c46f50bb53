// Package tomlfile decodes the operators' TOML files strictly: an unknown field is an error that shows its line.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes a file's text into the value that into points to. Its error shows the line and the field at fault.
func Decode(text []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		return fmt.Errorf("unknown field: %s", strings.TrimSpace(strict.String()))
	case errors.As(err, &decode):
		return errors.New(strings.TrimSpace(decode.String()))
	}
	return err
}
