package contract

// AllowedName describes the names that ValidName accepts.
const AllowedName = "1 to 63 letters, digits, '.', '_' and '-', the first a letter or digit"

// maxName keeps names within a DNS label, so that operators can use them as host names.
const maxName = 63

// ValidName reports whether a text can name a service, a zone or a backend server.
// Names are parts of store keys, so a "/" would lead to the key of another record.
func ValidName(text string) bool {
	if text == "" || len(text) > maxName || !alphanumeric(text[0]) {
		return false
	}
	for i := range len(text) {
		c := text[i]
		if !alphanumeric(c) && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

func alphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}
