package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Units of settings whose field has no unit tag.
const (
	unitText = "text"
	unitList = "list of texts"
	unitBool = "true or false"
)

// ReferenceRow describes one setting in the reference.
type ReferenceRow struct {
	// Field is the dotted name of the setting.
	Field string
	// Unit is the setting's unit or type.
	Unit string
	// Default is the default value in TOML syntax.
	Default string
}

// Reference returns every setting in the order of the struct fields.
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

// shortDuration formats d without the trailing zero parts that Duration prints: 15m rather than
// 15m0s.
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
