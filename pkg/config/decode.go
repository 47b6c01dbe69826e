package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// MaxDocumentBytes is the maximum size of a document. A document for 9,500 adapters is about 1.5 MB when indented.
const MaxDocumentBytes = 4 << 20

// maxProblems is the maximum number of problems reported for one document.
const maxProblems = 100

// Problem is one error in a document.
type Problem struct {
	// Path names the field, such as services[2].models[0]. It is empty for the document as a whole.
	Path string `json:"path"`
	// Message describes the error, without the path.
	Message string `json:"message"`
}

// String formats the problem as "path: message".
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// Problems is the error that lists what is wrong with a document, in document order.
type Problems []Problem

// Error joins the problems with line breaks.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) addf(path, format string, args ...any) {
	if len(*p) < maxProblems {
		*p = append(*p, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
	}
}

// err wraps the problems as an error of step config. It returns nil if there are none.
func (p Problems) err(msg string) error {
	if len(p) == 0 {
		return nil
	}
	return fault.Wrap(p, fault.StepConfig, "", msg)
}

// Decode parses a document strictly. Unknown, repeated, missing and null fields, fields in another letter case,
// malformed UTF-8 and data after the document are errors. All such errors are reported as Problems with their paths;
// malformed JSON, or an object or list where another type is expected, ends the search. Decode does not call Validate.
func Decode(raw []byte) (*Config, error) {
	if len(raw) > MaxDocumentBytes {
		return nil, fault.Newf(fault.StepConfig, "", "document of %d bytes exceeds the limit of %d", len(raw), MaxDocumentBytes)
	}
	checker := &fieldChecker{dec: json.NewDecoder(bytes.NewReader(raw))}
	checker.dec.UseNumber()
	if err := checker.checkValue("", reflect.TypeFor[Config]()); err != nil {
		return nil, fault.Wrap(err, fault.StepConfig, "", "parse document")
	}
	if _, err := checker.dec.Token(); err != io.EOF {
		checker.problems.addf("", "data follows the document")
	}
	if !validUTF8(raw) {
		checker.problems.addf("", "document is not UTF-8")
	}
	if err := checker.problems.err("decode document"); err != nil {
		return nil, err
	}
	c := new(Config)
	if err := json.Unmarshal(raw, c); err != nil {
		return nil, fault.Wrap(err, fault.StepConfig, "", "decode document")
	}
	return c, nil
}

// fieldChecker compares the fields of a JSON document with a Go type. It is needed because encoding/json accepts
// repeated fields, missing fields and any letter case.
type fieldChecker struct {
	dec      *json.Decoder
	problems Problems
}

func (c *fieldChecker) checkValue(path string, t reflect.Type) error {
	tok, err := c.dec.Token()
	if err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	switch {
	case t.Kind() == reflect.Struct && tok == json.Delim('{'):
		return c.checkObject(path, t)
	case t.Kind() == reflect.Slice && tok == json.Delim('['):
		return c.checkList(path, t.Elem())
	case tok == json.Delim('{') || tok == json.Delim('['):
		return Problems{{Path: path, Message: "must be " + typeName(t)}}
	case !fitsType(tok, t):
		c.problems.addf(path, "must be %s", typeName(t))
	}
	return nil
}

func (c *fieldChecker) checkList(path string, elem reflect.Type) error {
	for i := 0; c.dec.More(); i++ {
		if err := c.checkValue(fmt.Sprintf("%s[%d]", path, i), elem); err != nil {
			return err
		}
	}
	_, err := c.dec.Token()
	return err
}

func (c *fieldChecker) checkObject(path string, t reflect.Type) error {
	fields := fieldsOf[t]
	seen := make([]bool, len(fields))
	var unknown map[string]bool
	for c.dec.More() {
		tok, err := c.dec.Token()
		if err != nil {
			return err
		}
		name, _ := tok.(string) // the decoder accepts only strings as names
		fieldPath := join(path, name)
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
		if i < 0 {
			if err := c.reportUnknown(fieldPath, unknown[name]); err != nil {
				return err
			}
			if unknown == nil {
				unknown = map[string]bool{}
			}
			unknown[name] = true
			continue
		}
		if seen[i] {
			c.problems.addf(fieldPath, "is repeated")
		}
		seen[i] = true
		if err := c.checkValue(fieldPath, fields[i].typ); err != nil {
			return err
		}
	}
	for i, f := range fields {
		if !f.optional && !seen[i] {
			c.problems.addf(join(path, f.name), "is missing")
		}
	}
	_, err := c.dec.Token()
	return err
}

// reportUnknown reports an unknown field and skips its value.
func (c *fieldChecker) reportUnknown(path string, repeated bool) error {
	if repeated {
		c.problems.addf(path, "is repeated")
	}
	c.problems.addf(path, "is not a known field")
	var skipped json.RawMessage
	return c.dec.Decode(&skipped)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func jsonTag(f reflect.StructField) (name string, optional bool) {
	name, opts, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name, opts == "omitempty"
}

// field is a field of a document type.
type field struct {
	name     string
	optional bool
	typ      reflect.Type
}

// fieldsOf maps the document's types to their fields. Reflection for each object would take most of the decoding time.
var fieldsOf = collectFields(map[reflect.Type][]field{}, reflect.TypeFor[Config]())

func collectFields(all map[reflect.Type][]field, t reflect.Type) map[reflect.Type][]field {
	if t.Kind() == reflect.Slice {
		return collectFields(all, t.Elem())
	}
	if t.Kind() != reflect.Struct || all[t] != nil {
		return all
	}
	var fields []field
	for i := range t.NumField() {
		name, optional := jsonTag(t.Field(i))
		fields = append(fields, field{name, optional, t.Field(i).Type})
		collectFields(all, t.Field(i).Type)
	}
	all[t] = fields
	return all
}

// fitsType reports whether a scalar token can be stored in a field of type t without loss.
func fitsType(tok json.Token, t reflect.Type) bool {
	switch v := tok.(type) {
	case string:
		return t.Kind() == reflect.String
	case bool:
		return t.Kind() == reflect.Bool
	case json.Number:
		switch t.Kind() {
		case reflect.Int, reflect.Int64:
			_, err := v.Int64()
			return err == nil
		case reflect.Float64:
			_, err := v.Float64()
			return err == nil
		}
	}
	return false
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number of 64 bits"
}
