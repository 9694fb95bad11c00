package intake_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/intake"
)

// endless repeats a text for ever and counts the bytes that were read.
type endless struct {
	text string
	read int
}

func (e *endless) Read(data []byte) (int, error) {
	for i := range data {
		data[i] = e.text[(e.read+i)%len(e.text)]
	}
	e.read += len(data)
	return len(data), nil
}

// Data of exactly the limit is complete, and one byte more is a failure.
func TestLimitIsToldFromTheEnd(t *testing.T) {
	data, err := intake.ReadAll(strings.NewReader("12345"), 5)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "12345")
	_, err = intake.ReadAll(strings.NewReader("123456"), 5)
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeTooLarge)
	assert.NilError(t, intake.Discard(strings.NewReader("12345"), 5))
	assert.Equal(t, flamingodoor.CodeOf(intake.Discard(strings.NewReader("123456"), 5)), flamingodoor.CodeTooLarge)
}

// The prefix and what the reader still holds are together the whole.
func TestPrefixContinuesAfterTheLimit(t *testing.T) {
	source := strings.NewReader("123456789")
	data, complete, err := intake.ReadPrefix(source, 5)
	assert.NilError(t, err)
	assert.Assert(t, !complete)
	rest, err := io.ReadAll(source)
	assert.NilError(t, err)
	assert.Equal(t, string(data)+string(rest), "123456789")
}

// A source that fails halfway is a failure, not a short whole.
func TestBrokenSourceIsAFailure(t *testing.T) {
	broken := io.MultiReader(strings.NewReader("123"), iotest.ErrReader(io.ErrUnexpectedEOF))
	_, err := intake.ReadAll(broken, 5)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Heads that never end fail at the limits, whatever they repeat, and little more
// than the limits is read.
func TestEndlessHeadFails(t *testing.T) {
	limits := intake.HeadLimits{Bytes: 32 << 10, Lines: 128}
	for name, source := range map[string]*endless{
		"one line":           {text: "a"},
		"status line":        {text: "HTTP/1.1 200 OK"},
		"header lines":       {text: "HTTP/1.1 200 OK\r\nX-A: b\r\n"},
		"empty header lines": {text: "a:\n"},
		"interim responses":  {text: "HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			head := intake.NewHeadReader(source)
			head.Limit(limits)
			reader := bufio.NewReaderSize(head, 4<<10)
			var err error
			for range 1000 {
				head.ExpectHead()
				var response *http.Response
				if response, err = http.ReadResponse(reader, nil); err != nil {
					break
				}
				assert.NilError(t, response.Body.Close())
			}
			assert.Assert(t, err != nil)
			assert.Assert(t, source.read <= limits.Bytes+8<<10, "%d bytes were read", source.read)
		})
	}
}

// The reader holds back nothing of the body and nothing of the next response,
// however the bytes arrive.
func TestHeadAndBodyAreReadWhole(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 3000) + "\r\nContent-Length: 6\r\n\r\nabc\r\n\n" +
		"HTTP/1.1 404 Not Found\nContent-Length: 2\n\nno"
	for name, source := range map[string]io.Reader{
		"at once": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text)),
	} {
		t.Run(name, func(t *testing.T) {
			head := intake.NewHeadReader(source)
			head.Limit(intake.HeadLimits{Bytes: 8 << 10, Lines: 16})
			reader := bufio.NewReaderSize(head, 4<<10)
			for _, want := range []string{"abc\r\n\n", "no"} {
				head.ExpectHead()
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				assert.Equal(t, string(body), want)
			}
			_, err := reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
			assert.Equal(t, reader.Buffered()+head.Buffered(), 0)
		})
	}
}
