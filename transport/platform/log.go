package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"dogwooddyke/state/record"
)

// errPageSize reports a page of records that is over the bound in bytes.
var errPageSize = errors.New("page of records too large")

// Log is the client of the platform's append-only log; it implements record.Log.
type Log struct {
	base   string
	client *http.Client
}

// NewLog returns a client of the log at the URL.
func NewLog(base string, client *http.Client) *Log {
	return &Log{base: strings.TrimRight(base, "/"), client: client}
}

// Append appends the data to the stream and returns its offset, or an error that wraps record.ErrUnavailable or
// record.ErrOutcomeUnknown.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.address(stream), bytes.NewReader(data))
	if err != nil {
		return 0, unavailable(stream, err)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return 0, appendError(stream, err)
	}
	defer closeBody(response.Body)
	if response.StatusCode != http.StatusCreated {
		return 0, statusError(stream, response.StatusCode)
	}
	var answer struct {
		Offset uint64 `json:"offset"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maximumAnswerBytes)).Decode(&answer); err != nil {
		return 0, unknown(stream, err)
	}
	return answer.Offset, nil
}

// Read returns the records of the stream from the offset on; it waits for a first record until the deadline. Where a page of
// the usual number of records is over the bound in bytes, fewer are asked for.
func (l *Log) Read(ctx context.Context, stream string, from uint64, deadline time.Time) (record.Page, error) {
	for limit := pageLimit; ; limit /= pageDivisor {
		page, err := l.readPage(ctx, stream, from, deadline, limit)
		if !errors.Is(err, errPageSize) || limit <= pageDivisor {
			return page, err
		}
	}
}

func (l *Log) readPage(ctx context.Context, stream string, from uint64, deadline time.Time, limit int) (record.Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("limit", strconv.Itoa(limit))
	if !deadline.IsZero() {
		query.Set("until", deadline.UTC().Format(time.RFC3339Nano))
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.address(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return record.Page{}, unavailable(stream, err)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return record.Page{}, unavailable(stream, err)
	}
	defer closeBody(response.Body)
	if response.StatusCode != http.StatusOK {
		return record.Page{}, statusError(stream, response.StatusCode)
	}
	return decodePage(stream, response.Body)
}

func (l *Log) address(stream string) string {
	return l.base + "/streams/" + url.PathEscape(stream)
}

func decodePage(stream string, body io.Reader) (record.Page, error) {
	var answer struct {
		First   uint64 `json:"first"`
		Next    uint64 `json:"next"`
		Records []struct {
			Offset uint64    `json:"offset"`
			Data   []byte    `json:"data"`
			Time   time.Time `json:"time"`
		} `json:"records"`
	}
	limited := &io.LimitedReader{R: body, N: maximumPageBytes}
	if err := json.NewDecoder(limited).Decode(&answer); err != nil {
		if limited.N <= 0 {
			err = errPageSize
		}
		return record.Page{}, unavailable(stream, err)
	}
	page := record.Page{First: answer.First, Next: answer.Next, Records: make([]record.Record, 0, len(answer.Records))}
	for _, r := range answer.Records {
		page.Records = append(page.Records, record.Record{Offset: r.Offset, Data: r.Data, Time: r.Time})
	}
	return page, nil
}

// appendError tells a connection that was never made, so nothing can have been appended, from one that broke.
func appendError(stream string, err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return unavailable(stream, err)
	}
	return unknown(stream, err)
}

func statusError(stream string, status int) error {
	err := fmt.Errorf("status %d", status)
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusNotFound, http.StatusBadRequest:
		return unavailable(stream, err)
	default:
		return unknown(stream, err)
	}
}

func unavailable(stream string, err error) error {
	return oops.In("platform").With("stream", stream).Wrap(fmt.Errorf("%w: %w", record.ErrUnavailable, err))
}

func unknown(stream string, err error) error {
	return oops.In("platform").With("stream", stream).Wrap(fmt.Errorf("%w: %w", record.ErrOutcomeUnknown, err))
}

// closeBody reads what is left, within a bound, so that the connection can be used again.
func closeBody(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maximumAnswerBytes))
	_ = body.Close()
}
