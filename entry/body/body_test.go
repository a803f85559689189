package body

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramleywharf.example/core/quota"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// maxBody is the limit of the requests in these tests, in bytes.
const maxBody = 64 << 10

// describe returns a short name of an error of Read.
func describe(err error) string {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case err == nil:
		return "read"
	case errors.As(err, &tooLarge):
		return "too large"
	case errors.Is(err, quota.ErrExhausted):
		return "no memory"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "too slow"
	default:
		return "cut"
	}
}

func TestRead(t *testing.T) {
	whole := strings.Repeat("x", maxBody)
	cases := map[string]struct {
		head string
		body string
		slow bool // slow sends a byte now and then.
		want string
	}{
		"no-body":              {"", "", false, "read"},
		"announced":            {fmt.Sprintf("Content-Length: %d\r\n", maxBody), whole, false, "read"},
		"chunked":              {"Transfer-Encoding: chunked\r\n", "4\r\nwxyz\r\n0\r\n\r\n", false, "read"},
		"announced-too-large":  {fmt.Sprintf("Content-Length: %d\r\n", maxBody+1), "", false, "too large"},
		"chunked-too-large":    {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%sx\r\n0\r\n\r\n", maxBody+1, whole), false, "too large"},
		"a-byte-now-and-then":  {"Content-Length: 100000000\r\n", "", true, "too large"},
		"slow-within-the-size": {"Content-Length: 6000\r\n", "", true, "too slow"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			results := make(chan string, 1)
			left := make(chan bool, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := Read(w, r, maxBody, time.Now().Add(200*time.Millisecond))
				results <- describe(err)
				if err != nil {
					left <- false
					return
				}
				select { // A request that takes longer than its body may must not be cancelled by that deadline.
				case <-r.Context().Done():
					left <- true
				case <-time.After(400 * time.Millisecond):
					left <- false
				}
			}))
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			c.Assert(err, quicktest.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\n"+test.head+"\r\n"+test.body)
			c.Assert(err, quicktest.IsNil)
			if test.slow {
				go func() {
					for {
						if _, err := io.WriteString(conn, "x"); err != nil {
							return
						}
						time.Sleep(20 * time.Millisecond)
					}
				}()
			}
			c.Assert(<-results, quicktest.Equals, test.want)
			c.Assert(<-left, quicktest.IsFalse)
		})
	}
}

// TestMemoryIsShared checks that bodies beyond the budget of all requests are refused, and accepted once others have
// ended.
func TestMemoryIsShared(t *testing.T) {
	c := quicktest.New(t)
	budget := quota.New(100 << 10)
	read := func(account *quota.Account) string {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", 40<<10)))
		r = r.WithContext(quota.NewContext(r.Context(), account))
		_, err := Read(deadlineRecorder{httptest.NewRecorder()}, r, maxBody, time.Now().Add(time.Second))
		return describe(err)
	}
	first, second, third := budget.Open(), budget.Open(), budget.Open()
	c.Assert(read(first), quicktest.Equals, "read")
	c.Assert(read(second), quicktest.Equals, "read")
	c.Assert(read(third), quicktest.Equals, "no memory")
	third.Close()
	first.Close()
	c.Assert(read(budget.Open()), quicktest.Equals, "read")
}

// deadlineRecorder is a recorder that accepts deadlines.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
}

// SetReadDeadline does nothing.
func (deadlineRecorder) SetReadDeadline(time.Time) error { return nil }
