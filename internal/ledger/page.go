package ledger

import "html/template"

var page = template.Must(template.New("report").Parse(`<!doctype html><title>report</title>`))
