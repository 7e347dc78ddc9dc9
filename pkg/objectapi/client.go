package objectapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Default times of a Client.
const (
	// DefaultCallTimeout bounds a call other than a watch.
	DefaultCallTimeout = 5 * time.Second
	// DefaultWatchTimeout bounds a watch. It must exceed the time for which the store holds a watch open.
	DefaultWatchTimeout = 90 * time.Second
	// maxListSize bounds the response to a list or a watch, in bytes.
	maxListSize = 256 << 20
	// maxDetailSize bounds the text that is read from an error response, in bytes.
	maxDetailSize = 4 << 10
)

var _ Store = (*Client)(nil)

// Options are the settings of a Client; zero values mean the defaults.
type Options struct {
	// HTTP is the HTTP client; the default keeps connections alive and follows no redirects.
	HTTP *http.Client
	// CallTimeout bounds a call other than a watch.
	CallTimeout time.Duration
	// WatchTimeout bounds a watch.
	WatchTimeout time.Duration
	// Eras tracks the eras named in responses; nil means that this client has its own.
	Eras *Eras
}

// Client is a Store that calls the object API over HTTP.
type Client struct {
	base         string
	http         *http.Client
	callTimeout  time.Duration
	watchTimeout time.Duration
	eras         *Eras
}

// NewClient returns a client for the API at baseURL, for example "http://127.0.0.1:8080".
func NewClient(baseURL string, o Options) *Client {
	c := &Client{
		base:         strings.TrimRight(baseURL, "/"),
		http:         o.HTTP,
		callTimeout:  o.CallTimeout,
		watchTimeout: o.WatchTimeout,
		eras:         o.Eras,
	}
	if c.eras == nil {
		c.eras = NewEras()
	}
	if c.http == nil {
		c.http = defaultHTTP()
	}
	if c.callTimeout == 0 {
		c.callTimeout = DefaultCallTimeout
	}
	if c.watchTimeout == 0 {
		c.watchTimeout = DefaultWatchTimeout
	}
	return c
}

// defaultHTTP returns a client that uses no proxy and follows no redirect: a redirected write could be sent twice.
func defaultHTTP() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = 16
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	return c.object(ctx, call{op: OpGet, method: http.MethodGet, kind: kind, name: name})
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind Kind) ([]Object, uint64, error) {
	var a listResponse
	k := call{op: OpList, method: http.MethodGet, kind: kind, response: &a}
	era, err := c.call(ctx, k)
	if err != nil {
		return nil, 0, err
	}
	for i := range a.Items {
		if a.Items[i].Version, err = MakeVersion(era, a.Items[i].Version); err != nil {
			return nil, 0, c.fail(k, ErrUnavailable, err)
		}
	}
	version, err := MakeVersion(era, a.Version)
	if err != nil {
		return nil, 0, c.fail(k, ErrUnavailable, err)
	}
	return a.Items, version, nil
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, kind Kind, name string, value []byte) (Object, error) {
	in := Object{Kind: kind, Name: name, Value: value}
	return c.write(ctx, call{op: OpCreate, method: http.MethodPost, kind: kind, name: name}, in)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, o Object) (Object, error) {
	k := call{op: OpUpdate, method: http.MethodPut, kind: o.Kind, name: o.Name, version: o.Version}
	o.Version = RevisionOf(o.Version)
	return c.write(ctx, k, o)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind Kind, name string, version uint64) error {
	query := url.Values{paramVersion: {strconv.FormatUint(RevisionOf(version), 10)}}
	_, err := c.call(ctx, call{op: OpDelete, method: http.MethodDelete, kind: kind, name: name, query: query, version: version})
	return err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind Kind, from uint64) ([]Event, uint64, error) {
	var a watchResponse
	query := url.Values{paramWatch: {strconv.FormatUint(RevisionOf(from), 10)}}
	k := call{op: OpWatch, method: http.MethodGet, kind: kind, query: query, response: &a, version: from}
	era, err := c.call(ctx, k)
	if err != nil {
		return nil, 0, err
	}
	for i := range a.Events {
		o := &a.Events[i].Object
		if o.Version, err = MakeVersion(era, o.Version); err != nil {
			return nil, 0, c.fail(k, ErrUnavailable, err)
		}
	}
	next, err := MakeVersion(era, a.Version)
	if err != nil {
		return nil, 0, c.fail(k, ErrUnavailable, err)
	}
	return a.Events, next, nil
}

