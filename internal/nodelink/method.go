package nodelink

// Method names what a message or call is for. The numbers are defined by the users of a link.
type Method uint8
