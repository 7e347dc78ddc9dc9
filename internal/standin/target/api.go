package target

// Paths of a target's HTTP interface.
const (
	// PathDownload sends Content; query: flow, size (bytes), and chunk (bytes) and every (duration) to send a chunk at each
	// interval.
	PathDownload = "/download"
	// PathUpload compares the body with Content and answers with an Upload; query: flow.
	PathUpload = "/upload"
	// PathEcho echoes the body while it arrives.
	PathEcho = "/echo"
	// PathWork runs one request that must run at most once; query: id, takes (duration).
	PathWork = "/work"
	// PathLoad reports the number of open connections as text, or what Config.FalseLoad makes of it.
	PathLoad = "/load"
	// PathHealth answers 200.
	PathHealth = "/health"
)

// Headers of each response.
const (
	// HeaderService is the service that the target actually serves.
	HeaderService = "Standin-Service"
	// HeaderTarget is the target's ID.
	HeaderTarget = "Standin-Target"
	// HeaderCaller is the caller's address as the target sees it.
	HeaderCaller = "Standin-Caller"
)

// Upload is the JSON response to an upload.
type Upload struct {
	// Size is the number of bytes in the writes that matched.
	Size int64 `json:"size"`
	// Intact is true when every byte matched.
	Intact bool `json:"intact"`
}
