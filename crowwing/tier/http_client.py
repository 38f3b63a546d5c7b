"""What all HTTP clients of the tier share. Its connections are not encrypted, so no certificates are read.

httpx reads the certificates of the machine for each client that is given no context, which takes tens of
milliseconds and about a megabyte every time.
"""

import ssl

NO_CERTIFICATES = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
