package nodelink

// Method identifies the purpose of a message or call. Its values are defined by the packages that use links.
type Method uint8
