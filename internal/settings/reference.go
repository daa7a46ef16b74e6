package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// The units of settings whose field bears no unit tag.
const (
	unitText = "text"
	unitList = "list of texts"
	unitBool = "true or false"
)

// ReferenceRow is one setting as the reference lists it.
type ReferenceRow struct {
	// Field is the dotted name.
	Field string
	// Unit is the unit or type.
	Unit string
	// Default is the default as it would be written in TOML.
	Default string
}

// Reference lists every setting in the order of the structs.
func Reference() []ReferenceRow {
	return referenceRows("", reflect.ValueOf(*Default()))
}

func referenceRows(prefix string, table reflect.Value) []ReferenceRow {
	var rows []ReferenceRow
	for i := range table.NumField() {
		field, value := table.Type().Field(i), table.Field(i)
		name := prefix + field.Tag.Get("toml")
		if _, isDuration := value.Interface().(Duration); value.Kind() == reflect.Struct && !isDuration {
			rows = append(rows, referenceRows(name+".", value)...)
			continue
		}
		rows = append(rows, ReferenceRow{Field: name, Unit: unitOf(field), Default: tomlLiteral(value)})
	}
	return rows
}

func unitOf(field reflect.StructField) string {
	if unit := field.Tag.Get("unit"); unit != "" {
		return unit
	}
	switch field.Type.Kind() {
	case reflect.Bool:
		return unitBool
	case reflect.Slice:
		return unitList
	default:
		return unitText
	}
}

func tomlLiteral(value reflect.Value) string {
	switch v := value.Interface().(type) {
	case Duration:
		return fmt.Sprintf("%q", shortDuration(v))
	case string:
		return fmt.Sprintf("%q", v)
	case []string:
		return "[]"
	default:
		return fmt.Sprint(v)
	}
}

// shortDuration drops the zero seconds and minutes that Duration prints: "15m0s".
func shortDuration(d Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
