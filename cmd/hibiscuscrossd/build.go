package main

import (
	"bytes"
	"debug/elf"
	"os"
	"strings"
)

var version = "0.1.0" + buildSuffix()

// buildIDLength is the number of characters of the build's id in the version.
const buildIDLength = 12

// buildSuffix returns "+" and the beginning of the content hash in the program's Go build id, which differs between builds of
// different code; "" if it cannot be read. Builds need no version control.
func buildSuffix() string {
	path, err := os.Executable()
	if err != nil {
		return ""
	}
	f, err := elf.Open(path)
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	section := f.Section(".note.go.buildid")
	if section == nil {
		return ""
	}
	note, err := section.Data()
	if err != nil {
		return ""
	}
	return suffixOf(note)
}

// suffixOf returns the suffix from the contents of the note: a header, the name "Go" and the id, whose last part is the hash of
// the contents.
func suffixOf(note []byte) string {
	_, id, ok := bytes.Cut(note, []byte("Go\x00\x00"))
	parts := strings.Split(string(bytes.TrimRight(id, "\x00")), "/")
	if hash := parts[len(parts)-1]; ok && len(hash) >= buildIDLength {
		return "+" + hash[:buildIDLength]
	}
	return ""
}
