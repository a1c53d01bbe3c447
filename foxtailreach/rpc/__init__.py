"""Wire protocol between hosts: thrift structs in length-prefixed frames."""