func (c *Client) write(ctx context.Context, k call, in Object) (Object, error) {
	if len(in.Value) > MaxValueSize {
		return Object{}, c.fail(k, ErrInvalid, fmt.Errorf("value of %d bytes is above the limit of %d bytes", len(in.Value), MaxValueSize))
	}
	b, err := json.Marshal(in)
	if err != nil {
		return Object{}, c.fail(k, ErrInvalid, err)
	}
	k.body = b
	return c.object(ctx, k)
}

// object makes a call whose response is one object.
func (c *Client) object(ctx context.Context, k call) (Object, error) {
	var o Object
	k.response = &o
	era, err := c.call(ctx, k)
	if err != nil {
		return Object{}, err
	}
	if o.Version, err = MakeVersion(era, o.Version); err != nil {
		return Object{}, c.fail(k, ErrorWithoutResponse(k.op, true), err)
	}
	return o, nil
}

// call is one request of the protocol.
type call struct {
	op       Op
	method   string
	kind     Kind
	name     string
	query    url.Values
	body     []byte
	response any
	// version is the condition of a write or the position of a watch; it is valid in its own era only.
	version uint64
}

func (k call) url(base string) string {
	u := base + pathPrefix + url.PathEscape(string(k.kind))
	if k.name != "" {
		u += "/" + url.PathEscape(k.name)
	}
	if len(k.query) > 0 {
		u += "?" + k.query.Encode()
	}
	return u
}

// request returns the call as a Request, the form shared by all protocols.
func (c *Client) request(k call) Request {
	return Request{Op: k.op, Kind: k.kind, Name: k.name, Method: k.method, URL: k.url(c.base), Body: k.body, Version: k.version, Peer: c.base}
}

// call sends the request, decodes the response and returns its era.
func (c *Client) call(ctx context.Context, k call) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout(k.op))
	defer cancel()
	resp, era, err := c.request(k).Send(ctx, c.http, c.eras)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close() //nolint:errcheck // The body was read or is abandoned.
	return era, c.decodeResponse(k, resp)
}

// decodeResponse decodes a successful response, or returns the typed error of a failed one.
func (c *Client) decodeResponse(k call, resp *http.Response) error {
	if resp.StatusCode/100 != 2 {
		return c.fail(k, ErrorOfStatus(k.op, resp.StatusCode), detailOf(resp))
	}
	if k.response == nil {
		return nil
	}
	limit := int64(maxBodySize)
	if k.op == OpList || k.op == OpWatch {
		limit = maxListSize
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, limit)).Decode(k.response); err != nil {
		return c.fail(k, ErrorWithoutResponse(k.op, true), err)
	}
	return nil
}

func (c *Client) fail(k call, err, cause error) error {
	return c.request(k).NewCallError(err, cause)
}

func (c *Client) timeout(op Op) time.Duration {
	if op == OpWatch {
		return c.watchTimeout
	}
	return c.callTimeout
}

// ErrorWithoutResponse returns the typed error of a call without a complete response. sent is set when the store may
// have received the call: a write may then have taken effect, or may do so later.
func ErrorWithoutResponse(op Op, sent bool) error {
	if sent && op.Writes() {
		return ErrOutcomeUnknown
	}
	return ErrUnavailable
}

// detailOf reads the reason from an error response.
func detailOf(resp *http.Response) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxDetailSize))
	if err != nil {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	var p problem
	if json.Unmarshal(b, &p) != nil || p.Detail == "" {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return fmt.Errorf("status %d: %s", resp.StatusCode, p.Detail)
}
