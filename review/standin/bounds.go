package main

import (
	"time"
)

// Bounds of the sites' sheets.
const (
	contact   = 3 * time.Second
	cancelled = 3 * time.Second
	stopGrace = 50 * time.Millisecond
	finish    = 14 * time.Second
)

var zones = []string{"recife-a", "recife-b", "fortaleza-a", "salvador-a"}
