package rawserver

import "fmt"

// InvalidStatuses returns texts with the given header lines and a status that is not three
// digits from 100 to 599, by name. The body is some text, a response with status 200 and
// the same header lines and body, or empty.
func InvalidStatuses(fields, body string) map[string]string {
	texts := make(map[string]string)
	whole := response("200", fields, body)
	for _, status := range []string{"000", "099", "+20", "600", "999"} {
		texts[status] = response(status, fields, body)
		texts[status+" without a body"] = response(status, fields, "")
		texts[status+" around a response"] = response(status, fields, whole)
		texts[status+" before a response"] = fmt.Sprintf("HTTP/1.1 %s Odd\r\n%s\r\n%s", status, fields, whole)
	}
	return texts
}

func response(status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s Odd\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}
