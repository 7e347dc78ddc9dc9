package target

// Paths of a target's HTTP interface.
const (
	// PathDownload sends Content; query: flow, size (bytes), chunk (bytes) and every (duration) to send it by and by.
	PathDownload = "/download"
	// PathUpload compares the body with Content and answers with an Upload; query: flow.
	PathUpload = "/upload"
	// PathEcho sends the body back while it arrives.
	PathEcho = "/echo"
	// PathWork runs one request that must run at most once; query: id, takes (duration).
	PathWork = "/work"
	// PathLoad reports the number of open connections as text, truly or not.
	PathLoad = "/load"
	// PathHealth answers 200.
	PathHealth = "/health"
)

// Headers of each answer.
const (
	// HeaderService names the service that the target truly serves.
	HeaderService = "Standin-Service"
	// HeaderTarget names the target.
	HeaderTarget = "Standin-Target"
	// HeaderCaller is the caller's address as the target sees it.
	HeaderCaller = "Standin-Caller"
)

// Upload is the answer to an upload.
type Upload struct {
	// Size is the number of bytes that were right.
	Size int64 `json:"size"`
	// Intact is true when every byte was right.
	Intact bool `json:"intact"`
}
