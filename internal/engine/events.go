package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// maxEventBytes is the maximum length of one line of an event stream.
const maxEventBytes = 1 << 20

// errNoFinishReason is returned if a stream ends before the chunk with the finish
// reason.
var errNoFinishReason = eris.New("stream ended before the finish reason")

// readEvents calls accept for each chunk of an event stream until accept
// reports that the answer is complete. It then reads up to the "[DONE]" marker,
// so that the connection can be reused.
func readEvents(body io.Reader, accept func(Chunk) (bool, error)) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	finished := false
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			break
		}
		if finished {
			continue
		}
		var chunk Chunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return eris.Wrap(err, "decode chunk")
		}
		done, err := accept(chunk)
		if err != nil {
			return err
		}
		finished = done
	}
	if finished {
		return nil
	}
	if err := lines.Err(); err != nil {
		return eris.Wrap(err, "read event stream")
	}
	return errNoFinishReason
}
