package request

import (
	"net/url"
	"strconv"
	"time"

	"github.com/auburnwood/auburnwood/pkg/limit"
)

// encodeLoad formats a load as the value of headerLoad.
func encodeLoad(l limit.Load) string {
	v := url.Values{}
	v.Set("busy", strconv.Itoa(l.Busy))
	v.Set("limit", strconv.Itoa(l.Limit))
	v.Set("waiting", strconv.Itoa(l.Waiting))
	v.Set("hold", strconv.FormatInt(l.Hold.Microseconds(), 10))
	return v.Encode()
}

// decodeLoad parses the value of headerLoad; false means that it is malformed.
func decodeLoad(text string) (limit.Load, bool) {
	v, err := url.ParseQuery(text)
	if err != nil {
		return limit.Load{}, false
	}
	var numbers [4]uint64
	for i, name := range []string{"busy", "limit", "waiting", "hold"} {
		n, err := strconv.ParseUint(v.Get(name), 10, 31)
		if err != nil {
			return limit.Load{}, false
		}
		numbers[i] = n
	}
	return limit.Load{
		Busy: int(numbers[0]), Limit: int(numbers[1]), Waiting: int(numbers[2]),
		Hold: time.Duration(numbers[3]) * time.Microsecond,
	}, true
}
