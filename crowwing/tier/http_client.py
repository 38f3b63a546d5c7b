"""Shared by all HTTP clients of the tier. Connections are not encrypted, so no CA certificates are loaded.

Without an SSL context, httpx loads the system's CA certificates for each client, which takes tens of
milliseconds and about a megabyte each time.
"""

import ssl

NO_CERTIFICATES = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
