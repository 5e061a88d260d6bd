package simulator

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/settings"
)

// readBufferBytes is large enough for a batch of ordinary size.
const readBufferBytes = 1 << 20

// lineReader reads lines of any length and counts them.
type lineReader struct {
	in     *bufio.Reader
	number int // the number of the last line read, from 1
}

func newLineReader(in io.Reader) *lineReader {
	return &lineReader{in: bufio.NewReaderSize(in, readBufferBytes)}
}

// next returns the next line without its line break. It returns io.EOF only if the input does not
// end within a line.
func (l *lineReader) next() (string, error) {
	text, err := l.in.ReadString('\n')
	if errors.Is(err, io.EOF) && text == "" {
		return "", io.EOF
	}
	l.number++
	if errors.Is(err, io.EOF) {
		return "", errEndsInLine
	}
	if err != nil {
		return "", fmt.Errorf("reading: %w", err)
	}
	return strings.TrimSuffix(text[:len(text)-1], "\r"), nil
}

// fields reads the fields of a line, which are separated by single spaces. It keeps the first
// error.
type fields struct {
	rest    string // the part that has not been read yet
	hasMore bool   // whether there is another field; rest may be empty
	err     error
}

func newFields(line string) fields { return fields{rest: line, hasMore: true} }

// word reads a field as text.
func (f *fields) word() string {
	if !f.hasMore {
		if f.err == nil {
			f.err = errors.New("too few values")
		}
		return ""
	}
	word, rest, hasMore := strings.Cut(f.rest, " ")
	f.rest = rest
	f.hasMore = hasMore
	return word
}

// recordInvalid records an invalid field, unless an error has been recorded before.
func (f *fields) recordInvalid(name, word string) {
	if f.err == nil {
		f.err = fmt.Errorf("bad %s %q", name, word)
	}
}

// remainder reads the rest of the line.
func (f *fields) remainder() string {
	if !f.hasMore {
		return f.word()
	}
	f.hasMore = false
	return f.rest
}

// number reads a finite number.
func (f *fields) number(name string) float64 { return f.parseNumber(name, f.word()) }

// numberOrAbsent reads a finite number, or returns 0 if it is absent.
func (f *fields) numberOrAbsent(name string) float64 {
	word := f.word()
	if word == absent {
		return 0
	}
	return f.parseNumber(name, word)
}

func (f *fields) parseNumber(name, word string) float64 {
	v, err := strconv.ParseFloat(word, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.recordInvalid(name, word)
		return 0
	}
	return v
}

// uint reads the number of a request, an attempt or a server.
func (f *fields) uint(name string) uint32 {
	word := f.word()
	v, err := strconv.ParseUint(word, 10, 32)
	if err != nil {
		f.recordInvalid(name, word)
	}
	return uint32(v)
}

// bool reads a flag, or returns false if it is absent.
func (f *fields) bool(name string) bool {
	word := f.word()
	if word != "0" && word != "1" && word != absent {
		f.recordInvalid(name, word)
	}
	return word == "1"
}

// instanceID reads the number of an instance, and returns its text.
func (f *fields) instanceID() string {
	id := f.word()
	if _, err := strconv.ParseUint(id, 10, 63); err != nil {
		f.recordInvalid("instance", id)
	}
	return id
}

// seed reads a random seed, which may be negative.
func (f *fields) seed() uint64 {
	word := f.word()
	if seed, err := strconv.ParseUint(word, 10, 64); err == nil {
		return seed
	}
	seed, err := strconv.ParseInt(word, 10, 64)
	if err != nil {
		f.recordInvalid("entropy", word)
	}
	return uint64(seed)
}

// key reads the key of a request, which may be absent.
func (f *fields) key() (key uint64, hasKey bool) {
	word := f.word()
	if word == absent {
		return 0, false
	}
	key, err := strconv.ParseUint(word, 16, 64)
	if err != nil {
		f.recordInvalid("affinity", word)
	}
	return key, true
}

// octets reads base64-encoded bytes.
func (f *fields) octets() []byte {
	word := f.word()
	data, err := base64.StdEncoding.DecodeString(strings.TrimSuffix(word, absent))
	if err != nil {
		f.recordInvalid("octets", word)
	}
	return data
}

// load reads a load report with the given columns. Absent values stay negative.
func (f *fields) load(columns []string) decide.LoadReport {
	report := decide.NoLoadReport
	word := f.word()
	if word == absent || word == "" && f.err != nil {
		return report
	}
	values := strings.Split(word, ",")
	if len(values) != len(columns) {
		f.recordInvalid("load report", word)
		return report
	}
	for i, value := range values {
		if value == absent || value == "" {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			f.recordInvalid("load report", word)
			return report
		}
		settings.SetLoadField(&report, columns[i], v)
	}
	return report
}

// end returns the recorded error, or an error if the line has more fields.
func (f *fields) end(what string) error {
	if f.err == nil && f.hasMore {
		f.err = fmt.Errorf("too many values at %q", f.rest)
	}
	if f.err != nil {
		return fmt.Errorf("%s: %w", what, f.err)
	}
	return nil
}

// oneOf reads a keyword, and returns the value that it stands for.
func oneOf[T any](f *fields, name string, words map[string]T) T {
	word := f.word()
	v, ok := words[word]
	if !ok {
		f.recordInvalid(name, word)
	}
	return v
}
