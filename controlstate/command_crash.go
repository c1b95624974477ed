package controlstate

// ReportCrash reports that a process of an upstream was lost while it ran a request with this fingerprint.
type ReportCrash struct {
	Service     string `cbor:"1,keyasint"`
	Fingerprint string `cbor:"2,keyasint"`
	UpstreamID  string `cbor:"3,keyasint"`
	BootID      string `cbor:"4,keyasint"`
}
