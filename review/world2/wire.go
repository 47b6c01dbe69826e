//go:build review

package main

import (
	"embed"
	"encoding/json"
	"strings"
	"text/template"
)

// wireFiles are the messages and settings as the platform's pages spell them. The names of headers are in names.json.
//
//go:embed wire
var wireFiles embed.FS

var (
	templates = template.Must(template.ParseFS(wireFiles, "wire/*"))
	headers   = readNames()
)

// render fills in a file of wireFiles.
func render(name string, data any) json.RawMessage {
	var b strings.Builder
	if err := templates.ExecuteTemplate(&b, name, data); err != nil {
		panic(err) // the files are part of the program
	}
	return json.RawMessage(b.String())
}

// headerNames are the names of headers.
type headerNames struct {
	ID, Deadline, Model, Tokens, Prefix, Expect, Instance, NotRun, Stamp string
}

func readNames() (n headerNames) {
	if err := json.Unmarshal(render("names.json", nil), &n); err != nil {
		panic(err)
	}
	return n
}
