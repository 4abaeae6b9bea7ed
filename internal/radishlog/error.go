package radishlog

// ErrorText returns the error's text for a line that also tells of success; "" without an error.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
