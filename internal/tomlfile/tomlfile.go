// Package tomlfile reads the operators' files strictly: a field that is not known is an error that names its line.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode reads a file's text. An error names the line and the field.
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
