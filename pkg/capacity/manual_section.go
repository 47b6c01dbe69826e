package capacity

import "bytes"

// ManualSectionHeading is the heading of the section that the command does not write. The section has figures from the
// users' bench and ends the page.
const ManualSectionHeading = "## The roles on the users' platform\n"

// KeepManualSection returns the new page with the manual section of the old page, if any, at its end.
func KeepManualSection(old, page []byte) []byte {
	i := bytes.Index(old, []byte(ManualSectionHeading))
	if i < 0 {
		return page
	}
	return append(append(bytes.TrimRight(page, "\n"), "\n\n"...), old[i:]...)
}
