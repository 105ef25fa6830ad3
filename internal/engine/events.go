package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds one line of an event stream.
const maxEventBytes = 1 << 20

// errNoFinish reports a stream that ended before the chunk with the finish reason.
var errNoFinish = eris.New("stream ended before the finish reason")

// readEvents calls accept for each chunk of an event stream until accept
// reports the end of the answer. It reads on to the end marker after that, so
// that the connection can be used again.
func readEvents(body io.Reader, accept func(Chunk) (bool, error)) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	whole := false
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			break
		}
		if whole {
			continue
		}
		var chunk Chunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return eris.Wrap(err, "decode a chunk")
		}
		done, err := accept(chunk)
		if err != nil {
			return err
		}
		whole = done
	}
	if whole {
		return nil
	}
	if err := lines.Err(); err != nil {
		return eris.Wrap(err, "read the stream")
	}
	return errNoFinish
}
