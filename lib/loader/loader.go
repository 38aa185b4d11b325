// Package loader reads settings files in TOML and validates them.
//
// Each program describes its settings with a plain struct and a table of
// fields. Each field in the table has a default and a validator.
//
// # Usage
//
//	var s Settings
//	err := loader.Load("radishweir.toml", &s, s.fields())
//
// Every error is a single line. A validation error names the key, the value and
// the allowed values.
package loader

import (
	"bytes"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
)

// Field ties one settings key to its default and its validator.
type Field struct {
	// Key is the name of the setting in the file.
	Key string
	// Value points at the string, []string, int or time.Duration to fill.
	Value any
	// Default is used if the key is missing from the file; nil makes the key
	// required.
	Default any
	// Check returns an error that states the allowed values if the value is
	// invalid; nil accepts every value.
	Check func(value any) error
}

// Load reads the file at path into dst, applies the defaults and validates each
// field.
func Load(path string, dst any, fields []Field) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Errorf("settings file %s cannot be read: %v", path, errors.Unwrap(err))
	}
	return Parse(path, data, dst, fields)
}

// Parse is like Load for data that was already read; path is used only in
// errors.
func Parse(path string, data []byte, dst any, fields []Field) error {
	present, err := decode(path, data, dst)
	if err != nil {
		return err
	}
	for _, f := range fields {
		if _, ok := present[f.Key]; !ok {
			if f.Default == nil {
				return errors.Errorf("%s: key %s is missing", path, f.Key)
			}
			assign(f.Value, f.Default)
		}
		if f.Check == nil {
			continue
		}
		v := deref(f.Value)
		if err := f.Check(v); err != nil {
			return errors.Errorf("%s: key %s: value %v: %v", path, f.Key, quote(v), err)
		}
	}
	return nil
}

// decode fills dst and returns the top-level keys that the file contains.
func decode(path string, data []byte, dst any) (map[string]any, error) {
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		return nil, errors.Errorf("%s: %s", path, formatTOMLError(err))
	}
	present := map[string]any{}
	if err := toml.Unmarshal(data, &present); err != nil {
		return nil, errors.Errorf("%s: %s", path, formatTOMLError(err))
	}
	return present, nil
}

// formatTOMLError formats a TOML error as a single line, with the line number in
// the file if it is known.
func formatTOMLError(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		row, _ := e.Position()
		return "line " + itoa(row) + ": key " + strings.Join(e.Key(), ".") + " is unknown"
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, _ := de.Position()
		if key := strings.Join(de.Key(), "."); key != "" && strings.Contains(de.Error(), "cannot decode") {
			// The library's text names the types of this program.
			return "line " + itoa(row) + ": key " + key + ": the value has the wrong type"
		}
		return "line " + itoa(row) + ": " + de.Error()
	}
	return err.Error()
}

// Name accepts 1 to 63 lower-case letters, digits and hyphens.
func Name(v any) error {
	s, _ := v.(string)
	if !ValidName(s) {
		return errors.New("allowed are 1 to 63 of a-z, 0-9 and hyphen")
	}
	return nil
}

// ValidName reports whether s is 1 to 63 lower-case letters, digits and hyphens.
func ValidName(s string) bool {
	if s == "" || len(s) > 63 {
		return false
	}
	for _, c := range s {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// Address accepts an IP address with a port.
func Address(v any) error {
	s, _ := v.(string)
	if _, err := netip.ParseAddrPort(s); err != nil {
		return errors.New("allowed is an IP number with a port, such as 127.0.0.1:7000")
	}
	return nil
}

// Addresses accepts a list of at least one address.
func Addresses(v any) error {
	list, _ := v.([]string)
	if len(list) == 0 {
		return errors.New("allowed is a list of at least one address")
	}
	for _, s := range list {
		if err := Address(s); err != nil {
			return err
		}
	}
	return nil
}

// File accepts the path of a file that can be opened for reading.
func File(v any) error {
	s, _ := v.(string)
	f, err := os.Open(s)
	if err != nil {
		return errors.New("allowed is the path of a file that can be read")
	}
	return f.Close()
}

// DurationRange accepts durations from low to high, written as text such as
// "5s".
func DurationRange(low, high time.Duration) func(any) error {
	return func(v any) error {
		s, _ := v.(string)
		d, err := time.ParseDuration(s)
		if err != nil || d < low || d > high {
			return errors.Errorf("allowed is a duration from %v to %v, such as \"5s\"", low, high)
		}
		return nil
	}
}

// IntRange accepts integers from low to high.
func IntRange(low, high int) func(any) error {
	return func(v any) error {
		n, ok := v.(int)
		if !ok || n < low || n > high {
			return errors.Errorf("allowed is a whole number from %d to %d", low, high)
		}
		return nil
	}
}

// FloatRange accepts numbers from low to high, written as text such as "0.4".
func FloatRange(low, high float64) func(any) error {
	return func(v any) error {
		s, _ := v.(string)
		n, err := strconv.ParseFloat(s, 64)
		if err != nil || n < low || n > high {
			return errors.Errorf("allowed is a number from %v to %v, such as \"0.4\"", low, high)
		}
		return nil
	}
}

// OneOf accepts any of the given words.
func OneOf(words ...string) func(any) error {
	return func(v any) error {
		s, _ := v.(string)
		for _, w := range words {
			if s == w {
				return nil
			}
		}
		return errors.Errorf("allowed are %s", strings.Join(words, ", "))
	}
}
