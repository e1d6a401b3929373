package ledger

import (
	"io"
)

// WriteHTML shows the report as a page that stands alone.
func (r Report) WriteHTML(w io.Writer) error {
	return page.Execute(w, r)
}
