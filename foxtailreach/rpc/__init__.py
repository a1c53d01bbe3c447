"""Protocol between hosts: thrift structs in length-prefixed frames."""
