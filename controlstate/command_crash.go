package controlstate

// ReportCrash reports that an upstream was lost while a request with this fingerprint ran on it.
type ReportCrash struct {
	Service     string `cbor:"1,keyasint"`
	Fingerprint string `cbor:"2,keyasint"`
	UpstreamID  string `cbor:"3,keyasint"`
	BootID      string `cbor:"4,keyasint"`
}
