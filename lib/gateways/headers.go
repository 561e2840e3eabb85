package gateways

// This file forwards HTTP headers. Headers that apply to one connection must not
// reach the other side.

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// endToEndHeaders returns a copy of the headers without the hop-by-hop headers,
// which include those that the Connection header names.
func endToEndHeaders(header http.Header) http.Header {
	copied := header.Clone()
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			delete(copied, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(copied, name)
	}
	return copied
}

// writeRequestHead appends the head of a request in HTTP/1.1 format to the buffer. The target is
// written exactly as the caller sent it.
func writeRequestHead(buffer *bytes.Buffer, method, target, host string, header http.Header, bodyBytes int) {
	buffer.WriteString(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	for name, values := range header {
		for _, value := range values {
			buffer.WriteString(name + ": " + value + "\r\n")
		}
	}
	if bodyBytes > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		buffer.WriteString("Content-Length: " + strconv.Itoa(bodyBytes) + "\r\n")
	}
	buffer.WriteString("\r\n")
}
