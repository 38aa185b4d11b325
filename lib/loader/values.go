package loader

import (
	"fmt"
	"strconv"
	"time"
)

// assign stores the default v at the pointer p.
func assign(p, v any) {
	switch p := p.(type) {
	case *string:
		*p, _ = v.(string)
	case *int:
		*p, _ = v.(int)
	case *[]string:
		*p, _ = v.([]string)
	case *bool:
		*p, _ = v.(bool)
	}
}

// deref returns the value that the pointer p points at.
func deref(p any) any {
	switch p := p.(type) {
	case *string:
		return *p
	case *int:
		return *p
	case *[]string:
		return *p
	case *bool:
		return *p
	}
	return nil
}

// quote formats a value for an error message; strings are quoted.
func quote(v any) string {
	if s, ok := v.(string); ok {
		return strconv.Quote(s)
	}
	return fmt.Sprint(v)
}

// Duration returns the duration of a setting that DurationRange has validated.
func Duration(s string) time.Duration {
	d, _ := time.ParseDuration(s)
	return d
}

func itoa(n int) string { return strconv.Itoa(n) }
